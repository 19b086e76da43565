#include "plantaintiller/model/model_instance.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::model {

namespace {
/// Time until TCP keep-alive closes an idle connection that is silent.
constexpr core::duration kKeepAliveTimeout = std::chrono::milliseconds(3000);
/// Time until TCP closes a connection whose data is not acknowledged.
constexpr core::duration kTcpUserTimeout = std::chrono::milliseconds(700);
constexpr core::duration kTickInterval = std::chrono::milliseconds(5);
constexpr core::duration kIdleTimeBeforeExit = std::chrono::milliseconds(700);
/// An answer that is later than this after its deadline counts as missing.
constexpr core::duration kAnswerGracePeriod = std::chrono::milliseconds(500);
}  // namespace

model_instance::model_instance(
    const decisions::instance_decider_settings& settings,
    instance_environment environment,
    std::uint64_t seed)
    : settings_(settings),
      environment_(std::move(environment)),
      seed_(seed),
      node_(node_id::Instance(settings.self)) {}

model_instance::~model_instance() = default;

void model_instance::Start() {
  seed_ += 1000003;
  decider_ =
      std::make_unique<decisions::instance_decider>(settings_, *this, seed_);
  connections_.clear();
  pending_.clear();
  inbound_.clear();
  ended_ = false;
  idle_since_ = Now();
  started_at_ = Now();
  Tick();
}

void model_instance::OnKilled() {
  pending_.clear();
  ended_ = true;
}

void model_instance::Tick() {
  decider_->OnTick(Now());
  CheckDeadlines();
  CheckDrained();
  if (!ended_) {
    environment_.net.ScheduleAfter(node_, kTickInterval, [this] { Tick(); });
  }
}

void model_instance::CheckDeadlines() {
  std::erase_if(pending_, [this](const auto& each) {
    const core::statement& work = each.second.work;
    // A frozen instance can only answer late. It is not reported because Tick()
    // lets it answer before this check.
    const bool overdue = Now() > work.deadline + kAnswerGracePeriod;
    if (overdue) {
      environment_.checker.ReportViolation(
          promise::kOneAnswerInTime,
          "request " + std::to_string(BodyOf(work).request) + " has no answer",
          Now());
    }
    return overdue;
  });
}

void model_instance::CheckDrained() {
  if (!decider_->IsDraining() || ended_) {
    return;
  }
  if (!decider_->IsIdle()) {
    idle_since_ = Now();
  }
  if (Now() - std::max(idle_since_, drain_started_) < kIdleTimeBeforeExit) {
    return;
  }
  ended_ = true;
  environment_.checker.OnShutdown(settings_.self, pending_.size(), Now());
  environment_.net.Kill(node_);
}

void model_instance::Drain() {
  drain_started_ = Now();
  decider_->Drain(Now());
}

void model_instance::SilenceConnections() {
  for (auto& [key, each] : connections_) {
    each.silent = each.open;
    if (!each.silent) {
      continue;
    }
    environment_.net.ScheduleAfter(
        node_, kKeepAliveTimeout,
        [this, key = key, generation = each.generation] {
          connection& found = connections_[key];
          if (found.silent && found.generation == generation) {
            DiscardConnection(key.first, key.second);
          }
        });
  }
}

void model_instance::OnCallerStatement(core::statement work,
                                       answer_callback done) {
  next_ticket_ += 1;
  const core::duration allowed = work.deadline - work.arrived;
  work.arrived = Now();
  work.deadline = Now() + allowed;
  if (getenv("DBG") && BodyOf(work).request == strtoull(getenv("DBG"), 0, 10))
    printf("DBG caller at %u at %ld\n", settings_.self.value,
           (long)core::ToMilliseconds(Now().time_since_epoch()).count());
  pending_[next_ticket_] = {work, std::move(done)};
  decider_->OnCallerStatement(next_ticket_, work, Now());
}

void model_instance::AnswerCaller(std::uint64_t ticket,
                                  const core::statement_outcome& outcome) {
  const auto found = pending_.find(ticket);
  if (found == pending_.end()) {
    environment_.checker.ReportViolation(promise::kOneAnswerInTime,
                                         "an instance answered a request twice",
                                         Now());
    return;
  }
  const pending answered = std::move(found->second);
  pending_.erase(found);
  environment_.checker.OnAnswer(answered.work, outcome, Now());
  answered.done(answered.work, outcome);
}

void model_instance::RunAttempt(const decisions::attempt& work) {
  environment_.checker.OnWorkSent(settings_.self, work, Now());
  if (getenv("DBG") &&
      BodyOf(work.work).request == strtoull(getenv("DBG"), 0, 10))
    printf("DBG run at %u at %ld kind %d\n", settings_.self.value,
           (long)core::ToMilliseconds(Now().time_since_epoch()).count(),
           (int)work.kind);
  connection& used = connections_[{work.server, work.connection}];
  core::duration delay{0};
  const bool is_new = !used.open;
  if (is_new) {
    used.generation = ++next_generation_;
    used.open = true;
    used.silent = false;
    delay = environment_.connect_time;
  }
  const std::uint64_t generation = used.generation;
  const connection_key key{settings_.self, environment_.net.Incarnation(node_),
                           work.connection, generation};
  const auto is_current = [this, work, generation] {
    const connection& now = connections_[{work.server, work.connection}];
    return now.open && now.generation == generation && !now.silent;
  };
  fake_server& server = environment_.server(work.server);
  const auto report_failure = [this, work,
                               is_current](decisions::attempt_status status) {
    if (!is_current()) {
      return;
    }
    DiscardConnection(work.server, work.connection);
    decisions::attempt_result result;
    result.id = work.id;
    result.server = work.server;
    result.status = status;
    decider_->OnAttemptResult(result, Now());
  };
  environment_.net.ScheduleAfter(
      node_, delay,
      [this, work, key, is_new, is_current, report_failure, &server] {
        connection& sending_connection =
            connections_[{work.server, work.connection}];
        const bool lost = sending_connection.silent ||
                          environment_.net.IsCut(node_, server.Node());
        if (sending_connection.generation == key.generation &&
            sending_connection.open && lost) {
          environment_.net.ScheduleAfter(
              node_, kTcpUserTimeout, [this, work, key] {
                OnAcknowledgementTimeout(work, key.generation);
              });
        }
        if (!is_current()) {
          return;
        }
        const auto reply = [this, work, is_current, report_failure,
                            &server](const decisions::attempt_result& result) {
          environment_.net.Send(
              server.Node(), node_, [this, result, is_current, report_failure] {
                const bool refused =
                    result.status ==
                        decisions::attempt_status::kTooManyConnections ||
                    result.status == decisions::attempt_status::kConnectionLost;
                if (refused) {
                  report_failure(result.status);
                } else if (is_current()) {
                  decider_->OnAttemptResult(result, Now());
                }
              });
        };
        environment_.net.Send(
            node_, server.Node(),
            [key, is_new, work, reply, &server] {
              server.OnAttempt(key, is_new, work, reply);
            },
            [report_failure, is_new] {
              report_failure(is_new
                                 ? decisions::attempt_status::kNotSent
                                 : decisions::attempt_status::kConnectionLost);
            });
      });
}

void model_instance::OnAcknowledgementTimeout(const decisions::attempt& work,
                                              std::uint64_t generation) {
  connection& used = connections_[{work.server, work.connection}];
  if (!used.open || used.generation != generation) {
    return;
  }
  DiscardConnection(work.server, work.connection);
  decisions::attempt_result result;
  result.id = work.id;
  result.server = work.server;
  result.status = decisions::attempt_status::kConnectionLost;
  decider_->OnAttemptResult(result, Now());
}

void model_instance::CloseConnection(core::backend_server_id server_id,
                                     std::uint32_t number) {
  if (connections_[{server_id, number}].open) {
    DiscardConnection(server_id, number);
  }
}

void model_instance::DiscardConnection(core::backend_server_id server_id,
                                       std::uint32_t number) {
  connection& closed = connections_[{server_id, number}];
  closed.open = false;
  const connection_key key{settings_.self, environment_.net.Incarnation(node_),
                           number, closed.generation};
  fake_server& server = environment_.server(server_id);
  environment_.net.Send(node_, server.Node(),
                        [key, &server] { server.OnClose(key); });
  // If the message is lost, the server's own keep-alive closes the connection.
  environment_.queue.ScheduleAfter(kKeepAliveTimeout,
                                   [key, &server] { server.OnClose(key); });
}

void model_instance::ProbeServer(const decisions::server_probe& probe) {
  fake_server& server = environment_.server(probe.server);
  environment_.net.Send(
      node_, server.Node(),
      [this, probe, &server] {
        server.OnProbe(node_, probe, [this, probe](core::server_state state) {
          decider_->OnProbeAnswer(probe.server, probe.id, state, Now());
        });
      },
      [this, probe] {
        decider_->OnProbeFailed(probe.server, probe.id, true, Now());
      });
}

void model_instance::SendRoleCommand(const decisions::role_command& command) {
  fake_server& server = environment_.server(command.server);
  environment_.net.Send(node_, server.Node(), [this, command, &server] {
    server.OnRoleCommand(node_, command, [this, command] {
      decider_->OnRoleCommandDone(command.server);
    });
  });
}

void model_instance::ForwardStatement(
    core::instance_id to,
    const decisions::forwarded_statement& work) {
  if (getenv("DBG") &&
      BodyOf(work.work).request == strtoull(getenv("DBG"), 0, 10))
    printf("DBG fwd %u->%u at %ld kind %d slot %d deadline %ld\n",
           settings_.self.value, to.value,
           (long)core::ToMilliseconds(Now().time_since_epoch()).count(),
           (int)work.work.kind, work.slot,
           (long)core::ToMilliseconds(work.work.deadline.time_since_epoch())
               .count());
  model_instance& peer = environment_.instance(to);
  environment_.net.Send(
      node_, peer.Node(),
      [this, work, &peer] { peer.OnForwarded(settings_.self, work); },
      [this, ticket = work.ticket] { decider_->OnForwardLost(ticket, Now()); });
}

void model_instance::OnForwarded(core::instance_id from,
                                 const decisions::forwarded_statement& work) {
  if (getenv("DBG") &&
      BodyOf(work.work).request == strtoull(getenv("DBG"), 0, 10))
    printf("DBG forwarded at %u at %ld\n", settings_.self.value,
           (long)core::ToMilliseconds(Now().time_since_epoch()).count());
  next_ticket_ += 1;
  inbound_[next_ticket_] = {from, work.ticket};
  decisions::forwarded_statement received = work;
  received.ticket = next_ticket_;
  decider_->OnForwardedStatement(from, received, Now());
}

void model_instance::ReplyToPeer(core::instance_id /*to*/,
                                 const decisions::forwarded_reply& reply) {
  const auto found = inbound_.find(reply.ticket);
  if (found == inbound_.end()) {
    environment_.checker.ReportViolation(
        promise::kOneAnswerInTime,
        "an instance replied twice to a forwarded statement", Now());
    return;
  }
  const auto [from, ticket] = found->second;
  inbound_.erase(found);
  model_instance& peer = environment_.instance(from);
  decisions::forwarded_reply sent = reply;
  sent.ticket = ticket;
  environment_.net.Send(node_, peer.Node(), [sent, &peer] {
    peer.decider_->OnForwardedReply(sent, peer.Now());
  });
}

void model_instance::ClosePeerConnection(core::instance_id /*peer*/) {}

void model_instance::SendHeartbeat(core::instance_id to,
                                   const decisions::heartbeat& beat) {
  model_instance& peer = environment_.instance(to);
  environment_.net.Send(node_, peer.Node(), [beat, &peer] {
    peer.decider_->OnHeartbeat(beat, peer.Now());
  });
}

void model_instance::ReadGroupRecord(core::database_id database) {
  environment_.platform.ReadRecord(
      node_, database,
      [this, database](bool available,
                       const std::optional<core::group_record>& row) {
        if (available) {
          decider_->OnGroupRecord(database, row, Now());
        } else {
          decider_->OnGroupRecordUnavailable(database, Now());
        }
      });
}

void model_instance::CompareAndSetGroupRecord(
    core::database_id database,
    const core::group_record& record) {
  environment_.platform.CompareAndSetRecord(
      node_, database, record,
      [this, database](decisions::compare_and_set_status status,
                       const std::optional<core::group_record>& current) {
        decider_->OnCompareAndSet(database, status, current, Now());
      });
}

void model_instance::ReadConfiguration(std::uint64_t /*known_version*/) {
  environment_.platform.ReadConfiguration(
      node_, [this](const std::shared_ptr<const core::configuration>& read) {
        ApplyConfiguration(read);
      });
}

void model_instance::PullConfiguration(core::instance_id from) {
  model_instance& peer = environment_.instance(from);
  environment_.net.Send(node_, peer.Node(), [this, &peer] {
    environment_.net.Send(peer.Node(), node_,
                          [this, offered = peer.decider_->Configuration()] {
                            ApplyConfiguration(offered);
                          });
  });
}

void model_instance::ApplyConfiguration(
    const std::shared_ptr<const core::configuration>& offered) {
  if (offered == nullptr || offered->version == 0) {
    return;
  }
  decider_->OnConfiguration(offered, Now());
  const auto current = decider_->Configuration();
  environment_.checker.OnConfiguration(settings_.self,
                                       environment_.net.Incarnation(node_),
                                       current->version, Now());
  for (const core::database_settings& database : current->databases) {
    for (core::slot_number slot = 0; slot < database.Slots(); ++slot) {
      environment_.checker.OnLeaving(settings_.self, {database.id, slot},
                                     database.servers[slot].leaving, Now());
    }
  }
}

void model_instance::ReadInstanceList() {
  environment_.platform.ReadInstances(
      node_, [this](const std::vector<core::instance_entry>& list) {
        decider_->OnInstanceList(list, Now());
      });
}

void model_instance::LogDecision(
    const decisions::decision_log_entry& decision) {
  if (environment_.decision_observer) {
    environment_.decision_observer(settings_.self, decision);
  }
}

}  // namespace plantaintiller::model
