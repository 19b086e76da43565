#pragma once

#include <cstdint>
#include <string_view>

namespace plantaintiller::core {

/// Reason why a request has no result. The names are stable, because callers
/// match on them.
enum class refusal_type : std::uint8_t {
  kNone,
  kBadRequest,
  kUnknownDatabase,
  kTokenDamaged,
  kTokenForeign,
  kTokenFromFuture,
  kRequestIdReused,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kOverloaded,
  kShuttingDown,
  kNoPrimary,
  kNoEligibleServer,
  kNoExecutor,
  kConnectionLost,
  kSuperseded,
  kCancelled,
  kStatementFailed,
  kTransactionUnknown,
  kTransactionExpired,
  kTransactionBusy,
  kNotReady,
  kTooLarge,
  kInternalQueueFull,
};

/// What is known about the effect of a refused request.
enum class effect_state : std::uint8_t {
  /// No attempt ran, and none will.
  kNotRun,
  /// It may have taken effect, or may still do so.
  kOutcomeUnknown,
  /// It ran, failed and was rolled back completely.
  kRolledBack,
};

/// Name of a refusal as callers see it. @return a string of static storage.
std::string_view RefusalName(refusal_type type);

/// HTTP status of a refusal. @return a status from 400 to 599.
int RefusalHttpStatus(refusal_type type);

/// Name of an effect as callers see it: `not_run`, `outcome_unknown` or
/// `rolled_back`.
std::string_view EffectName(effect_state effect);

}  // namespace plantaintiller::core
