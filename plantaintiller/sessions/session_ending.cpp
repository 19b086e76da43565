#include "plantaintiller/sessions/session_ending.h"

#include <optional>
#include <utility>

namespace plantaintiller::sessions {

session_ending::session_ending(caller_codec& codec,
                               failure_code code,
                               std::string_view reason)
    : codec_(codec), code_(code), reason_(reason) {}

std::string session_ending::Notice() {
  std::string out;
  codec_.AppendFailure(out, code_, reason_);
  failure_sent_ = true;
  return out;
}

std::string session_ending::Refuse(std::string& input) {
  using kind = caller_message::message_kind;
  std::string out;
  while (const std::optional<caller_message> message = codec_.Take(input)) {
    if (message->kind == kind::kTerminate) {
      complete_ = true;
      input.clear();
      break;
    }
    if (!failure_sent_) {
      codec_.AppendFailure(out, code_, reason_);
    }
    failure_sent_ = false;
    if (message->kind != kind::kStatement) {
      // A failure alone refuses a session.
      complete_ = true;
      continue;
    }
    codec_.AppendReady(out, session_state::kIdle, std::nullopt);
    refused_.push_back(message->request.id);
    refusals_ += 1;
    complete_ = complete_ || refusals_ >= kMaxRefusals;
  }
  return out;
}

std::vector<std::string> session_ending::TakeRefused() {
  return std::exchange(refused_, {});
}

}  // namespace plantaintiller::sessions
