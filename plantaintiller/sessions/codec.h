#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// Longest message that either end may send, in bytes.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{1} << 20U;

/// Turns bytes of callers into messages, and answers into bytes.
class caller_codec {
 public:
  virtual ~caller_codec() = default;
  /// Takes the next message off the front of a buffer.
  /// @param buffer bytes received; the message is removed.
  /// @return nothing if the message is not complete yet.
  virtual std::optional<caller_message> Take(std::string& buffer) = 0;
  /// Appends a row. @param row as the server gave it.
  virtual void AppendRow(std::string& out, std::string_view row) = 0;
  /// Appends a success. @param receipt of the server, "-" for answers given
  /// here.
  virtual void AppendSuccess(std::string& out, std::string_view receipt) = 0;
  /// Appends a failure. @param text for people.
  virtual void AppendFailure(std::string& out,
                             failure_code code,
                             std::string_view text) = 0;
  /// Appends the end of an answer. @param position nothing if unknown.
  virtual void AppendReady(std::string& out,
                           session_state state,
                           std::optional<core::log_position> position) = 0;
};

/// Turns commands for backend servers into bytes, and their answers back.
class server_codec {
 public:
  virtual ~server_codec() = default;
  /// Appends the opening of a connection. @param group that the server must
  /// belong to; @param server id that it must have.
  virtual void AppendStart(std::string& out,
                           std::string_view group,
                           std::string_view server) = 0;
  /// Appends a caller's statement with its id and text unchanged.
  /// @param at_least log position that the server must have; nothing for any.
  virtual void AppendStatement(std::string& out,
                               const statement& request,
                               std::optional<core::log_position> at_least) = 0;
  /// Appends the execution of a prepared statement under the name that the
  /// server knows it by.
  virtual void AppendExecute(std::string& out,
                             const statement& request,
                             std::string_view server_name,
                             std::optional<core::log_position> at_least) = 0;
  /// Appends the start of a transaction. @param at_least as above; a
  /// transaction without it fails at a server that does not lead.
  virtual void AppendBegin(std::string& out,
                           bool read_only,
                           std::optional<core::log_position> at_least) = 0;
  virtual void AppendRollback(std::string& out) = 0;
  /// Appends the removal of all session values and prepared statements.
  virtual void AppendReset(std::string& out) = 0;
  virtual void AppendSet(std::string& out,
                         std::string_view name,
                         std::string_view value) = 0;
  virtual void AppendPrepare(std::string& out,
                             std::string_view server_name,
                             bool writes,
                             std::string_view shape) = 0;
  /// Appends a question for role, term and positions.
  virtual void AppendStatus(std::string& out) = 0;
  /// Appends the order to receive nothing more. @param term above the newest.
  virtual void AppendHold(std::string& out, core::term_number term) = 0;
  /// Appends the order that ends a hold.
  virtual void AppendResume(std::string& out) = 0;
  /// Takes the next answer off the front of a buffer.
  /// @param partial rows of an answer that is not complete yet.
  /// @return nothing if the answer is not complete yet.
  /// A malformed answer is `garbled`.
  virtual std::optional<server_reply> Take(std::string& buffer,
                                           server_reply& partial) = 0;
};

/// What a backend server says of itself.
struct server_status {
  bool is_primary = false;
  core::term_number term = 0;
  /// End of the log that it has received.
  core::log_position received;
  /// Term of the hold on it; 0 if there is none.
  core::term_number held_term = 0;
  int busy = 0;
};

/// Reads the answer to a status question or an order.
/// @return nothing if it holds no such row.
class status_reader {
 public:
  virtual ~status_reader() = default;
  virtual std::optional<server_status> Read(const server_reply& reply) = 0;
};

}  // namespace plantaintiller::sessions
