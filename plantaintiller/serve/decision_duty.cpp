#include "plantaintiller/serve/decision_duty.h"

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

#include "plantaintiller/serve/decision_log.h"

namespace plantaintiller::serve {

namespace {

constexpr core::milliseconds kTickInterval{5};
// Time without outstanding work after which a shutdown counts as finished. It
// lets the peers learn of the shutdown before the process exits.
constexpr core::milliseconds kIdleBeforeExit{700};

decisions::instance_decider_settings DeciderSettings(
    const serve_settings& settings) {
  decisions::instance_decider_settings result;
  result.self = settings.self;
  result.zone = core::ZoneIdOf(settings.zone);
  return result;
}

}  // namespace

decision_duty::decision_duty(boost::asio::io_context& context,
                             channels& duty_channels,
                             const serve_settings& settings,
                             std::function<void()> drained)
    : channels_(duty_channels),
      settings_(settings),
      drained_(std::move(drained)),
      timer_(context),
      decider_(std::make_unique<decisions::instance_decider>(
          DeciderSettings(settings),
          *this,
          settings.seed)) {}

decision_duty::~decision_duty() = default;

void decision_duty::Start() {
  std::vector<core::instance_entry> peers;
  for (const std::string& seed : settings_.seeds) {
    // The option parser has validated the format ID@ZONE=HOST:PORT.
    const std::size_t at = seed.find('@');
    const std::size_t equals = seed.find('=');
    const std::size_t colon = seed.rfind(':');
    core::instance_entry peer;
    std::from_chars(seed.data(), seed.data() + at, peer.id.value);
    peer.zone = core::ZoneIdOf(seed.substr(at + 1, equals - at - 1));
    peer.host = seed.substr(equals + 1, colon - equals - 1);
    std::from_chars(seed.data() + colon + 1, seed.data() + seed.size(),
                    peer.port);
    peers.push_back(std::move(peer));
  }
  if (!peers.empty()) {
    On(tables::instances_event{std::move(peers)});
  }
  Tick();
}

void decision_duty::Tick() {
  decider_->OnTick(core::clock::now());
  RunDeferredEvents();
  CheckDrained();
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void decision_duty::RunDeferredEvents() {
  while (!deferred_events_.empty()) {
    const std::vector<std::function<void()>> due =
        std::exchange(deferred_events_, {});
    for (const std::function<void()>& each : due) {
      each();
    }
  }
}

void decision_duty::Drain() {
  LOG(INFO) << "serve: shutdown started.";
  drain_started_ = core::clock::now();
  decider_->Drain(drain_started_);
}

void decision_duty::CheckDrained() {
  if (!decider_->IsDraining() || shutdown_finished_) {
    return;
  }
  const core::time_point now = core::clock::now();
  if (!decider_->IsIdle()) {
    idle_since_ = now;
  }
  const bool quiet =
      now - std::max(idle_since_, drain_started_) >= kIdleBeforeExit;
  const bool overdue = now - drain_started_ >= settings_.shutdown_limit;
  if (!quiet && !overdue) {
    return;
  }
  shutdown_finished_ = true;
  LOG(INFO) << "serve: shutdown finished. unfinished="
            << decider_->Unfinished();
  drained_();
}

void decision_duty::ProcessCallerStatements() {
  channels_.from_callers.Drain(
      [this](const callers::statement_event& statement) {
        decider_->OnCallerStatement(statement.ticket, statement.work,
                                    core::clock::now());
      });
  RunDeferredEvents();
}

void decision_duty::ProcessBackendEvents() {
  channels_.from_backends.Drain([this](const backends::event& event) {
    std::visit([this](const auto& each) { On(each); }, event);
  });
  RunDeferredEvents();
}

void decision_duty::ProcessInstanceEvents() {
  channels_.from_instances.Drain([this](const instances::event& event) {
    std::visit([this](const auto& each) { On(each); }, event);
  });
  RunDeferredEvents();
}

void decision_duty::ProcessPlatformEvents() {
  channels_.from_platform.Drain([this](const tables::event& event) {
    std::visit([this](const auto& each) { On(each); }, event);
  });
  RunDeferredEvents();
}

void decision_duty::ProcessOperatorQueries() {
  channels_.from_operators.Drain([this](const operators::query& query) {
    std::visit([this](const auto& each) { On(each); }, query);
  });
  RunDeferredEvents();
}

void decision_duty::On(const backends::attempt_event& event) {
  decider_->OnAttemptResult(event.result, core::clock::now());
}

void decision_duty::On(const backends::probe_event& event) {
  if (event.answered) {
    decider_->OnProbeAnswer(event.server, event.probe_id, event.state,
                            core::clock::now());
  } else {
    decider_->OnProbeFailed(event.server, event.probe_id, event.refused,
                            core::clock::now());
  }
}

void decision_duty::On(const backends::role_set_event& event) {
  decider_->OnRoleCommandDone(event.server);
}

void decision_duty::On(const instances::forwarded_statement_event& event) {
  decider_->OnForwardedStatement(event.from, event.work, core::clock::now());
}

void decision_duty::On(const instances::reply_event& event) {
  decider_->OnForwardedReply(event.reply, core::clock::now());
}

void decision_duty::On(const instances::forward_lost_event& event) {
  decider_->OnForwardLost(event.ticket, core::clock::now());
}

void decision_duty::On(const instances::heartbeat_event& event) {
  const decisions::heartbeat& beat = event.beat;
  if (!decider_->Members().IsKnown(beat.from) && beat.port != 0) {
    core::instance_entry sender;
    sender.id = beat.from;
    sender.zone = beat.zone;
    sender.host = beat.host;
    sender.port = beat.port;
    channels_.to_instances.TrySend(instances::peers_command{{sender}});
  }
  decider_->OnHeartbeat(beat, core::clock::now());
}

void decision_duty::On(const instances::configuration_event& event) {
  OnConfiguration(event.configuration);
}

void decision_duty::On(const tables::record_event& event) {
  const core::time_point now = core::clock::now();
  if (event.available) {
    decider_->OnGroupRecord(event.database, event.record, now);
  } else {
    decider_->OnGroupRecordUnavailable(event.database, now);
  }
}

void decision_duty::On(const tables::compare_and_set_event& event) {
  decider_->OnCompareAndSet(event.database, event.status, event.current,
                            core::clock::now());
}

void decision_duty::On(const tables::configuration_event& event) {
  OnConfiguration(event.configuration);
}

void decision_duty::On(const tables::instances_event& event) {
  channels_.to_instances.TrySend(instances::peers_command{event.instances});
  decider_->OnInstanceList(event.instances, core::clock::now());
}

void decision_duty::OnConfiguration(
    const std::shared_ptr<const core::configuration>& configuration) {
  // The other duties need the addresses before the decider uses them.
  if (configuration->version > sent_configuration_version_) {
    sent_configuration_version_ = configuration->version;
    channels_.to_backends.TrySend(
        backends::configuration_command{configuration});
    channels_.to_callers.TrySend(callers::configuration_command{configuration});
    channels_.to_instances.TrySend(
        instances::configuration_command{configuration});
  }
  decider_->OnConfiguration(configuration, core::clock::now());
}

void decision_duty::On(const operators::status_query& query) {
  channels_.to_operators.TrySend({query.id, Status()});
}

void decision_duty::On(const operators::drain_query& query) {
  Drain();
  channels_.to_operators.TrySend({query.id, Status()});
}

std::shared_ptr<const operators::instance_status> decision_duty::Status() {
  const core::time_point now = core::clock::now();
  const auto status = std::make_shared<operators::instance_status>();
  status->self = settings_.self;
  status->zone = settings_.zone;
  status->ready = decider_->IsReady();
  status->draining = decider_->IsDraining();
  status->unfinished = decider_->Unfinished();
  for (const auto& each : decider_->Members().Candidates()) {
    status->live_instances.push_back(each.id);
  }
  const auto configuration = decider_->Configuration();
  if (configuration == nullptr) {
    return status;
  }
  status->deployment = configuration->deployment;
  status->configuration_version = configuration->version;
  for (const core::database_settings& database : configuration->databases) {
    operators::database_status& shown = status->databases.emplace_back();
    shown.name = database.name;
    const decisions::group_controller* controller =
        decider_->Controller(database.id);
    shown.watched = controller != nullptr;
    if (controller != nullptr) {
      shown.record = controller->Record();
    }
    for (core::slot_number slot = 0; slot < database.Slots(); ++slot) {
      operators::server_status& server = shown.servers.emplace_back();
      server.slot = slot;
      server.zone = configuration->ZoneName(database.servers[slot].zone);
      server.leaving = database.servers[slot].leaving;
      server.connections = decider_->Connections({database.id, slot});
      if (controller == nullptr) {
        continue;
      }
      server.alive = controller->IsAlive(slot, now);
      const auto offset = controller->Tracker().ReportedOffset(slot);
      const auto age = controller->Tracker().EstimatedAge(slot, now);
      if (offset.has_value()) {
        server.position = static_cast<std::int64_t>(*offset);
      }
      if (age.has_value()) {
        server.age_ms = core::ToMilliseconds(*age).count();
      }
    }
  }
  return status;
}

void decision_duty::RunAttempt(const decisions::attempt& work) {
  if (channels_.to_backends.TrySend(backends::attempt_command{work})) {
    return;
  }
  decisions::attempt_result refused;
  refused.id = work.id;
  refused.server = work.server;
  deferred_events_.emplace_back([this, refused] {
    decider_->OnAttemptResult(refused, core::clock::now());
  });
}

void decision_duty::CloseConnection(core::backend_server_id server,
                                    std::uint32_t connection) {
  CHECK(channels_.to_backends.TrySend(
      backends::close_connection_command{server, connection}))
      << "decisions: ring to the backend servers is full";
}

void decision_duty::ProbeServer(const decisions::server_probe& probe) {
  channels_.to_backends.TrySend(backends::probe_command{probe});
}

void decision_duty::SendRoleCommand(const decisions::role_command& command) {
  channels_.to_backends.TrySend(backends::set_role_command{command});
}

void decision_duty::ForwardStatement(
    core::instance_id to,
    const decisions::forwarded_statement& work) {
  if (channels_.to_instances.TrySend(instances::forward_command{to, work})) {
    return;
  }
  deferred_events_.emplace_back([this, ticket = work.ticket] {
    decider_->OnForwardLost(ticket, core::clock::now());
  });
}

void decision_duty::ReplyToPeer(core::instance_id /*to*/,
                                const decisions::forwarded_reply& reply) {
  CHECK(channels_.to_instances.TrySend(instances::reply_command{reply}))
      << "decisions: ring to the instances is full";
}

void decision_duty::ClosePeerConnection(core::instance_id peer) {
  channels_.to_instances.TrySend(instances::close_peer_command{peer});
}

void decision_duty::SendHeartbeat(core::instance_id to,
                                  const decisions::heartbeat& beat) {
  decisions::heartbeat sent = beat;
  sent.host = settings_.peer_host;
  sent.port = settings_.peer_port;
  channels_.to_instances.TrySend(instances::heartbeat_command{to, sent});
}

void decision_duty::ReadGroupRecord(core::database_id database) {
  channels_.to_platform.TrySend(tables::read_record_command{database});
}

void decision_duty::CompareAndSetGroupRecord(core::database_id database,
                                             const core::group_record& record) {
  channels_.to_platform.TrySend(
      tables::compare_and_set_command{database, record});
}

void decision_duty::ReadConfiguration(std::uint64_t known_version) {
  channels_.to_platform.TrySend(
      tables::read_configuration_command{known_version});
}

void decision_duty::PullConfiguration(core::instance_id from) {
  channels_.to_instances.TrySend(
      instances::request_configuration_command{from});
}

void decision_duty::ReadInstanceList() {
  channels_.to_platform.TrySend(tables::read_instances_command{});
}

void decision_duty::AnswerCaller(std::uint64_t ticket,
                                 const core::statement_outcome& outcome) {
  CHECK(channels_.to_callers.TrySend(callers::answer_command{ticket, outcome}))
      << "decisions: ring to the callers is full";
}

void decision_duty::LogDecision(const decisions::decision_log_entry& entry) {
  if (!settings_.log_decisions) {
    return;
  }
  const auto configuration =
      decider_ == nullptr ? nullptr : decider_->Configuration();
  LOG(INFO) << FormatDecision(entry, configuration.get());
}

}  // namespace plantaintiller::serve
