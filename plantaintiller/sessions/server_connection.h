#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/answer_sequence.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// Session state that a connection to a backend server keeps from earlier
/// sessions.
struct connection_state {
  /// Session values set on the connection.
  std::map<std::string, std::string> values;
  /// Names of the prepared statements, as used by the server.
  std::set<std::string> prepared;
  /// Whether the above is what the server has. A connection for which it is not
  /// must be closed, whatever it is released with.
  bool is_known = true;
};

/// Receives the answers to commands sent on a connection.
class reply_listener {
 public:
  virtual ~reply_listener() = default;
  /// Called with each answer, in the order of the commands.
  virtual void OnReply(server_reply reply) = 0;
  /// Called when the connection was lost; no further answer follows.
  virtual void OnConnectionLost() = 0;
};

/// State in which a session releases a connection.
enum class release_kind : std::uint8_t {
  /// No transaction is open and no answer is outstanding.
  kClean,
  /// A transaction is open; an answer may be outstanding.
  kRollBack,
  /// The state is unknown; the connection must be closed.
  kBroken,
};

/// A connection to a backend server, used by one session at a time.
class server_connection {
 public:
  virtual ~server_connection() = default;
  /// @return the id of the server.
  virtual const std::string& Server() const = 0;
  /// @return the session state of the connection, which the user of the
  /// connection keeps up to date.
  virtual connection_state& State() = 0;
  /// @return the time at which the last byte was received from the server.
  virtual core::time_point LastReceived() const = 0;
  /// Sends commands.
  /// @param commands what each of the encoded commands does; each gets one
  /// answer.
  virtual void Send(const std::string& bytes,
                    const std::vector<command_kind>& commands) = 0;
  /// Returns the connection to its pool; the listener is not called any more.
  virtual void Release(release_kind kind) = 0;
};

/// Requirements for a connection that is requested from a pool.
struct connection_requirements {
  std::string group;
  /// Id of the required server; empty for any.
  std::string server;
  /// Whether the server must be the leader.
  bool leader = false;
  /// Whether a transaction will hold the connection.
  bool transaction = false;
  /// Log position that the server must have reached; nothing for any.
  std::optional<core::log_position> position;
  /// Servers on which the request has already failed.
  std::vector<std::string> excluded;
  int priority = 0;
  /// Client account that the connection must belong to; empty for none.
  std::string account;
  /// When the request should be answered and when it is given up; the epoch if
  /// unknown.
  core::time_point objective_at;
  core::time_point deadline_at;
  /// Time limit of the statement; 0 if unknown.
  core::duration time_limit{0};
  /// Whether the caller was refused and has come back as announced. The
  /// objective then counts from the operation that was refused first.
  bool returning = false;
  /// Wait that was predicted when the request arrived.
  core::duration predicted_wait{0};
};

}  // namespace plantaintiller::sessions
