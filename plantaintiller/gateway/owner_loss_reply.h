#pragma once

#include <string>

#include "plantaintiller/sessions/codec.h"

namespace plantaintiller::gateway {

/// The last answer to a caller whose session was lost with the instance that
/// served it.
///
/// A commit, and a write outside a transaction, may have taken effect. Nothing
/// of anything else is kept: the transaction ends with its instance.
class owner_loss_reply {
 public:
  /// @param unanswered bytes of the caller that were not answered;
  /// @param in_transaction whether a transaction was open before them.
  owner_loss_reply(sessions::caller_codec& codec,
                   std::string unanswered,
                   bool in_transaction);

  /// Bytes for the caller; empty if no request was outstanding.
  const std::string& Answer() const { return answer_; }
  /// Id of the request that is answered.
  const std::string& Request() const { return request_; }
  sessions::failure_code Code() const { return code_; }

 private:
  std::string answer_;
  std::string request_;
  sessions::failure_code code_ = sessions::failure_code::kAborted;
};

}  // namespace plantaintiller::gateway
