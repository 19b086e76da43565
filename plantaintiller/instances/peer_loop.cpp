#include "plantaintiller/instances/peer_loop.h"

#include <capnp/rpc-twoparty.h>
#include <fcntl.h>
#include <kj/async-io.h>
#include <pthread.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <future>
#include <map>
#include <thread>
#include <utility>

#include "plantaintiller/config/configuration_codec.h"
#include "plantaintiller/instances/instance.capnp.h"
#include "plantaintiller/instances/wire_codec.h"

namespace plantaintiller::instances {

namespace {

using decisions::forwarded_reply;

/// Serves RPC calls from other instances.
class instance_server final : public wire::Instance::Server {
 public:
  explicit instance_server(core::channel<event>& events) : events_(events) {}

  kj::Promise<void> execute(ExecuteContext context) override {
    forwarded_statement_event received;
    received.from = {context.getParams().getFrom()};
    received.work = Decode(context.getParams().getWork(), core::clock::now());
    next_ticket_ += 1;
    received.work.ticket = next_ticket_;
    context.releaseParams();
    if (!events_.TrySend(received)) {
      forwarded_reply refusal;
      refusal.outcome =
          Refuse(core::refusal_type::kInternalQueueFull,
                 core::effect_state::kNotRun, core::milliseconds(100));
      Encode(refusal, context.getResults().initOutcome());
      return kj::READY_NOW;
    }
    auto pending_reply = kj::newPromiseAndFulfiller<forwarded_reply>();
    pending_replies_[received.work.ticket] = kj::mv(pending_reply.fulfiller);
    return pending_reply.promise.then(
        [context](const forwarded_reply& reply) mutable {
          Encode(reply, context.getResults().initOutcome());
        });
  }

  kj::Promise<void> beat(BeatContext context) override {
    // Dropped if the channel is full: heartbeats may also be lost in transit.
    events_.TrySend(heartbeat_event{Decode(context.getParams().getBeat())});
    return kj::READY_NOW;
  }

  kj::Promise<void> configuration(ConfigurationContext context) override {
    context.getResults().setJson(configuration_json_.c_str());
    return kj::READY_NOW;
  }

  void Reply(const forwarded_reply& reply) {
    const auto found = pending_replies_.find(reply.ticket);
    if (found == pending_replies_.end()) {
      return;
    }
    found->second->fulfill(forwarded_reply(reply));
    pending_replies_.erase(found);
  }

  void SetConfiguration(const core::configuration& configuration) {
    configuration_json_ = boost::json::serialize(config::ToJson(configuration));
  }

 private:
  core::channel<event>& events_;
  std::uint64_t next_ticket_ = 0;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<forwarded_reply>>>
      pending_replies_;
  std::string configuration_json_;
};

/// Connection to one peer. Members are destroyed in reverse order, so that the
/// client is destroyed before the RPC system, and the RPC system before its
/// stream.
struct peer_link {
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> rpc;
  // Set while connected or connecting.
  kj::Maybe<wire::Instance::Client> client;
};

struct peer_connection {
  std::string address;
  kj::Own<peer_link> link = kj::heap<peer_link>();
  std::uint64_t generation = 0;
};

}  // namespace

class peer_loop::implementation final : private kj::TaskSet::ErrorHandler {
 public:
  implementation(const peer_settings& settings,
                 core::channel<command>& commands,
                 core::channel<event>& events)
      : settings_(settings), commands_(commands), events_(events) {
    if (pipe2(wake_pipe_.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
      wake_pipe_ = {-1, -1};
    }
    commands_.SetWakeCallback([this] {
      const char byte = 0;
      // If the pipe is full, a wake-up is already pending.
      [[maybe_unused]] const auto written = write(wake_pipe_[1], &byte, 1);
    });
  }

  ~implementation() {
    Stop();
    close(wake_pipe_[1]);
  }
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  bool Start() {
    std::promise<bool> started;
    std::future<bool> result = started.get_future();
    thread_ = std::thread([this, &started] {
      pthread_setname_np(pthread_self(), "instances");
      Run(started);
    });
    return result.get();
  }

  void Stop() {
    if (thread_.joinable()) {
      stop_requested_.store(true);
      const char byte = 0;
      [[maybe_unused]] const auto written = write(wake_pipe_[1], &byte, 1);
      thread_.join();
    }
  }

 private:
  void Run(std::promise<bool>& started) {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::TaskSet tasks(*this);
    tasks_ = &tasks;
    network_ = &io.provider->getNetwork();
    auto stopped = kj::newPromiseAndFulfiller<void>();
    stop_ = kj::mv(stopped.fulfiller);
    auto server_object = kj::heap<instance_server>(events_);
    server_ = server_object.get();
    capnp::TwoPartyServer server(kj::mv(server_object));
    kj::Own<kj::ConnectionReceiver> receiver;
    const auto failed = kj::runCatchingExceptions([&] {
      const std::string address =
          settings_.host + ":" + std::to_string(settings_.port);
      receiver =
          network_->parseAddress(address.c_str()).wait(io.waitScope)->listen();
    });
    started.set_value(failed == nullptr);
    if (failed != nullptr) {
      return;
    }
    tasks.add(server.listen(*receiver));
    auto wake = io.lowLevelProvider->wrapInputFd(
        wake_pipe_[0], kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
    tasks.add(ProcessCommands(*wake));
    stopped.promise.wait(io.waitScope);
    tasks_ = nullptr;
    peers_.clear();
  }

  kj::Promise<void> ProcessCommands(kj::AsyncInputStream& wake) {
    return wake.tryRead(wake_bytes_.data(), 1, wake_bytes_.size())
        .then([this, &wake](std::size_t) -> kj::Promise<void> {
          if (stop_requested_.load()) {
            stop_->fulfill();
            return kj::READY_NOW;
          }
          commands_.Drain([this](const command& next_command) {
            std::visit([this](const auto& each) { Execute(each); },
                       next_command);
          });
          return ProcessCommands(wake);
        });
  }

  void Execute(const forward_command& outgoing) {
    const std::uint64_t ticket = outgoing.work.ticket;
    KJ_IF_MAYBE (client, ClientOf(outgoing.to)) {
      auto call = client->executeRequest();
      call.setFrom(settings_.self.value);
      Encode(outgoing.work, core::clock::now(), call.initWork());
      const core::instance_id to = outgoing.to;
      const std::uint64_t generation = peers_[to].generation;
      tasks_->add(call.send().then(
          [this, ticket](auto&& answer) {
            forwarded_reply reply = Decode(answer.getOutcome());
            reply.ticket = ticket;
            Send(reply_event{std::move(reply)});
          },
          [this, ticket, to, generation](kj::Exception&&) {
            OnDisconnected(to, generation);
            Send(forward_lost_event{ticket});
          }));
    } else {
      Send(forward_lost_event{ticket});
    }
  }

  void Execute(const reply_command& outgoing) {
    server_->Reply(outgoing.reply);
  }

  void Execute(const heartbeat_command& outgoing) {
    KJ_IF_MAYBE (client, ClientOf(outgoing.to)) {
      auto call = client->beatRequest();
      Encode(outgoing.beat, call.initBeat());
      const core::instance_id to = outgoing.to;
      const std::uint64_t generation = peers_[to].generation;
      tasks_->add(call.send().then([](auto&&) {},
                                   [this, to, generation](kj::Exception&&) {
                                     OnDisconnected(to, generation);
                                   }));
    }
  }

  void Execute(const request_configuration_command& request) {
    KJ_IF_MAYBE (client, ClientOf(request.from)) {
      const core::instance_id to = request.from;
      const std::uint64_t generation = peers_[to].generation;
      tasks_->add(client->configurationRequest().send().then(
          [this](auto&& answer) { OnConfiguration(answer.getJson().cStr()); },
          [this, to, generation](kj::Exception&&) {
            OnDisconnected(to, generation);
          }));
    }
  }

  void Execute(const peers_command& peer_list) {
    for (const core::instance_entry& entry : peer_list.peers) {
      const std::string address = entry.host + ":" + std::to_string(entry.port);
      peer_connection& peer = peers_[entry.id];
      if (peer.address != address) {
        peer.address = address;
        Disconnect(peer);
      }
    }
  }

  void Execute(const close_peer_command& target) {
    OnDisconnected(target.peer, peers_[target.peer].generation);
  }

  void Execute(const configuration_command& update) {
    server_->SetConfiguration(*update.configuration);
  }

  void OnConfiguration(const std::string& json) {
    boost::leaf::try_handle_all(
        [&]() -> core::result<void> {
          BOOST_LEAF_AUTO(parsed, config::ParseJson(json));
          BOOST_LEAF_AUTO(configuration, config::ConfigurationFromJson(parsed));
          Send(configuration_event{std::make_shared<const core::configuration>(
              std::move(configuration))});
          return {};
        },
        [] {
          // The peer has no configuration yet.
        });
  }

  kj::Maybe<wire::Instance::Client&> ClientOf(core::instance_id peer_id) {
    peer_connection& peer = peers_[peer_id];
    if (peer.address.empty()) {
      return nullptr;
    }
    KJ_IF_MAYBE (client, peer.link->client) {
      return *client;
    }
    peer.generation += 1;
    // The link is replaced only when the generation changes, so OnConnected()
    // can tell by the generation whether the link is still the same.
    auto connected =
        network_->parseAddress(peer.address.c_str())
            .then([](kj::Own<kj::NetworkAddress>&& address) {
              auto connecting = address->connect();
              return connecting.attach(kj::mv(address));
            })
            .then([this, peer_id, generation = peer.generation](
                      kj::Own<kj::AsyncIoStream>&& stream) {
              return OnConnected(peer_id, generation, kj::mv(stream));
            });
    peer.link->client = wire::Instance::Client(kj::mv(connected));
    KJ_IF_MAYBE (client, peer.link->client) {
      return *client;
    }
    return nullptr;
  }

  wire::Instance::Client OnConnected(core::instance_id peer_id,
                                     std::uint64_t generation,
                                     kj::Own<kj::AsyncIoStream> stream) {
    peer_connection& peer = peers_[peer_id];
    if (peer.generation != generation) {
      return KJ_EXCEPTION(
          DISCONNECTED, "connection was closed while it was being established");
    }
    peer.link->stream = kj::mv(stream);
    peer.link->rpc = kj::heap<capnp::TwoPartyClient>(*peer.link->stream);
    return peer.link->rpc->bootstrap().castAs<wire::Instance>();
  }

  void OnDisconnected(core::instance_id peer_id, std::uint64_t generation) {
    peer_connection& peer = peers_[peer_id];
    if (peer.generation == generation) {
      Disconnect(peer);
    }
  }

  void Disconnect(peer_connection& peer) {
    peer.generation += 1;
    auto old = kj::mv(peer.link);
    peer.link = kj::heap<peer_link>();
    // A callback of the old link may be running, so the link is destroyed in a
    // later iteration of the event loop.
    tasks_->add(kj::evalLater([old = kj::mv(old)] {}));
  }

  void Send(const event& new_event) { events_.TrySend(new_event); }

  void taskFailed(kj::Exception&&) override {}

  peer_settings settings_;
  core::channel<command>& commands_;
  core::channel<event>& events_;
  std::array<int, 2> wake_pipe_{};
  std::array<char, 64> wake_bytes_{};
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
  // Set while the loop runs.
  kj::TaskSet* tasks_ = nullptr;
  kj::Network* network_ = nullptr;
  instance_server* server_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_;
  std::map<core::instance_id, peer_connection> peers_;
};

peer_loop::peer_loop(const peer_settings& settings,
                     core::channel<command>& commands,
                     core::channel<event>& events)
    : implementation_(
          std::make_unique<implementation>(settings, commands, events)) {}

peer_loop::~peer_loop() = default;

bool peer_loop::Start() {
  return implementation_->Start();
}

void peer_loop::Stop() {
  implementation_->Stop();
}

}  // namespace plantaintiller::instances
