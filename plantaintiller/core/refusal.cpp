#include "plantaintiller/core/refusal.h"

namespace plantaintiller::core {

std::string_view RefusalName(refusal_type type) {
  switch (type) {
    case refusal_type::kNone:
      return "none";
    case refusal_type::kBadRequest:
      return "bad_request";
    case refusal_type::kUnknownDatabase:
      return "unknown_database";
    case refusal_type::kTokenDamaged:
      return "token_damaged";
    case refusal_type::kTokenForeign:
      return "token_foreign";
    case refusal_type::kTokenFromFuture:
      return "token_from_future";
    case refusal_type::kRequestIdReused:
      return "request_id_reused";
    case refusal_type::kDeadlineTooShort:
      return "deadline_too_short";
    case refusal_type::kDeadlineExceeded:
      return "deadline_exceeded";
    case refusal_type::kOverloaded:
      return "overloaded";
    case refusal_type::kShuttingDown:
      return "shutting_down";
    case refusal_type::kNoPrimary:
      return "no_primary";
    case refusal_type::kNoEligibleServer:
      return "no_eligible_server";
    case refusal_type::kNoExecutor:
      return "no_executor";
    case refusal_type::kConnectionLost:
      return "connection_lost";
    case refusal_type::kSuperseded:
      return "superseded";
    case refusal_type::kCancelled:
      return "cancelled";
    case refusal_type::kStatementFailed:
      return "statement_failed";
    case refusal_type::kTransactionUnknown:
      return "transaction_unknown";
    case refusal_type::kTransactionExpired:
      return "transaction_expired";
    case refusal_type::kTransactionBusy:
      return "transaction_busy";
    case refusal_type::kNotReady:
      return "not_ready";
    case refusal_type::kTooLarge:
      return "too_large";
    case refusal_type::kInternalQueueFull:
      return "internal_queue_full";
  }
  return "unknown";
}

int RefusalHttpStatus(refusal_type type) {
  switch (type) {
    case refusal_type::kNone:
    case refusal_type::kBadRequest:
    case refusal_type::kTokenDamaged:
    case refusal_type::kTokenForeign:
    case refusal_type::kDeadlineTooShort:
      return 400;
    case refusal_type::kUnknownDatabase:
    case refusal_type::kTransactionUnknown:
      return 404;
    case refusal_type::kRequestIdReused:
    case refusal_type::kTokenFromFuture:
    case refusal_type::kTransactionExpired:
    case refusal_type::kTransactionBusy:
      return 409;
    case refusal_type::kTooLarge:
      return 413;
    case refusal_type::kStatementFailed:
      return 422;
    case refusal_type::kOverloaded:
    case refusal_type::kInternalQueueFull:
      return 429;
    case refusal_type::kDeadlineExceeded:
      return 504;
    case refusal_type::kShuttingDown:
    case refusal_type::kNoPrimary:
    case refusal_type::kNoEligibleServer:
    case refusal_type::kNoExecutor:
    case refusal_type::kConnectionLost:
    case refusal_type::kSuperseded:
    case refusal_type::kCancelled:
    case refusal_type::kNotReady:
      return 503;
  }
  return 500;
}

std::string_view EffectName(effect_state effect) {
  switch (effect) {
    case effect_state::kNotRun:
      return "not_run";
    case effect_state::kOutcomeUnknown:
      return "outcome_unknown";
    case effect_state::kRolledBack:
      return "rolled_back";
  }
  return "outcome_unknown";
}

}  // namespace plantaintiller::core
