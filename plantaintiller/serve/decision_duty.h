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

/// Runs the instance_decider: passes the events that the channels deliver to it
/// and sends the actions that it decides on to the channels. All methods except
/// the constructor must be called on the decision duty's thread.
class decision_duty : public decisions::instance_actions {
 public:
  /// @param context runs the timer of the periodic tick.
  /// @param duty_channels must outlive this object.
  /// @param drained called once, on the decision duty's thread, when a graceful
  /// shutdown has finished.
  decision_duty(boost::asio::io_context& context,
                channels& duty_channels,
                const serve_settings& settings,
                std::function<void()> drained);
  ~decision_duty() override;

  /// Passes the seed instances to the decider as peers and starts the periodic
  /// tick. Call once.
  void Start();
  /// Starts a graceful shutdown.
  void Drain();

  /// @name Processing of everything that waits in one channel
  /// Called when the channel's sender has queued something.
  /// @{
  void ProcessCallerStatements();
  void ProcessBackendEvents();
  void ProcessInstanceEvents();
  void ProcessPlatformEvents();
  void ProcessOperatorQueries();
  /// @}

 private:
  // instance_actions
  void RunAttempt(const decisions::attempt& work) override;
  void CloseConnection(core::backend_server_id server,
                       std::uint32_t connection) override;
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
  void LogDecision(const decisions::decision_log_entry& entry) override;

  void On(const backends::attempt_event& event);
  void On(const backends::probe_event& event);
  void On(const backends::role_set_event& event);
  void On(const instances::forwarded_statement_event& event);
  void On(const instances::reply_event& event);
  void On(const instances::forward_lost_event& event);
  void On(const instances::heartbeat_event& event);
  void On(const instances::configuration_event& event);
  void On(const tables::record_event& event);
  void On(const tables::compare_and_set_event& event);
  void On(const tables::configuration_event& event);
  void On(const tables::instances_event& event);
  void On(const operators::status_query& query);
  void On(const operators::drain_query& query);

  void Tick();
  void RunDeferredEvents();
  void OnConfiguration(
      const std::shared_ptr<const core::configuration>& configuration);
  void UseSeeds(const core::configuration& configuration);
  void CheckDrained();
  std::shared_ptr<const operators::instance_status> Status();
  std::string DatabaseName(core::database_id database) const;

  channels& channels_;
  serve_settings settings_;
  std::function<void()> drained_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<decisions::instance_decider> decider_;
  std::uint64_t sent_configuration_version_ = 0;
  core::time_point drain_started_;
  core::time_point idle_since_;
  bool shutdown_finished_ = false;
  // Events that arise while the decider runs. They are passed to it after it
  // has returned.
  std::vector<std::function<void()>> deferred_events_;
};

}  // namespace plantaintiller::serve
