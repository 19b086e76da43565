#include "plantaintiller/accounts/usage_relay.h"

#include <algorithm>

namespace plantaintiller::accounts {

namespace {

/// Intervals of flushes, while an account is close to its limit: with reports
/// and without; and while none is.
constexpr core::milliseconds kUrgentReportInterval{100};
constexpr core::milliseconds kUrgentInterval{150};
constexpr core::milliseconds kCalmInterval{400};

}  // namespace

void usage_relay::OnReport(const usage_report& report) {
  const auto [found, added] = reports_.emplace(report.instance, report);
  has_accounts_ = has_accounts_ || !report.accounts.empty() || report.joining ||
                  report.leaving;
  if (added) {
    return;
  }
  usage_report& known = found->second;
  const bool restarted = known.incarnation != report.incarnation;
  std::vector<account_usage> before =
      restarted ? std::vector<account_usage>{} : std::move(known.accounts);
  const bool urgent = known.urgent;
  known = report;
  known.urgent = known.urgent || urgent;
  for (const account_usage& each : before) {
    const bool is_newer = std::any_of(
        report.accounts.begin(), report.accounts.end(),
        [&each](const auto& other) { return other.account == each.account; });
    if (!is_newer) {
      known.accounts.push_back(each);
    }
  }
}

void usage_relay::OnZone(const zone_liveness& zone, core::time_point now) {
  if (zone.zone != zone_) {
    zones_[zone.zone] = {zone, now};
  }
}

bool usage_relay::IsDue(bool urgent, core::time_point now) const {
  const core::duration interval = !urgent         ? kCalmInterval
                                  : has_accounts_ ? kUrgentReportInterval
                                                  : kUrgentInterval;
  return now - sent_at_ >= interval;
}

usage_relay::flush usage_relay::Take(const zone_liveness& own_zone,
                                     core::time_point now) {
  flush result;
  result.zones.zones.push_back(own_zone);
  result.members.zones.push_back(own_zone);
  for (const auto& [name, zone] : zones_) {
    zone_liveness passed = zone.liveness;
    passed.age_ms += static_cast<std::uint32_t>(
        core::ToMilliseconds(now - zone.received_at).count());
    result.members.zones.push_back(std::move(passed));
  }
  zones_.clear();
  for (auto& [instance, report] : reports_) {
    // An instance without changes is covered by the liveness of its zone.
    if (report.accounts.empty() && !report.joining && !report.leaving) {
      continue;
    }
    if (report.zone == zone_) {
      result.zones.reports.push_back(report);
    }
    result.members.reports.push_back(std::move(report));
  }
  reports_.clear();
  has_accounts_ = false;
  sent_at_ = now;
  return result;
}

}  // namespace plantaintiller::accounts
