#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/decisions/instance_decider.h"
#include "plantaintiller/model/fake_platform.h"
#include "plantaintiller/model/fake_server.h"
#include "plantaintiller/model/history_checker.h"
#include "plantaintiller/model/network.h"

namespace plantaintiller::model {

class model_instance;

/// Simulated components that an instance uses.
struct instance_environment {
  event_queue& queue;
  network& net;
  fake_platform& platform;
  history_checker& checker;
  std::function<fake_server&(core::backend_server_id)> server;
  std::function<model_instance&(core::instance_id)> instance;
  /// Time to open a connection to a backend server.
  core::duration connect_time;
  /// Called for each decision that the instance logs; may be empty.
  const std::function<void(core::instance_id,
                           const decisions::decision_log_entry&)>&
      decision_observer;
};

/// Simulates an entry instance. It runs the same decision classes as `serve`
/// and performs their actions over the simulated network.
class model_instance : public decisions::instance_actions {
 public:
  /// Receives the request, with its arrival time and deadline at the instance,
  /// and its outcome.
  using answer_callback = std::function<void(const core::statement&,
                                             const core::statement_outcome&)>;

  model_instance(const decisions::instance_decider_settings& settings,
                 instance_environment environment,
                 std::uint64_t seed);
  ~model_instance() override;

  /// Starts the process without any state of an earlier incarnation.
  void Start();
  /// Called when the process is killed.
  void OnKilled();
  /// Called at the instance when a caller's request arrives.
  void OnCallerStatement(core::statement work, answer_callback done);
  /// Starts a graceful shutdown; the process ends when its requests are
  /// answered.
  void Drain();
  /// Makes all open connections silent: they stay open but transfer no more
  /// data.
  void SilenceConnections();

  const decisions::instance_decider& Decider() const { return *decider_; }
  node_id Node() const { return node_; }
  /// Whether the process was killed or has ended a graceful shutdown.
  bool HasEnded() const { return ended_; }
  core::time_point StartedAt() const { return started_at_; }

 private:
  struct connection {
    std::uint64_t generation = 0;
    bool open = false;
    bool silent = false;
  };
  struct pending {
    core::statement work;
    answer_callback done;
  };

  void RunAttempt(const decisions::attempt& work) override;
  void CloseConnection(core::backend_server_id server,
                       std::uint32_t number) override;
  void ProbeServer(const decisions::server_probe& probe) override;
  void SendRoleCommand(const decisions::role_command& command) override;
  void ForwardStatement(core::instance_id to,
                        const decisions::forwarded_statement& work) override;
  void ReplyToPeer(core::instance_id to,
                   const decisions::forwarded_reply& reply) override;
  void ClosePeerConnection(core::instance_id peer) override;
  void SendHeartbeat(core::instance_id to,
                     const decisions::heartbeat& beat) override;
  void ReadGroupRecord(core::database_id database) override;
  void CompareAndSetGroupRecord(core::database_id database,
                                const core::group_record& record) override;
  void ReadConfiguration(std::uint64_t known_version) override;
  void PullConfiguration(core::instance_id from) override;
  void ReadInstanceList() override;
  void AnswerCaller(std::uint64_t ticket,
                    const core::statement_outcome& outcome) override;
  void LogDecision(const decisions::decision_log_entry& decision) override;

  void OnAcknowledgementTimeout(const decisions::attempt& work,
                                std::uint64_t generation);
  void DiscardConnection(core::backend_server_id server, std::uint32_t number);
  void Tick();
  void CheckDrained();
  void CheckDeadlines();
  void ApplyConfiguration(
      const std::shared_ptr<const core::configuration>& offered);
  void OnForwarded(core::instance_id from,
                   const decisions::forwarded_statement& work);
  core::time_point Now() const { return environment_.queue.Now(); }

  decisions::instance_decider_settings settings_;
  instance_environment environment_;
  std::uint64_t seed_;
  node_id node_;
  std::unique_ptr<decisions::instance_decider> decider_;
  std::map<std::pair<core::backend_server_id, std::uint32_t>, connection>
      connections_;
  std::uint64_t next_generation_ = 0;
  std::uint64_t next_ticket_ = 0;
  std::map<std::uint64_t, pending> pending_;
  // Sender of each forwarded statement and the sender's ticket, by the ticket
  // assigned here.
  std::map<std::uint64_t, std::pair<core::instance_id, std::uint64_t>> inbound_;
  core::time_point started_at_;
  core::time_point drain_started_;
  core::time_point idle_since_;
  bool ended_ = false;
};

}  // namespace plantaintiller::model
