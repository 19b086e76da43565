#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// Longest message that a caller or a server may send, in bytes.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{1} << 20U;

/// Text of the refusal of a caller whose key gives no access.
inline constexpr std::string_view kNoAccessText = "the key gives no access";

/// Decodes messages of callers and encodes the answers to them.
class caller_codec {
 public:
  virtual ~caller_codec() = default;
  /// Decodes the first message in a buffer and removes it.
  /// @param buffer bytes received.
  /// @return nothing if the message is not complete yet.
  virtual std::optional<caller_message> Take(std::string& buffer) = 0;
  /// @return number of bytes at the beginning of a buffer that are whole
  /// messages.
  virtual std::size_t WholeMessages(std::string_view buffer) const = 0;
  /// Appends a row.
  /// @param row as received from the server.
  virtual void AppendRow(std::string& out, std::string_view row) = 0;
  /// Appends a success.
  /// @param receipt the server's receipt; "-" for answers of the proxy itself.
  virtual void AppendSuccess(std::string& out, std::string_view receipt) = 0;
  /// Appends a failure.
  /// @param text human-readable description.
  virtual void AppendFailure(std::string& out,
                             failure_code code,
                             std::string_view text) = 0;
  /// Appends the end of an answer.
  /// @param position end of the server's log; nothing if unknown.
  virtual void AppendReady(std::string& out,
                           session_state state,
                           std::optional<core::log_position> position) = 0;
};

/// Encodes commands for backend servers and decodes their answers.
class server_codec {
 public:
  virtual ~server_codec() = default;
  /// Appends the start of a connection.
  /// @param account client account that the connection belongs to; empty for
  /// none.
  /// @param group group that the server must belong to.
  /// @param server id that the server must have.
  virtual void AppendStart(std::string& out,
                           std::string_view account,
                           std::string_view group,
                           std::string_view server) = 0;
  /// Appends a caller's statement with its id and text unchanged.
  /// @param at_least log position that the server must have; nothing for any.
  virtual void AppendStatement(std::string& out,
                               const statement& request,
                               std::optional<core::log_position> at_least) = 0;
  /// Appends the execution of a prepared statement.
  /// @param server_name name under which it was prepared at the server.
  /// @param at_least as for `AppendStatement`.
  virtual void AppendExecute(std::string& out,
                             const statement& request,
                             std::string_view server_name,
                             std::optional<core::log_position> at_least) = 0;
  /// Appends the start of a transaction.
  /// @param at_least as for `AppendStatement`; a transaction without it fails
  /// at a server that is not the leader.
  virtual void AppendBegin(std::string& out,
                           bool read_only,
                           std::optional<core::log_position> at_least) = 0;
  virtual void AppendRollback(std::string& out) = 0;
  /// Appends the command that removes all session values and prepared
  /// statements.
  virtual void AppendReset(std::string& out) = 0;
  virtual void AppendSet(std::string& out,
                         std::string_view name,
                         std::string_view value) = 0;
  /// Appends the preparation of a statement.
  /// @param server_name name under which the server keeps it.
  /// @param writes whether the statement writes.
  /// @param shape text of the statement.
  virtual void AppendPrepare(std::string& out,
                             std::string_view server_name,
                             bool writes,
                             std::string_view shape) = 0;
  /// Appends the query for role, term and log position.
  virtual void AppendStatus(std::string& out) = 0;
  /// Appends the hold command, after which the server receives nothing more.
  /// @param term a term above the newest one of the group.
  virtual void AppendHold(std::string& out, core::term_number term) = 0;
  /// Appends the command that makes a leader of a lower term a replica.
  virtual void AppendDemote(std::string& out, core::term_number term) = 0;
  /// Appends the command that ends a hold.
  virtual void AppendResume(std::string& out) = 0;
  /// Decodes the first answer in a buffer and removes it.
  /// @param buffer bytes received.
  /// @param partial keeps the rows of an answer that is not complete yet.
  /// @return nothing if the answer is not complete yet; an answer with
  /// `malformed` set if the bytes are not a valid answer.
  virtual std::optional<server_reply> Take(std::string& buffer,
                                           server_reply& partial) = 0;
};

/// Status that a backend server reports about itself.
struct server_status {
  bool is_primary = false;
  core::term_number term = 0;
  /// End of the log received by the server.
  core::log_position received;
  /// Term of the hold on the server; 0 if there is none.
  core::term_number held_term = 0;
  int busy = 0;
};

/// Decodes the answer to a status query, a hold or a resume command.
class status_reader {
 public:
  virtual ~status_reader() = default;
  /// @return nothing if the answer contains no status row.
  virtual std::optional<server_status> Read(const server_reply& reply) = 0;
};

}  // namespace plantaintiller::sessions
