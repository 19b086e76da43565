#pragma once

#include <cstdint>
#include <string_view>

namespace plantaintiller::core {

/// Why a request got no result. Names are stable: callers match on them.
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
  /// No attempt of it ran, and none will.
  kNotRun,
  /// It may have taken effect, or may yet.
  kOutcomeUnknown,
  /// It ran, failed, and left nothing behind.
  kRolledBack,
};

/// Name of a refusal as callers see it. @return a string of static storage.
std::string_view RefusalName(refusal_type type);

/// HTTP status that goes with a refusal. @return a status from 400 to 599.
int RefusalHttpStatus(refusal_type type);

/// Name of an effect as callers see it: `not_run`, `outcome_unknown` or
/// `rolled_back`.
std::string_view EffectName(effect_state effect);

}  // namespace plantaintiller::core
