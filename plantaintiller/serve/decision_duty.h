#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/decisions/instance_decider.h"
#include "plantaintiller/serve/channels.h"
#include "plantaintiller/serve/serve_settings.h"

namespace plantaintiller::serve {

/// The duty that runs the decisions: feeds them from the rings and carries
/// their actions to the rings. All calls but the constructor's are on the
/// decisions' thread.
class decision_duty : public decisions::instance_actions {
 public:
  /// @param drained called once when a graceful shutdown has finished.
  decision_duty(boost::asio::io_context& context,
                channels& rings,
                const serve_settings& settings,
                std::function<void()> drained);
  ~decision_duty() override;

  /// Starts the clock.
  void Start();
  /// Starts a graceful shutdown.
  void Drain();
  /// Takes in all that waits in the rings.
  void DrainCallers();
  void DrainBackends();
  void DrainInstances();
  void DrainPlatform();
  void DrainOperators();

 private:
  // instance_actions
  void RunAttempt(const decisions::attempt& work) override;
  void CloseConnection(core::backend_server_id server,
                       std::uint32_t connection) override;
  void ProbeServer(const decisions::server_probe& probe) override;
  void SendRoleCommand(const decisions::role_command& order) override;
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
  void LogDecision(const decisions::decision_log_entry& note) override;

  void On(const backends::attempt_event& happened);
  void On(const backends::probe_event& happened);
  void On(const backends::role_set_event& happened);
  void On(const instances::forwarded_statement_event& happened);
  void On(const instances::reply_event& happened);
  void On(const instances::forward_lost_event& happened);
  void On(const instances::heartbeat_event& happened);
  void On(const instances::configuration_event& happened);
  void On(const tables::record_event& happened);
  void On(const tables::compare_and_set_event& happened);
  void On(const tables::configuration_event& happened);
  void On(const tables::instances_event& happened);
  void On(const operators::status_query& asked);
  void On(const operators::drain_query& asked);

  void Tick();
  void Flush();
  void OnConfiguration(
      const std::shared_ptr<const core::configuration>& offered);
  void UseSeeds(const core::configuration& configuration);
  void CheckDrained();
  std::shared_ptr<const operators::instance_status> Status();
  std::string DatabaseName(core::database_id database) const;

  channels& rings_;
  serve_settings settings_;
  std::function<void()> drained_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<decisions::instance_decider> decider_;
  std::uint64_t offered_version_ = 0;
  core::time_point drain_started_;
  core::time_point idle_since_;
  bool drained_told_ = false;
  // Events made while the decisions run, for when they have returned.
  std::vector<std::function<void()>> later_;
};

}  // namespace plantaintiller::serve
