#include "plantaintiller/gateway/heartbeat_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "plantaintiller/instances/heartbeat.capnp.h"
#include "plantaintiller/instances/message_framing.h"

namespace plantaintiller::gateway {

namespace {

namespace wire = instances::wire;

/// Limit on the words that are read while a datagram is decoded. Without it, a
/// list of empty structures in few bytes makes the decoder allocate gigabytes.
constexpr std::uint64_t kTraversalWords = 4096;

std::string Text(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

void EncodeLists(const heartbeat& message, wire::Heartbeat::Builder root) {
  auto leaders =
      root.initLeaders(static_cast<unsigned>(message.view.leaders.size()));
  for (unsigned n = 0; n < leaders.size(); ++n) {
    const leader_view& from = message.view.leaders[n];
    leaders[n].setGroup(from.group);
    leaders[n].setServer(from.server);
    leaders[n].setTerm(from.term);
    leaders[n].setChanging(from.changing);
  }
  auto full = root.initFull(static_cast<unsigned>(message.full_servers.size()));
  for (unsigned n = 0; n < full.size(); ++n) {
    full[n].setGroup(message.full_servers[n].first);
    full[n].setServer(message.full_servers[n].second);
  }
  auto members =
      root.initMembers(static_cast<unsigned>(message.members.size()));
  for (unsigned n = 0; n < members.size(); ++n) {
    const reported_member& from = message.members[n];
    members[n].setInstance(from.instance);
    members[n].setZone(from.info.zone);
    members[n].setHost(from.info.host);
    members[n].setCapacity(from.info.capacity_units);
    members[n].setAgeMs(static_cast<std::uint32_t>(from.age.count()));
  }
}

heartbeat DecodeRoot(wire::Heartbeat::Reader root) {
  heartbeat message;
  message.instance = Text(root.getInstance());
  message.info = {Text(root.getZone()), Text(root.getHost()),
                  root.getCapacity()};
  message.view.configuration_version = root.getConfigurationVersion();
  message.view.list_version = root.getListVersion();
  message.view.list_hash = root.getListHash();
  message.view.store_age = core::milliseconds(root.getStoreAgeMs());
  message.member_count = root.getMemberCount();
  for (const auto each : root.getLeaders()) {
    message.view.leaders.push_back({Text(each.getGroup()),
                                    Text(each.getServer()), each.getTerm(),
                                    each.getChanging()});
  }
  for (const auto each : root.getFull()) {
    message.full_servers.emplace_back(Text(each.getGroup()),
                                      Text(each.getServer()));
  }
  for (const auto each : root.getMembers()) {
    message.members.push_back(
        {Text(each.getInstance()),
         {Text(each.getZone()), Text(each.getHost()), each.getCapacity()},
         core::milliseconds(each.getAgeMs())});
  }
  return message;
}

}  // namespace

std::string heartbeat_codec::Encode(const heartbeat& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::Heartbeat>();
  root.setInstance(message.instance);
  root.setZone(message.info.zone);
  root.setHost(message.info.host);
  root.setCapacity(message.info.capacity_units);
  root.setConfigurationVersion(message.view.configuration_version);
  root.setListVersion(message.view.list_version);
  root.setListHash(message.view.list_hash);
  root.setStoreAgeMs(
      static_cast<std::uint32_t>(message.view.store_age.count()));
  root.setMemberCount(message.member_count);
  EncodeLists(message, root);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<heartbeat> heartbeat_codec::Decode(const char* bytes,
                                                 std::size_t size,
                                                 std::string& problem) {
  try {
    const auto words = instances::CopyWords(bytes, size);
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalWords;
    capnp::FlatArrayMessageReader reader(words, options);
    return DecodeRoot(reader.getRoot<wire::Heartbeat>());
  } catch (const kj::Exception& malformed) {
    problem = malformed.getDescription().cStr();
    return std::nullopt;
  }
}

}  // namespace plantaintiller::gateway
