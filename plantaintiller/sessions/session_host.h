#pragma once

#include <string>
#include <string_view>

#include "plantaintiller/accounts/operation_limiter.h"
#include "plantaintiller/accounts/session_access.h"
#include "plantaintiller/core/route.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/replication/leadership_check.h"
#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/sessions/server_connection.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::admission {
class group_admission;
}  // namespace plantaintiller::admission

namespace plantaintiller::sessions {

/// Log entry about one step of a request.
struct request_log_entry {
  /// Name of the step: "sent", "set_up_refused", "retry", "answer" or
  /// "refuse".
  const char* event = "";
  std::string_view request;
  std::string_view database;
  std::string_view group;
  std::string_view server;
  std::string_view detail;
  /// Version of the configuration in use.
  std::uint64_t version = 0;
  /// Time since the request arrived.
  core::duration age{0};
};

/// Services that a session needs from its process.
class session_host {
 public:
  virtual ~session_host() = default;
  virtual core::time_point Now() const = 0;
  virtual const core::route_table& Routes() const = 0;
  /// @return the limiter of the accounts' operations; null if none is limited.
  virtual accounts::operation_limiter* OperationLimiter() = 0;
  /// @return the group of a given name; null if none of its servers is known.
  virtual replication::group_state* Group(const std::string& name) = 0;
  /// @return the admission control of a group; null if there is none.
  virtual admission::group_admission* Admission(const std::string&) {
    return nullptr;
  }
  /// @return the codec for callers.
  virtual caller_codec& Callers() = 0;
  /// @return the codec for backend servers.
  virtual server_codec& Servers() = 0;
  /// Requests a connection. `OnConnection` follows later, never during the
  /// call.
  virtual void Acquire(const connection_requirements& need) = 0;
  /// Cancels the last `Acquire` if its connection was not given yet.
  virtual void CancelAcquire() = 0;
  /// Requests the permit to send one statement of a transaction on the
  /// connection that the transaction holds.
  /// @return whether the permit is granted now; if not, `OnPermit` follows
  /// later, never during the call.
  virtual bool AcquirePermit(server_connection& connection) = 0;
  /// Cancels the last `AcquirePermit` if its permit was not granted yet.
  virtual void CancelPermit(server_connection& connection) = 0;
  /// Returns the permit of a statement that was answered.
  /// @param sample_latency whether the time it took indicates the length of the
  /// server's queue.
  virtual void ReleasePermit(server_connection& connection,
                             bool sample_latency) = 0;
  /// Requests a check that a server is still the leader of its group.
  /// `OnLeadershipChecked` follows later, never during the call.
  /// @param commit commit that is to be checked with it; nothing for none.
  virtual void RequestLeadershipCheck(
      const std::string& group,
      const std::string& server,
      std::optional<replication::acknowledged_commit> commit,
      replication::leadership_check_listener& listener) = 0;
  /// Cancels the last `RequestLeadershipCheck` if it has no result yet.
  virtual void CancelLeadershipCheck(
      const std::string& group,
      replication::leadership_check_listener& listener) = 0;
  /// Called when a commit was acknowledged that a replica has confirmed.
  /// @param sent time at which it was sent.
  virtual void OnCommitConfirmed(const std::string& group,
                                 const std::string& server,
                                 core::time_point sent) = 0;
  /// Sends bytes to the caller.
  virtual void Reply(const std::string& bytes) = 0;
  /// Called when the session is refused because of its caller's key. Input that
  /// was received behind the refused message is not to be run.
  virtual void OnAccessRefused(const accounts::caller_identity& identity,
                               accounts::access reason,
                               const std::string& database) = 0;
  /// Closes the caller's connection once the bytes sent before are written.
  virtual void Close() = 0;
  /// Ends the session after an answer, although the caller has not asked for
  /// it and may have sent its next request.
  /// @param code what the failures of further requests promise.
  /// @param reason text of these failures.
  virtual void EndIdle(failure_code code, std::string_view reason) = 0;
  /// Calls `OnTimer` once at the given time; replaces an earlier request.
  virtual void SetTimer(core::time_point when) = 0;
  /// Cancels the last `SetTimer`.
  virtual void ClearTimer() = 0;
  /// Called when a server answered that it is not the leader, so that the
  /// directory should be read again.
  virtual void OnNotLeader(const std::string& group,
                           const std::string& server) = 0;
  /// Called when a server did not answer; the leader of the group may have to
  /// be replaced.
  virtual void OnServerUnresponsive(const std::string& group,
                                    const std::string& server) = 0;
  /// Writes an entry to the log.
  virtual void LogRequest(const request_log_entry& entry) = 0;
  /// Counts an answered statement.
  /// @param route null if the database has no route.
  /// @param at_leader whether the leader of the group ran it.
  /// @param took time from its arrival to its answer.
  /// @param failure null on success.
  virtual void CountStatement(const core::route* route,
                              bool at_leader,
                              core::duration took,
                              const char* failure) = 0;
  /// Counts an event that is no answer to a caller.
  /// @param name of the metric, a string of static storage.
  virtual void CountEvent(const char* name) = 0;
};

}  // namespace plantaintiller::sessions
