#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/accounts/caller_identity.h"
#include "plantaintiller/core/log_position.h"

namespace plantaintiller::sessions {

/// Kind of a statement.
enum class statement_kind : std::uint8_t {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,
  kPrepare,
  kExecute,
  kDeallocate,
  kUnknown,
};

/// One statement of a caller.
struct statement {
  statement_kind kind = statement_kind::kUnknown;
  /// The caller's id of the request; also sent to backend servers.
  std::string id;
  /// The text as sent by the caller.
  std::string text;
  /// Name of a session value or of a prepared statement.
  std::string name;
  /// Rest of the text: a value, the shape (text) of a statement to prepare, or
  /// item and data.
  std::string rest;
  /// On kPrepare: whether the prepared statement writes.
  bool writes = false;
};

/// Message of a caller.
struct caller_message {
  enum class message_kind : std::uint8_t {
    kStart,
    kStatement,
    kTerminate,
    kMalformed,
    kTooLarge,
  };
  message_kind kind = message_kind::kMalformed;
  /// On kStart: name of the database.
  std::string database;
  /// On kStart: the key that the caller presents; may be empty.
  std::string key;
  /// On kStart of a session that another instance forwards: the caller as
  /// identified there, in place of the key.
  accounts::caller_identity identity;
  statement request;
};

/// Codes of failed statements. The first six guarantee that the statement has
/// left no effect.
enum class failure_code : std::uint8_t {
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kWrongServer,
  kTooManyConnections,
  kInDoubt,
  kTimeout,
  kFailed,
  kNoStatement,
  kUnknownDatabase,
  kNotAuthorized,
  kMalformed,
  kTooLarge,
  kOther,
};

/// State of a session after an answer.
enum class session_state : std::uint8_t {
  kIdle,
  kInTransaction,
  kFailedTransaction,
};

/// Answer of a backend server to one command.
struct server_reply {
  std::vector<std::string> rows;
  bool succeeded = false;
  /// The received bytes are not a valid answer; no other field is set.
  bool malformed = false;
  /// On success, the server's receipt for the statement that it ran; "-" for
  /// commands without a receipt.
  std::string receipt;
  failure_code failure = failure_code::kOther;
  /// The failure's code and text as the server wrote them.
  std::string failure_text;
  session_state state = session_state::kIdle;
  /// End of the server's log, if the answer contains it.
  std::optional<core::log_position> position;
  /// Whether it equals an earlier answer on its connection and has no receipt,
  /// so that it may have been sent a second time and belong to no command that
  /// waits.
  bool may_be_repeated = false;
};

/// @return the name of a failure in logs and metrics, a string of static
/// storage.
const char* FailureName(failure_code code);

}  // namespace plantaintiller::sessions
