#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "plantaintiller/sessions/codec.h"

namespace plantaintiller::sessions {

/// The last answers of a session that this instance ends.
///
/// A caller that waits for no answer may have sent a request that has not
/// arrived yet, and would get no answer to it if the connection just closed.
/// It is therefore told by a failure that answers no request: if it has sent
/// nothing, it closes the connection; otherwise it takes the failure as the
/// beginning of the answer, whose end follows when the request has arrived.
/// Then it is told again.
class session_ending {
 public:
  /// @param code what the failures promise; nothing of the requests is run.
  /// @param reason text of the failures.
  session_ending(caller_codec& codec,
                 failure_code code,
                 std::string_view reason);

  /// @return the failure that tells a caller without an outstanding request
  /// that the session ends. It counts for the first request that arrives.
  std::string Notice();
  /// Refuses the requests that have arrived.
  /// @param input bytes of the caller; whole messages are removed.
  /// @return the answers; empty if there is nothing to answer.
  std::string Refuse(std::string& input);

  /// @return whether the connection may be closed: the caller expects it, or
  /// goes on to send requests although it was told.
  bool IsComplete() const { return complete_; }
  /// @return ids of the requests refused since the last call.
  std::vector<std::string> TakeRefused();
  failure_code Code() const { return code_; }
  const std::string& Reason() const { return reason_; }

 private:
  /// Refusals after which a caller that goes on is disconnected. One that reads
  /// its connection learns of the end with the first one.
  static constexpr int kMaxRefusals = 3;

  caller_codec& codec_;
  failure_code code_;
  std::string reason_;
  /// Whether the failure of the next request has been sent.
  bool failure_sent_ = false;
  bool complete_ = false;
  int refusals_ = 0;
  std::vector<std::string> refused_;
};

}  // namespace plantaintiller::sessions
