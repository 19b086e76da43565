#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "plantaintiller/gateway/caller_environment.h"
#include "plantaintiller/sessions/hosted_session.h"
#include "plantaintiller/sessions/session_host.h"

namespace plantaintiller::gateway {

/// A session that this instance serves, for a caller that is connected to this
/// instance or to another one. Runs the session engine and provides its timers
/// and connections to servers.
class caller_session : public sessions::hosted_session,
                       public sessions::session_host,
                       public connection_waiter,
                       public replication::leadership_check_listener,
                       public std::enable_shared_from_this<caller_session> {
 public:
  /// @param environment must outlive the session.
  /// @param channel must stay valid until the session is destroyed or
  /// `OnCallerDisconnected` is called.
  caller_session(boost::asio::io_context& context,
                 caller_environment& environment,
                 sessions::session_channel& channel);

  // sessions::hosted_session
  void Start(const std::string& database,
             const accounts::caller_identity& identity) override;
  void OnBytes(std::string_view bytes) override;
  void OnCallerDisconnected() override;
  void RefuseFurtherWork(const char* reason) override {
    engine_.RefuseFurtherWork(reason);
  }
  void CloseWhenIdle() override;
  bool IsFullyAnswered() const override {
    return engine_.IsIdle() && input_.empty();
  }
  bool InTransaction() const override { return engine_.InTransaction(); }
  bool IsInputFull() const override {
    return input_.size() > sessions::kMaxMessageBytes;
  }

  // sessions::session_host
  core::time_point Now() const override { return core::clock::now(); }
  const core::route_table& Routes() const override {
    return environment_.Routes();
  }
  accounts::operation_limiter* OperationLimiter() override {
    return environment_.OperationLimiter();
  }
  replication::group_state* Group(const std::string& name) override {
    return environment_.Group(name);
  }
  admission::group_admission* Admission(const std::string& name) override {
    return environment_.Admission(name);
  }
  sessions::caller_codec& Callers() override { return environment_.Callers(); }
  sessions::server_codec& Servers() override { return environment_.Servers(); }
  void Acquire(const sessions::connection_requirements& need) override;
  void CancelAcquire() override;
  bool AcquirePermit(sessions::server_connection& connection) override;
  void CancelPermit(sessions::server_connection& connection) override;
  void ReleasePermit(sessions::server_connection& connection,
                     bool sample_latency) override;
  void RequestLeadershipCheck(
      const std::string& group,
      const std::string& server,
      std::optional<replication::acknowledged_commit> commit,
      replication::leadership_check_listener& listener) override {
    environment_.LeadershipChecks().Request(group, server, commit, *this);
    check_listener_ = &listener;
  }
  void CancelLeadershipCheck(const std::string& group,
                             replication::leadership_check_listener&) override {
    environment_.LeadershipChecks().Cancel(group, *this);
    check_listener_ = nullptr;
  }
  void OnCommitConfirmed(const std::string& group,
                         const std::string& server,
                         core::time_point sent) override {
    environment_.OnCommitConfirmed(group, server, sent);
  }
  void Reply(const std::string& bytes) override;
  void OnAccessRefused(const accounts::caller_identity& identity,
                       accounts::access reason,
                       const std::string& database) override {
    environment_.OnAccessRefused(identity, reason, database);
  }
  void Close() override;
  void EndIdle(sessions::failure_code code, std::string_view reason) override;
  void SetTimer(core::time_point when) override;
  void ClearTimer() override;
  void OnNotLeader(const std::string& group,
                   const std::string& server) override {
    environment_.OnNotLeader(group, server);
  }
  void OnServerUnresponsive(const std::string& group,
                            const std::string& server) override {
    environment_.OnServerUnresponsive(group, server);
  }
  void LogRequest(const sessions::request_log_entry& note) override;
  void CountStatement(const core::route* route,
                      bool at_leader,
                      core::duration took,
                      const char* failure) override {
    environment_.Metrics().OnAnswer(route, at_leader, took, failure);
  }
  void CountEvent(const char* name) override {
    environment_.Metrics().Count(name);
  }

  // connection_waiter
  sessions::reply_listener& Listener() override { return engine_; }
  void OnConnection(sessions::server_connection& connection) override;
  void OnPermit() override;

  // replication::leadership_check_listener
  void OnLeadershipChecked(replication::leadership_result result) override;

 private:
  void ProcessInput();
  /// Refuses the requests that have been sent ahead; no further ones are
  /// processed.
  void RefuseInput(sessions::session_ending& ending);
  bool IsBusy() const { return !IsFullyAnswered() || InTransaction(); }

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  caller_environment& environment_;
  /// Null after the caller has disconnected.
  sessions::session_channel* channel_;
  sessions::session_engine engine_;
  /// Pool in which a connection request waits; null if none does.
  connection_pool* pool_ = nullptr;
  /// Pool of the connection that is in use.
  connection_pool* acquired_from_ = nullptr;
  /// Receives the result of the check in progress; null if there is none.
  replication::leadership_check_listener* check_listener_ = nullptr;
  std::string input_;
  bool processing_input_ = false;
  bool closing_ = false;
  bool closing_when_idle_ = false;
};

}  // namespace plantaintiller::gateway
