#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/accounts/session_access.h"
#include "plantaintiller/core/route.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/connection_set_up.h"
#include "plantaintiller/sessions/server_connection.h"
#include "plantaintiller/sessions/session_host.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// Limits of one session's requests.
struct session_settings {
  /// Longest wait for the leadership proof of a server. The proof occupies no
  /// slot, so this covers one round trip between regions and the delay of a
  /// slow machine.
  core::milliseconds proof_timeout{350};
  /// A commit that took longer than this may have been confirmed before a
  /// change of primary and answered after it, so that its answer does not prove
  /// that its server still led. A change of primary takes longer than this.
  core::milliseconds longest_proving_commit{150};
  /// A connection that has received nothing for longer is tested before a write
  /// is sent on it, because a write whose answer is lost cannot be repeated.
  core::milliseconds max_silence_before_write{500};
  /// Pause before a request to a busy server is retried: about the run time of
  /// one statement.
  core::milliseconds busy_pause{25};
  /// How long a group may have no responsive leader before requests that need
  /// one are refused at once: a change of primary with one retry.
  core::milliseconds leader_wait_limit{3000};
  /// A request is refused after the latency objective divided by this number if
  /// all servers that could run it are saturated. The caller can then retry
  /// twice and still be answered within the objective.
  int overload_divisor = 4;
  /// Retry-after time in refusals when the group has no responsive leader: half
  /// of a usual change of primary on the users' databases.
  core::milliseconds leader_retry_after{500};
  /// Maximum number of attempts for one statement.
  int max_attempts = 8;
  /// Whether `admission::group_admission` decides which requests wait and which
  /// are refused. If not, a request is refused after the fraction of its
  /// objective given above.
  bool deadline_admission = false;
};

/// Session of one caller: its session values, prepared statements, open
/// transaction, position of its last commit, and the request in progress.
///
/// The engine receives typed events and acts through `session_host`. It runs
/// one request at a time.
class session_engine : public reply_listener,
                       public replication::leadership_check_listener {
 public:
  /// @param host must outlive the session.
  /// @param settings must outlive the session.
  session_engine(session_host& host, const session_settings& settings);
  ~session_engine() override;
  session_engine(const session_engine&) = delete;
  session_engine& operator=(const session_engine&) = delete;

  /// Called with a message of the caller; only when `IsIdle`.
  void OnMessage(const caller_message& message);
  /// Called when the caller's connection was closed or lost.
  void OnCallerDisconnected();
  /// Called with the connection requested by `session_host::Acquire`.
  void OnConnection(server_connection& connection);
  /// Called when the permit requested by `session_host::AcquirePermit` is
  /// granted.
  void OnPermit();
  /// Called at the time set by `session_host::SetTimer`.
  void OnTimer();
  void OnReply(server_reply reply) override;
  void OnConnectionLost() override;
  void OnLeadershipChecked(replication::leadership_result result) override;
  /// Ends an open transaction, for instance at shutdown, and refuses from now
  /// on whatever would have to be sent to a server. A statement that was sent
  /// is answered first.
  /// @param reason part of the refusals; a string of static storage.
  void RefuseFurtherWork(const char* reason);

  /// @return name of the database that the caller asked for.
  const std::string& Database() const { return database_; }
  /// @return whether no request is in progress.
  bool IsIdle() const { return phase_ == phase::kIdle; }
  /// @return whether a transaction is open from the caller's point of view.
  bool InTransaction() const { return transaction_ != transaction::kNone; }

 private:
  enum class phase : std::uint8_t {
    kIdle,
    /// Waits for a connection.
    kAcquiring,
    /// Waits before a retry.
    kAwaitingRetry,
    /// Waits for the answers to set-up and BEGIN, before the statement is sent.
    kBeginning,
    /// A statement of a transaction waits for the permit to be sent.
    kAwaitingPermit,
    /// A statement of an open transaction waits for the answers to set-up.
    kSettingUp,
    kRunning,
    /// The server has answered; waits for the check that it is the leader.
    kCheckingLeader,
  };
  enum class transaction : std::uint8_t {
    kNone,
    /// Begun by the caller, but not sent to a server yet.
    kDeferred,
    kOpen,
    /// Lost with its connection; not reported to the caller yet.
    kLost,
    /// Failed, and reported to the caller.
    kFailed,
  };

  void OnStart(const caller_message& message);
  void OnStatement(const statement& request);
  /// Handles SET, PREPARE and DEALLOCATE, which the session answers itself.
  void OnLocalStatement(const statement& request);
  void OnBegin(const statement& request);
  void OnRollback();
  /// Handles a statement that is sent to a server.
  void OnForwardedStatement(const statement& request);
  bool ResolveRoute();
  bool NeedsLeader() const;
  bool Writes() const;
  bool IsCommit() const { return current_.kind == statement_kind::kCommit; }
  bool HasTransaction() const { return transaction_ != transaction::kNone; }

  /// Whether the caller's key still gives access to the database under the
  /// configuration in force.
  bool HasAccess();
  /// Ends the session, and rolls back an open transaction, because the caller's
  /// key gives no access any more.
  void RefuseAccess();
  /// Counts the operation in progress for the limit of its account. If the
  /// limit does not allow it, the request is refused as not run.
  /// @return whether it may go to a server.
  bool AdmitOperation();
  void StartAttempt();
  /// Requirements of the request in progress.
  connection_requirements Requirements() const;
  /// @return null if the settings do not ask for it.
  admission::group_admission* Admission() const;
  /// Called before the first attempt of an operation: recognises a caller that
  /// has come back after a refusal.
  void BeginOperation();
  /// Whether a request that has missed its objective waits on.
  bool MayWaitBeyondObjective(admission::group_admission& control) const;
  /// Whether the request may be retried.
  /// @param exclude whether its last server is left out.
  bool TakeRetry(bool exclude) const;
  /// Counts a refusal, and announces when to come back.
  core::milliseconds AnnounceReturn(admission::group_admission& control,
                                    const char* reason);
  /// Whether a new leader can be expected within the time of a request.
  bool AwaitsLeader() const;
  /// For how long the group has had no responsive leader.
  core::duration LeaderUnavailableTime() const;
  /// Whether every server that could run the request is saturated.
  bool IsOverloaded() const;
  /// Time until which the request waits for a connection.
  core::time_point WaitDeadline() const;
  std::optional<core::log_position> PositionForRead() const;
  /// Appends the commands that give the connection the values and prepared
  /// statements of this session, and expects their answers.
  /// @return whether there are any.
  bool AppendSetUp(std::string& out);
  /// Sends BEGIN, which fails at a server that knows it is not the leader,
  /// unless it is read-only.
  /// @param keep_open false to send ROLLBACK right after it.
  void SendBegin(std::string out,
                 bool keep_open,
                 bool read_only,
                 std::optional<core::log_position> at_least);
  /// Sends the request, which is in no transaction, on a connection that needs
  /// no set-up.
  void SendRequest();
  /// Sends a read that only the leader may answer, behind an empty transaction
  /// as a test of the leader.
  void SendLeaderRead();
  void AppendCurrent(std::string& out,
                     std::optional<core::log_position> at_least);
  /// @param commit commit that is checked with it.
  void RequestLeadershipCheck(
      std::optional<replication::acknowledged_commit> commit = std::nullopt);
  /// @return whether the request in progress commits writes.
  bool CommitsWrites() const {
    return IsCommit() ? transaction_wrote_
                      : current_writes_ && !HasTransaction();
  }
  void CancelLeadershipCheck();
  /// Whether the answer to the statement needs a check of the leader, or of the
  /// servers that have the commit.
  bool NeedsCheck(const server_reply& reply) const;
  /// @return the commit that an answer acknowledges and a replica has
  /// confirmed; nothing if there is none.
  std::optional<replication::acknowledged_commit> ConfirmedCommit(
      const server_reply& reply) const;
  /// Ends a request whose server was not confirmed as the leader.
  void OnLeaderNotConfirmed();
  /// Sends the commands whose answers are outstanding.
  void SendCommands(const std::string& bytes);
  void SendWithPermit();
  void SendStatement(std::optional<core::log_position> at_least);
  /// Called with the answer to one command of the set-up.
  void OnSetUpAnswer(const server_reply& reply);
  void OnBeginAnswered();
  /// Called when BEGIN or the set-up before it was refused; no statement was
  /// sent.
  void OnBeginRefused();
  /// Called when set-up in an open transaction has been answered.
  /// @param state of the connection.
  void OnSetUpInTransaction(session_state state);
  /// Whether a statement of the transaction may be sent again on its
  /// connection.
  /// @param state of the connection after the refusal.
  bool CanRetryInTransaction(failure_code code, session_state state) const;
  void OnStatementReply(const server_reply& reply);
  void OnSuccess(const server_reply& reply);
  void OnFailure(const server_reply& reply);
  void OnCommitFailure(const server_reply& reply, bool not_run);
  /// @param outcome kLost or kTimedOut.
  void ReportUnresponsive(core::time_point sent,
                          balancing::request_outcome outcome);
  /// Reports the outcome of a request to the group's balancer, if it has one.
  void RecordOutcome(balancing::request_outcome outcome, core::time_point sent);
  /// Reports a failure to the group state.
  void RecordServerFailure(failure_code code);
  void Retry(const char* reason, bool exclude);
  /// Whether the request is the first statement of a transaction that only
  /// reads, so that the transaction can begin anew at another server.
  bool CanRestartTransaction() const;
  /// Begins the transaction anew at another server.
  void RestartTransaction(const char* reason, release_kind kind);
  /// Whether a request that only the leader runs and that its server has not
  /// run may be sent to another server, which has become the leader, at once.
  bool HasOtherLeader() const;
  void PauseThenRetry(core::milliseconds pause);
  void OnRunningTimeout();
  /// Ends the open transaction of an idle session; its next statement is
  /// refused.
  void AbandonTransaction(const char* reason);
  /// Refuses the request in progress, of which nothing was sent.
  void RefuseUnsent();
  void AbandonRequest(failure_code code, const char* reason);
  void FailTransaction(const char* reason);
  /// Appends the retry-after time to the reason of a refusal.
  std::string WithRetryAfter(const char* reason);
  void FinishFailure(failure_code code,
                     const std::string& text,
                     session_state state);
  void FinishSuccess(const server_reply& reply, session_state state);
  /// Closes the caller's connection if the leader could not be proved and the
  /// session is idle. This instance may be on the minority side of a partition;
  /// the caller returns through the load balancer, possibly to an instance that
  /// reaches the servers.
  void SendCallerElsewhere();
  void EndRequest();
  void ReleaseConnection(release_kind kind);
  session_state State() const;
  void ReplyLocal();
  void ReplyFailure(failure_code code, const std::string& text);
  void LogRequest(const char* event, std::string_view detail);

  session_host& host_;
  const session_settings& settings_;
  std::string database_;
  accounts::session_access access_;
  bool started_ = false;
  std::optional<core::route> route_;
  std::uint64_t route_version_ = 0;
  std::map<std::string, std::string> values_;
  std::map<std::string, prepared_statement> prepared_;
  transaction transaction_ = transaction::kNone;
  bool transaction_read_only_ = false;
  bool transaction_wrote_ = false;
  /// Whether a statement of the transaction was answered.
  bool transaction_answered_ = false;
  core::log_position last_commit_;

  phase phase_ = phase::kIdle;
  statement current_;
  bool current_writes_ = false;
  core::time_point arrived_;
  core::time_point deadline_;
  core::time_point sent_;
  std::vector<std::string> excluded_;
  int attempts_ = 0;
  /// Whether the last attempt may have reached a server, so that another one
  /// counts as an operation of its own.
  bool attempt_sent_ = false;
  server_connection* connection_ = nullptr;
  /// Client account of the last connection that was requested.
  std::string requested_account_;
  std::string server_;
  /// Commands whose answers are outstanding.
  std::deque<command_kind> outstanding_;
  connection_set_up set_up_;
  /// Whether the caller's connection is closed once the session is idle.
  bool sends_caller_elsewhere_ = false;
  /// Why nothing more is sent to a server; null while it is.
  const char* refusal_reason_ = nullptr;
  /// Whether a leadership check was requested for the current attempt.
  bool check_requested_ = false;
  /// Its result; nothing while there is none.
  std::optional<replication::leadership_result> check_result_;
  /// Group of the check that has no result yet; empty if there is none.
  std::string checked_group_;
  /// Answer that is kept until the check has ended.
  std::optional<server_reply> kept_reply_;
  bool begin_failed_ = false;
  failure_code begin_failure_ = failure_code::kOther;
  /// Whether the refusal of BEGIN may belong to an earlier command.
  bool begin_failure_unclear_ = false;
  std::optional<core::log_position> proved_position_;
  /// Position that the last command required.
  std::optional<core::log_position> requested_position_;
  const char* last_reason_ = "no_server";

  /// When the operation in progress arrived first.
  core::time_point operation_since_;
  /// How often the caller has come back with it; 0 for a new operation.
  int returns_ = 0;
  /// When the caller of a refused operation was told to come back; nothing if
  /// no place is kept for it.
  std::optional<core::time_point> return_at_;
};

}  // namespace plantaintiller::sessions
