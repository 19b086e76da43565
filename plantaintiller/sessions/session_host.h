#pragma once

#include <string>
#include <string_view>

#include "plantaintiller/core/route.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/sessions/server_connection.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// A decision on a request, for the log.
struct request_log_entry {
  /// What happened: "route", "retry", "answer", "refuse".
  const char* event = "";
  std::string_view request;
  std::string_view database;
  std::string_view group;
  std::string_view server;
  std::string_view detail;
  /// Version of the configuration that decided.
  std::uint64_t version = 0;
  /// Time since the request arrived.
  core::duration age{0};
};

/// What a session asks of the process around it.
class session_host {
 public:
  virtual ~session_host() = default;
  virtual core::time_point Now() const = 0;
  virtual const core::route_table& Routes() const = 0;
  /// Group of a given name. @return null if none of its servers is known.
  virtual replication::group_state* Group(const std::string& name) = 0;
  virtual caller_codec& Callers() = 0;
  virtual server_codec& Servers() = 0;
  /// Asks for a connection; `OnConnection` or `OnNoConnection` follows later,
  /// never during the call.
  virtual void Acquire(const connection_requirements& need) = 0;
  /// Withdraws the last `Acquire`, if it was not answered.
  virtual void CancelAcquire() = 0;
  /// Asks to send a transaction's statement on the connection that it holds.
  /// @return whether it may be sent now; if not, `OnPermit` follows later,
  /// never during the call.
  virtual bool AcquirePermit(server_connection& connection) = 0;
  /// Withdraws the last `AcquirePermit`, if its turn has not come.
  virtual void CancelPermit(server_connection& connection) = 0;
  /// A statement that had its turn was answered. @param typical whether the
  /// time it took tells how long the server's queue is.
  virtual void ReleasePermit(server_connection& connection,
                             bool sample_latency) = 0;
  /// Sends bytes to the caller.
  virtual void Reply(const std::string& bytes) = 0;
  /// Ends the caller's connection after what was sent to it.
  virtual void Close() = 0;
  /// Calls `OnTimer` once at the given time, in place of an earlier request.
  virtual void SetTimer(core::time_point when) = 0;
  virtual void ClearTimer() = 0;
  /// A server refused as leader: the directory should be read anew.
  virtual void OnNotLeader(const std::string& group,
                           const std::string& server) = 0;
  /// A server failed to answer: its leader may have to be replaced.
  virtual void OnServerUnresponsive(const std::string& group,
                                    const std::string& server) = 0;
  virtual void LogRequest(const request_log_entry& note) = 0;
  /// Counts an answered statement. @param failure null on success.
  virtual void CountStatement(const core::route* route,
                              bool at_leader,
                              core::duration took,
                              const char* failure) = 0;
};

}  // namespace plantaintiller::sessions
