#include "plantaintiller/gateway/owner_loss_reply.h"

#include <optional>
#include <utility>

namespace plantaintiller::gateway {

namespace {

/// @return whether the statement may have taken effect.
/// @param in_transaction is updated for the statements that follow.
bool MayHaveEffect(const sessions::statement& request, bool& in_transaction) {
  switch (request.kind) {
    case sessions::statement_kind::kCommit:
      return true;
    case sessions::statement_kind::kBegin:
    case sessions::statement_kind::kBeginReadOnly:
      in_transaction = true;
      return false;
    case sessions::statement_kind::kRollback:
      in_transaction = false;
      return false;
    case sessions::statement_kind::kWrite:
    // Only the lost instance knows the text of the prepared statement, so it
    // counts as a write.
    case sessions::statement_kind::kExecute:
      return !in_transaction;
    default:
      return false;
  }
}

}  // namespace

owner_loss_reply::owner_loss_reply(sessions::caller_codec& codec,
                                   std::string unanswered,
                                   bool in_transaction) {
  while (const auto message = codec.Take(unanswered)) {
    if (message->kind != sessions::caller_message::message_kind::kStatement) {
      break;
    }
    if (request_.empty()) {
      request_ = message->request.id;
    }
    if (MayHaveEffect(message->request, in_transaction)) {
      code_ = sessions::failure_code::kInDoubt;
    }
  }
  if (request_.empty()) {
    return;
  }
  codec.AppendFailure(answer_, code_, "home_lost");
  codec.AppendReady(answer_, sessions::session_state::kIdle, std::nullopt);
}

}  // namespace plantaintiller::gateway
