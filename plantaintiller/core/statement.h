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

/// Class of a request: each has its own queue and reserved share.
enum class request_class : std::uint8_t { kFresh, kStale, kBackground };
inline constexpr int kRequestClasses = 3;

/// What an executor is asked to do with a statement.
enum class statement_kind : std::uint8_t {
  /// Run the statement by itself.
  kRun,
  /// Find out whether a write with this request key took effect, and prevent a
  /// late original by a tombstone if it did not.
  kResolve,
  /// Open a transaction, run a statement in it, end it.
  kBegin,
  kInTransaction,
  kCommit,
  kRollback,
};

/// Whether a statement belongs to a transaction that is open already.
inline bool IsInsideTransaction(statement_kind kind) {
  return kind == statement_kind::kInTransaction ||
         kind == statement_kind::kCommit || kind == statement_kind::kRollback;
}

/// Text and parameters of a statement; the decisions never look inside.
struct statement_body {
  std::string sql;
  /// A parameter without a value is SQL NULL.
  std::vector<std::optional<std::string>> params;
  /// Request id in the caller's own spelling.
  std::string request_id;
};

/// Rows of a result in text form; the decisions never look inside.
struct result_body {
  std::vector<std::string> columns;
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::uint64_t affected_rows = 0;
  /// SQLSTATE and message of a statement that the backend server rejected.
  std::string sqlstate;
  std::string message;
};

/// Names an open transaction: the instance that holds it and its number there.
struct transaction_id {
  instance_id executor;
  /// Drawn by each process: a restarted instance gives out the same numbers.
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  friend auto operator<=>(const transaction_id&,
                          const transaction_id&) = default;
};

/// One statement as the decisions see it.
struct statement {
  statement_kind kind = statement_kind::kRun;
  database_id database;
  access_kind access = access_kind::kRead;
  request_class priority = request_class::kFresh;
  /// Whether the caller allows the statement to take effect more than once.
  bool idempotent = false;
  /// Whether an earlier request with this key may have run: a refusal must then
  /// not claim that it has not.
  bool repeated = false;
  /// Whether the request key is kept with the write.
  bool has_key = false;
  request_key key;
  /// Hash of text and parameters; tells a retry from a reused request id.
  std::uint64_t fingerprint = 0;
  /// Position that the answer must cover.
  log_position token;
  /// Oldest data allowed, counted back from `arrived`.
  milliseconds max_staleness{0};
  time_point arrived;
  time_point deadline;
  transaction_id transaction;
  std::shared_ptr<const statement_body> body;
};

/// Answer to a statement, good or bad.
struct statement_outcome {
  refusal_type refusal = refusal_type::kNone;
  effect_state effect = effect_state::kNotRun;
  /// When a retry may help; zero when it does not.
  milliseconds retry_after{0};
  /// Backend server that answered, with the term that it answered in.
  backend_server_id server;
  term_number term = 0;
  /// Whether the server was primary in that term.
  bool at_primary = false;
  /// Position that the answer was produced at.
  log_position position;
  /// Whether a write with this key had taken effect before this attempt.
  bool already_done = false;
  transaction_id transaction;
  std::shared_ptr<const result_body> result;

  bool Succeeded() const { return refusal == refusal_type::kNone; }
};

/// Makes a refusal.
/// @param type reason; @param effect what is known of the effect;
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

/// Makes the refusal of a request that no attempt was made for. A repeated one
/// may have run before, whatever becomes of this one.
inline statement_outcome RefuseUnstarted(refusal_type type,
                                         const statement& work,
                                         milliseconds retry_after) {
  return Refuse(
      type,
      work.repeated ? effect_state::kOutcomeUnknown : effect_state::kNotRun,
      retry_after);
}

}  // namespace plantaintiller::core
