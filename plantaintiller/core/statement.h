#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/refusal.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::core {

enum class access_kind : std::uint8_t { kRead, kWrite };

/// Class of a request. Each class has its own queue and a reserved share of the
/// connections.
enum class request_class : std::uint8_t { kFresh, kStale, kBackground };
inline constexpr int kRequestClasses = 3;

/// Operation that an executor runs for a statement.
enum class statement_kind : std::uint8_t {
  /// Run the statement by itself.
  kRun,
  /// Determine whether a write with this request key took effect. If it did
  /// not, write a tombstone, so that a delayed original cannot run.
  kResolve,
  /// Open a transaction, run a statement in it, or end it.
  kBegin,
  kInTransaction,
  kCommit,
  kRollback,
};

/// Whether a statement belongs to a transaction that is already open.
inline bool IsInsideTransaction(statement_kind kind) {
  return kind == statement_kind::kInTransaction ||
         kind == statement_kind::kCommit || kind == statement_kind::kRollback;
}

/// Text and parameters of a statement; the decisions never inspect them.
struct statement_body {
  std::string sql;
  /// A parameter without a value is SQL NULL.
  std::vector<std::optional<std::string>> params;
  /// Request id as sent by the caller.
  std::string request_id;
};

/// Rows of a result in text form; the decisions never inspect them.
struct result_body {
  std::vector<std::string> columns;
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::uint64_t affected_rows = 0;
  /// SQLSTATE and message of a statement that the backend server rejected.
  std::string sqlstate;
  std::string message;
};

/// Identifies an open transaction by the instance that holds it and its number
/// there.
struct transaction_id {
  instance_id executor;
  /// Random number of the process that holds it, because a restarted instance
  /// assigns the same transaction numbers again.
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  friend auto operator<=>(const transaction_id&,
                          const transaction_id&) = default;
};

/// Statement as processed by the decisions.
struct statement {
  statement_kind kind = statement_kind::kRun;
  database_id database;
  access_kind access = access_kind::kRead;
  request_class priority = request_class::kFresh;
  /// Whether the caller allows the statement to take effect more than once.
  bool idempotent = false;
  /// Whether an earlier request with this key may have run. A refusal must then
  /// not claim that it did not run.
  bool repeated = false;
  /// Whether the request key is stored with the write.
  bool has_key = false;
  request_key key;
  /// Hash of text and parameters; distinguishes a retry from a reused request
  /// id.
  std::uint64_t fingerprint = 0;
  /// Position that the answer must cover.
  log_position token;
  /// Maximum age of the data, relative to `arrived`.
  milliseconds max_staleness{0};
  time_point arrived;
  time_point deadline;
  transaction_id transaction;
  std::shared_ptr<const statement_body> body;
};

/// Outcome of a statement: a result or a refusal.
struct statement_outcome {
  refusal_type refusal = refusal_type::kNone;
  effect_state effect = effect_state::kNotRun;
  /// Delay after which a retry may succeed; zero when a retry does not help.
  milliseconds retry_after{0};
  /// Backend server that answered, and the term in which it answered.
  backend_server_id server;
  term_number term = 0;
  /// Whether the server was primary in that term.
  bool at_primary = false;
  /// Log position at which the answer was produced.
  log_position position;
  /// Whether a write with this key had taken effect before this attempt.
  bool already_done = false;
  transaction_id transaction;
  std::shared_ptr<const result_body> result;

  bool Succeeded() const { return refusal == refusal_type::kNone; }
};

/// Makes a refusal.
/// @param type reason; @param effect what is known about the effect;
/// @param retry_after zero when a retry does not help.
/// @return an outcome without a result.
inline statement_outcome Refuse(refusal_type type,
                                effect_state effect,
                                milliseconds retry_after = milliseconds(0)) {
  statement_outcome outcome;
  outcome.refusal = type;
  outcome.effect = effect;
  outcome.retry_after = retry_after;
  return outcome;
}

/// Makes the refusal of a request for which no attempt was made. The outcome of
/// a repeated request is unknown, because an earlier one may have run.
inline statement_outcome RefuseUnstarted(refusal_type type,
                                         const statement& work,
                                         milliseconds retry_after) {
  return Refuse(
      type,
      work.repeated ? effect_state::kOutcomeUnknown : effect_state::kNotRun,
      retry_after);
}

}  // namespace plantaintiller::core
