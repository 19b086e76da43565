#include "plantaintiller/instances/usage_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "plantaintiller/instances/message_framing.h"
#include "plantaintiller/instances/rate_limits.capnp.h"

namespace plantaintiller::instances {

namespace {

constexpr double kDemandUnits = 16;
constexpr double kMaxDemand = 65535;
constexpr std::uint64_t kTraversalWords = 4096;
/// Bytes of the segment table, the root and the tags of its lists.
constexpr std::size_t kMessageBytes = 64;
/// Bytes of a report or of a zone without their lists' elements.
constexpr std::size_t kReportBytes = 48;
constexpr std::size_t kZoneBytes = 24;
/// Bytes of an element of either list.
constexpr std::size_t kElementBytes = 8;
constexpr std::size_t kMaxElements =
    (kMaxUsageDatagram - kMessageBytes - kReportBytes) / kElementBytes;

std::uint16_t DemandUnits(double demand) {
  const double units = std::round(demand * kDemandUnits);
  // Demand that is there must not be rounded to none.
  return static_cast<std::uint16_t>(
      std::clamp(units, demand > 0 ? 1.0 : 0.0, kMaxDemand));
}

std::string Encode(const std::vector<accounts::usage_report>& reports,
                   const std::vector<accounts::zone_liveness>& zones) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::UsageMessage>();
  auto to_reports = root.initReports(static_cast<unsigned>(reports.size()));
  for (unsigned n = 0; n < to_reports.size(); ++n) {
    const accounts::usage_report& from = reports[n];
    auto to = to_reports[n];
    to.setInstance(from.instance);
    to.setZone(from.zone);
    to.setIncarnation(from.incarnation);
    to.setSequence(from.sequence);
    to.setJoining(from.joining);
    to.setUrgent(from.urgent);
    to.setLeaving(from.leaving);
    auto list = to.initAccounts(
        static_cast<unsigned>(std::min(from.accounts.size(), kMaxElements)));
    for (unsigned each = 0; each < list.size(); ++each) {
      list[each].setAccount(from.accounts[each].account);
      list[each].setAdmitted(from.accounts[each].admitted);
      list[each].setDemand(DemandUnits(from.accounts[each].demand));
    }
  }
  auto to_zones = root.initZones(static_cast<unsigned>(zones.size()));
  for (unsigned n = 0; n < to_zones.size(); ++n) {
    to_zones[n].setZone(zones[n].zone);
    to_zones[n].setAgeMs(zones[n].age_ms);
    auto silent = to_zones[n].initSilent(
        static_cast<unsigned>(std::min(zones[n].silent.size(), kMaxElements)));
    for (unsigned each = 0; each < silent.size(); ++each) {
      silent.set(each, zones[n].silent[each]);
    }
  }
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

accounts::usage_report DecodeReport(wire::UsageReport::Reader from) {
  accounts::usage_report to;
  to.instance = from.getInstance();
  to.zone = from.getZone();
  to.incarnation = from.getIncarnation();
  to.sequence = from.getSequence();
  to.joining = from.getJoining();
  to.urgent = from.getUrgent();
  to.leaving = from.getLeaving();
  for (const auto each : from.getAccounts()) {
    to.accounts.push_back(
        {each.getAccount(), each.getAdmitted(),
         static_cast<double>(each.getDemand()) / kDemandUnits});
  }
  return to;
}

}  // namespace

std::vector<std::string> EncodeUsage(const accounts::usage_message& message) {
  std::vector<std::string> datagrams;
  std::vector<accounts::usage_report> reports;
  std::vector<accounts::zone_liveness> zones;
  std::size_t bytes = kMessageBytes;
  const auto reserve = [&](std::size_t head, std::size_t elements) {
    const std::size_t size =
        head + kElementBytes * std::min(elements, kMaxElements);
    if (bytes + size > kMaxUsageDatagram) {
      datagrams.push_back(Encode(reports, zones));
      reports.clear();
      zones.clear();
      bytes = kMessageBytes;
    }
    bytes += size;
  };
  for (const accounts::zone_liveness& each : message.zones) {
    reserve(kZoneBytes, each.silent.size());
    zones.push_back(each);
  }
  for (const accounts::usage_report& each : message.reports) {
    reserve(kReportBytes, each.accounts.size());
    reports.push_back(each);
  }
  if (!reports.empty() || !zones.empty()) {
    datagrams.push_back(Encode(reports, zones));
  }
  return datagrams;
}

std::optional<accounts::usage_message> DecodeUsage(const char* data,
                                                   std::size_t size) {
  try {
    const auto words = CopyWords(data, size);
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalWords;
    capnp::FlatArrayMessageReader reader(words, options);
    const auto root = reader.getRoot<wire::UsageMessage>();
    accounts::usage_message message;
    for (const auto each : root.getReports()) {
      message.reports.push_back(DecodeReport(each));
    }
    for (const auto each : root.getZones()) {
      accounts::zone_liveness zone{each.getZone(), each.getAgeMs(), {}};
      for (const std::uint64_t silent : each.getSilent()) {
        zone.silent.push_back(silent);
      }
      message.zones.push_back(std::move(zone));
    }
    return message;
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace plantaintiller::instances
