#pragma once

#include <memory>
#include <string>

#include "plantaintiller/accounts/operation_limiter.h"
#include "plantaintiller/accounts/session_access.h"
#include "plantaintiller/core/route.h"
#include "plantaintiller/forwarding/session_forwarder.h"
#include "plantaintiller/gateway/connection_pool.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/gateway/leadership_checks.h"
#include "plantaintiller/gateway/statement_metrics.h"
#include "plantaintiller/sessions/session_engine.h"

namespace plantaintiller::gateway {

class caller_connection;

/// Services of the instance that callers' connections and sessions use.
class caller_environment {
 public:
  virtual ~caller_environment() = default;
  virtual const core::route_table& Routes() const = 0;
  /// State of a group. @return null if none of its servers is known.
  virtual replication::group_state* Group(const std::string& name) = 0;
  /// Connections of a group. @return null if none of its servers is known.
  virtual connection_pool* Pool(const std::string& name) = 0;
  /// Admission control of a group. @return null if there is none.
  virtual admission::group_admission* Admission(const std::string& name) = 0;
  virtual leadership_checks& LeadershipChecks() = 0;
  virtual sessions::caller_codec& Callers() = 0;
  virtual sessions::server_codec& Servers() = 0;
  virtual const sessions::session_settings& SessionSettings() const = 0;
  /// Limiter of the accounts' operations. @return null if none is limited.
  virtual accounts::operation_limiter* OperationLimiter() = 0;
  virtual forwarding::session_forwarder& Forwarder() = 0;
  virtual event_log& Log() = 0;
  virtual statement_metrics& Metrics() = 0;
  /// Called when a commit was acknowledged that a replica has confirmed.
  /// @param sent time at which it was sent.
  virtual void OnCommitConfirmed(const std::string& group,
                                 const std::string& server,
                                 core::time_point sent) = 0;
  /// Called when a server has refused a statement because it is not the leader.
  virtual void OnNotLeader(const std::string& group,
                           const std::string& server) = 0;
  /// Called when a server has failed to answer a statement.
  virtual void OnServerUnresponsive(const std::string& group,
                                    const std::string& server) = 0;
  /// Called when a session is refused because of its caller's key.
  virtual void OnAccessRefused(const accounts::caller_identity& identity,
                               accounts::access reason,
                               const std::string& database) = 0;
  /// Called when a caller's connection has ended and is about to be freed.
  virtual void OnCallerClosed(caller_connection& caller) = 0;
};

}  // namespace plantaintiller::gateway
