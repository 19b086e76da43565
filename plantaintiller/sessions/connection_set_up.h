#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/sessions/server_connection.h"
#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// Statement that a session has prepared.
struct prepared_statement {
  bool writes = false;
  /// Text of the statement, as given to PREPARE.
  std::string shape;
  std::string server_name;
};

/// Commands that give a connection the values and prepared statements of a
/// session, from their sending to their answers.
///
/// The record of the connection changes with each answer, so that after a
/// refusal it still holds what the server has. A statement must not be sent
/// before all commands have succeeded: the server would run it with the values
/// of another session.
class connection_set_up {
 public:
  /// Appends the commands that a connection needs.
  /// @param state what the connection has.
  /// @param values all values of the session.
  /// @param statement prepared statement that is to be executed; null for none.
  /// @return the number of commands.
  std::size_t Append(server_codec& codec,
                     const connection_state& state,
                     const std::map<std::string, std::string>& values,
                     const prepared_statement* statement,
                     std::string& out);
  /// Called with the answer to the next command.
  /// @param state updated; `is_known` becomes false if a refusal leaves it open
  /// what the server has.
  void OnAnswer(const server_reply& reply, connection_state& state);
  /// @return the code of the first refusal; nothing if there was none.
  std::optional<failure_code> Refusal() const { return refusal_; }
  /// @return whether an answer may be a repetition, so that the refusal of a
  /// command may still arrive as the answer to the next one, or whether a
  /// refusal leaves it open if its command was run.
  bool IsUnclear() const { return unclear_; }

 private:
  enum class command : std::uint8_t { kReset, kSet, kPrepare };
  struct sent_command {
    command kind = command::kReset;
    /// Name of a value or of a prepared statement at the server.
    std::string name;
    std::string value;
  };

  void Apply(const sent_command& sent, connection_state& state) const;

  std::deque<sent_command> unanswered_;
  std::optional<failure_code> refusal_;
  bool unclear_ = false;
};

}  // namespace plantaintiller::sessions
