#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// What earlier sessions left on a connection to a backend server.
struct connection_state {
  /// Session values in force there.
  std::map<std::string, std::string> values;
  /// Prepared statements, by the names that the server knows.
  std::set<std::string> prepared;
};

/// Told what comes of what was sent on a connection.
class reply_listener {
 public:
  virtual ~reply_listener() = default;
  /// The next answer, in the order of what was sent.
  virtual void OnReply(server_reply reply) = 0;
  /// The connection broke; no further answers come.
  virtual void OnConnectionLost() = 0;
};

/// How a session leaves a connection.
enum class release_kind : std::uint8_t {
  /// No transaction is open and no answer is outstanding.
  kClean,
  /// A transaction is open; an answer may be outstanding.
  kRollBack,
  /// Nothing is known; the connection must be closed.
  kBroken,
};

/// A connection to a backend server, lent to one session at a time.
class server_connection {
 public:
  virtual ~server_connection() = default;
  /// Id of the server.
  virtual const std::string& Server() const = 0;
  virtual connection_state& State() = 0;
  /// When the last byte came from the server.
  virtual core::time_point LastReceived() const = 0;
  /// Sends commands. @param replies answers that they will get.
  virtual void Send(const std::string& bytes, int replies) = 0;
  /// Gives the connection back; the listener hears nothing more.
  virtual void Release(release_kind how) = 0;
};

/// What a session needs a connection for.
struct connection_requirements {
  std::string group;
  /// Server that alone will do; empty for any.
  std::string server;
  /// Whether only the leader will do.
  bool leader = false;
  /// Whether a transaction will hold the connection.
  bool transaction = false;
  /// Position that the server must have; nothing if any will do.
  std::optional<core::log_position> position;
  /// Servers that were tried in vain.
  std::vector<std::string> excluded;
  int priority = 0;
};

}  // namespace plantaintiller::sessions
