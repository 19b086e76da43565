#pragma once

#include <string>

#include "plantaintiller/sessions/codec.h"

namespace plantaintiller::gateway {

/// The last reply to a caller whose session was lost because its session owner
/// failed.
///
/// A commit, and a write outside a transaction, may have taken effect and is
/// reported as in doubt. Everything else is reported as aborted, because an
/// open transaction ends with the instance that served it.
class owner_loss_reply {
 public:
  /// @param unanswered bytes from the caller that were not answered.
  /// @param in_transaction whether a transaction was open before them.
  owner_loss_reply(sessions::caller_codec& codec,
                   std::string unanswered,
                   bool in_transaction);

  /// Bytes for the caller; empty if no request was outstanding.
  const std::string& Answer() const { return answer_; }
  /// Id of the first request that was not answered.
  const std::string& Request() const { return request_; }
  /// @return `kInDoubt` or `kAborted`.
  sessions::failure_code Code() const { return code_; }

 private:
  std::string answer_;
  std::string request_;
  sessions::failure_code code_ = sessions::failure_code::kAborted;
};

}  // namespace plantaintiller::gateway
