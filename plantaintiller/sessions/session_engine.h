#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/core/route.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/server_connection.h"
#include "plantaintiller/sessions/session_host.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// Limits of one session's requests.
struct session_settings {
  /// Longest wait for the proof that a server leads: it takes no slot, so one
  /// round trip between regions and a slow machine's delay.
  core::milliseconds proof_timeout{350};
  /// A connection silent for longer is proved alive before a write, whose lost
  /// answer could not be repeated.
  core::milliseconds max_silence_before_write{500};
  /// Pause before a busy server is asked again: about one statement.
  core::milliseconds busy_pause{25};
  /// How long a group may be without a leader before requests that need one are
  /// refused at once: a change of primary with one repetition.
  core::milliseconds leader_wait_limit{3000};
  /// Part of the latency objective after which a request is refused if all
  /// servers that could run it have as much as they can take: the caller may
  /// then come back twice and still be answered within the objective.
  int overload_divisor = 4;
  /// When to come back to a group without a leader that answers: half of a
  /// usual change of primary on the users' databases.
  core::milliseconds leader_retry_after{500};
  /// Tries of one statement.
  int max_attempts = 8;
};

/// One caller's session: values, prepared statements, the open transaction and
/// the position of its last commit; and the request in progress.
///
/// It takes typed events and acts through `session_host`. It runs one request
/// at a time.
class session_engine : public reply_listener {
 public:
  /// @param host must outlive the session.
  session_engine(session_host& host, const session_settings& settings);
  ~session_engine() override;
  session_engine(const session_engine&) = delete;
  session_engine& operator=(const session_engine&) = delete;

  /// A message of the caller. Call only when `IsIdle`.
  void OnMessage(const caller_message& message);
  /// The caller's connection is gone.
  void OnCallerDisconnected();
  /// A connection as asked for.
  void OnConnection(server_connection& connection);
  /// The statement of a transaction that waited for its turn may be sent.
  void OnPermit();
  void OnTimer();
  void OnReply(server_reply reply) override;
  void OnConnectionLost() override;
  /// Ends an open transaction, at shutdown; its next statement is refused.
  void AbandonTransaction(const char* reason);

  /// Whether no request is in progress.
  bool IsIdle() const { return phase_ == phase::kIdle; }
  /// Whether a transaction is open, as the caller sees it.
  bool InTransaction() const { return transaction_ != transaction::kNone; }

 private:
  enum class phase : std::uint8_t {
    kIdle,
    kAcquiring,
    kPausing,
    kBeginning,
    /// A transaction's statement waits until its server may be sent more.
    kAwaitingPermit,
    kRunning,
  };
  enum class transaction : std::uint8_t {
    kNone,
    /// Begun here; no server knows of it yet.
    kDeferred,
    kOpen,
    /// Lost on a server; the caller does not know yet.
    kLost,
    /// The caller knows that it failed.
    kFailed,
  };
  /// What an outstanding answer is for.
  enum class reply_role : std::uint8_t {
    kSetUp,
    kBegin,
    kRollback,
    kStatement,
  };
  struct prepared_statement {
    bool writes = false;
    std::string shape;
  };

  void OnStatement(const statement& request);
  void OnLocal(const statement& request);
  void OnBegin(const statement& request);
  void OnRollback();
  void OnForwarded(const statement& request);
  bool ResolveRoute();
  bool NeedsLeader() const;
  bool Writes() const;
  bool IsCommit() const { return current_.kind == statement_kind::kCommit; }
  bool HasTransaction() const { return transaction_ != transaction::kNone; }

  void StartAttempt();
  /// Whether a new leader can be expected within the time of a request.
  bool AwaitsLeader() const;
  /// For how long the group has had no leader that answers.
  core::duration LeaderUnavailableTime() const;
  /// Whether every server that could run the request has as much as it can
  /// take.
  bool IsOverloaded() const;
  /// Until when the request waits for a connection.
  core::time_point WaitDeadline() const;
  std::optional<core::log_position> PositionForRead() const;
  int AppendSetUp(std::string& out);
  void SendBegin(std::string out,
                 bool keep_open,
                 bool read_only,
                 std::optional<core::log_position> at_least);
  void SendWithPermit();
  void SendStatement(std::string out,
                     std::optional<core::log_position> at_least);
  void OnBeginAnswered();
  void OnStatementReply(const server_reply& reply);
  void OnSuccess(const server_reply& reply);
  void OnFailure(const server_reply& reply);
  void OnCommitFailure(const server_reply& reply, bool not_run);
  void ReportUnresponsive(core::time_point sent);
  void NoteServerFailure(failure_code code);
  void Retry(const char* reason, bool exclude);
  void PauseThenRetry(core::milliseconds pause);
  void OnRunningTimeout();
  void AbandonRequest(failure_code code, const char* reason);
  void FailTransaction(const char* reason);
  /// The reason of a refusal, and when to come back.
  std::string WithRetryAfter(const char* reason) const;
  void FinishFailure(failure_code code,
                     const std::string& text,
                     session_state state);
  void FinishSuccess(const server_reply& reply, session_state state);
  void EndRequest();
  void ReleaseConnection(release_kind how);
  session_state State() const;
  void ReplyLocal();
  void ReplyFailure(failure_code code, const std::string& text);
  void LogRequest(const char* event, std::string_view detail);

  session_host& host_;
  const session_settings& settings_;
  std::string database_;
  bool started_ = false;
  std::optional<core::route> route_;
  std::uint64_t route_version_ = 0;
  std::map<std::string, std::string> values_;
  std::map<std::string, prepared_statement> prepared_;
  transaction transaction_ = transaction::kNone;
  bool transaction_read_only_ = false;
  bool transaction_wrote_ = false;
  core::log_position last_commit_;

  phase phase_ = phase::kIdle;
  statement current_;
  bool current_writes_ = false;
  core::time_point arrived_;
  core::time_point deadline_;
  core::time_point sent_;
  std::vector<std::string> excluded_;
  int attempts_ = 0;
  server_connection* connection_ = nullptr;
  std::string server_;
  std::deque<reply_role> outstanding_;
  bool proves_leadership_ = false;
  bool begin_failed_ = false;
  failure_code begin_failure_ = failure_code::kOther;
  std::optional<core::log_position> proved_position_;
  /// Position that the last statement asked for.
  std::optional<core::log_position> requested_position_;
  const char* last_reason_ = "no_server";
};

}  // namespace plantaintiller::sessions
