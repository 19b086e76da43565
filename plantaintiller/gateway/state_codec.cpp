#include "plantaintiller/gateway/state_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <utility>

#include "plantaintiller/instances/heartbeat.capnp.h"
#include "plantaintiller/instances/message_framing.h"

namespace plantaintiller::gateway {

namespace {

namespace wire = instances::wire;

/// Limit on the words that are read while a message is decoded: twice those of
/// the largest message.
constexpr std::uint64_t kTraversalWords = 2 * kMaxStateBytes / 8;

std::string Text(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string Frame(capnp::MessageBuilder& message) {
  std::string out;
  instances::AppendFramed(out, message);
  return out;
}

void Encode(const replication::server_entry& from,
            wire::ServerState::Builder to) {
  to.setId(from.id);
  to.setGroup(from.group);
  to.setAddress(from.address);
  to.setZone(from.zone);
  to.setSlots(static_cast<std::uint32_t>(from.slots));
  to.setDraining(from.draining);
  to.setReportsLeader(from.reports_leader);
  to.setBornMs(from.born_ms);
}

replication::server_entry Decode(wire::ServerState::Reader from) {
  replication::server_entry to;
  to.id = Text(from.getId());
  to.group = Text(from.getGroup());
  to.address = Text(from.getAddress());
  to.zone = Text(from.getZone());
  to.slots = static_cast<int>(from.getSlots());
  to.draining = from.getDraining();
  to.reports_leader = from.getReportsLeader();
  to.born_ms = from.getBornMs();
  return to;
}

/// Reads a message; `read` receives its root and returns the result.
template <class root, class result, class reader>
std::optional<result> DecodeBody(const std::string& body,
                                 std::string& problem,
                                 reader read) {
  try {
    const auto words = instances::CopyWords(body.data(), body.size());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalWords;
    capnp::FlatArrayMessageReader message(words, options);
    return read(message.getRoot<root>());
  } catch (const kj::Exception& malformed) {
    problem = malformed.getDescription().cStr();
    return std::nullopt;
  }
}

}  // namespace

std::string state_codec::EncodeRequest(const state_request& request) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::StateRequest>();
  root.setConfigurationVersion(request.configuration_version);
  root.setListVersion(request.list_version);
  root.setListHash(request.list_hash);
  return Frame(message);
}

std::string state_codec::EncodeState(const remote_state& state) {
  capnp::MallocMessageBuilder message;
  auto answer = message.initRoot<wire::StateAnswer>();
  answer.setConfiguration(state.configuration);
  answer.setListVersion(state.list.version);
  answer.setListHash(state.list.hash);
  answer.setBaseHash(state.list.base_hash);
  auto list =
      answer.initServers(static_cast<unsigned>(state.list.servers.size()));
  for (unsigned n = 0; n < list.size(); ++n) {
    Encode(state.list.servers[n], list[n]);
  }
  auto removed =
      answer.initRemoved(static_cast<unsigned>(state.list.removed.size()));
  for (unsigned n = 0; n < removed.size(); ++n) {
    removed.set(n, state.list.removed[n]);
  }
  return Frame(message);
}

std::optional<state_request> state_codec::DecodeRequest(const std::string& body,
                                                        std::string& problem) {
  return DecodeBody<wire::StateRequest, state_request>(
      body, problem, [](wire::StateRequest::Reader root) {
        state_request request;
        request.configuration_version = root.getConfigurationVersion();
        request.list_version = root.getListVersion();
        request.list_hash = root.getListHash();
        return request;
      });
}

std::optional<remote_state> state_codec::DecodeState(const std::string& body,
                                                     std::string& problem) {
  return DecodeBody<wire::StateAnswer, remote_state>(
      body, problem, [](wire::StateAnswer::Reader answer) {
        remote_state state;
        state.configuration = Text(answer.getConfiguration());
        state.list.version = answer.getListVersion();
        state.list.hash = answer.getListHash();
        state.list.base_hash = answer.getBaseHash();
        for (const auto each : answer.getServers()) {
          state.list.servers.push_back(Decode(each));
        }
        for (const auto each : answer.getRemoved()) {
          state.list.removed.push_back(Text(each));
        }
        return state;
      });
}

}  // namespace plantaintiller::gateway
