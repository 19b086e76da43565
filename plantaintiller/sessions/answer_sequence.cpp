#include "plantaintiller/sessions/answer_sequence.h"

#include <xxhash.h>

#include <string>

namespace plantaintiller::sessions {

namespace {

/// Receipt of a command that is no caller's statement.
constexpr std::string_view kNoReceipt = "-";

bool HasReceipt(const server_reply& reply) {
  return reply.succeeded && !reply.receipt.empty() &&
         reply.receipt != kNoReceipt;
}

/// @return a hash of what a repetition has in common with the answer: the
/// receipt, which is unique, or the whole answer.
std::uint64_t Fingerprint(const server_reply& reply) {
  std::string text;
  if (HasReceipt(reply)) {
    text = "receipt " + reply.receipt;
  } else {
    text = reply.succeeded ? "success " + reply.receipt
                           : "failure " + reply.failure_text;
    for (const std::string& row : reply.rows) {
      text += '\n';
      text += row;
    }
    text += '\n' + std::to_string(static_cast<int>(reply.state));
    if (reply.position.has_value()) {
      text += ' ' + std::to_string(reply.position->entry_term) + '.' +
              std::to_string(reply.position->offset);
    }
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

bool answer_sequence::FailureFits(command_kind kind,
                                  session_state state) const {
  if (state_ != session_state::kInTransaction) {
    // A failure begins no transaction.
    return state != session_state::kInTransaction;
  }
  // Only its end leaves a transaction, and a roll-back is not refused.
  return kind != command_kind::kRollback &&
         (kind == command_kind::kCommit || state != session_state::kIdle);
}

bool answer_sequence::Fits(const server_reply& reply) const {
  const command_kind kind = waiting_.front();
  if (!reply.succeeded) {
    return FailureFits(kind, reply.state);
  }
  // Only the status has rows of its own.
  const bool is_own = reply.receipt == kNoReceipt &&
                      reply.rows.empty() == (kind != command_kind::kStatus);
  switch (kind) {
    case command_kind::kStart:
      return reply.receipt.empty() && reply.state == session_state::kIdle;
    case command_kind::kSetting:
    case command_kind::kStatus:
      return is_own && reply.state == state_;
    case command_kind::kBegin:
    case command_kind::kBeginReadOnly:
      return is_own && state_ == session_state::kIdle &&
             reply.state == session_state::kInTransaction;
    case command_kind::kRollback:
      return is_own && reply.state == session_state::kIdle;
    case command_kind::kStatement:
      return HasReceipt(reply) && reply.state == state_;
    case command_kind::kCommit:
      return HasReceipt(reply) && reply.state == session_state::kIdle;
  }
  return false;
}

bool answer_sequence::Remember(const server_reply& reply) {
  const std::uint64_t hash = Fingerprint(reply);
  if (!remembered_.insert(hash).second) {
    return true;
  }
  remembered_order_.push_back(hash);
  if (remembered_order_.size() > kMaxRemembered) {
    remembered_.erase(remembered_order_.front());
    remembered_order_.pop_front();
  }
  return false;
}

answer_match answer_sequence::OnAnswer(server_reply& reply) {
  const bool repeats = Remember(reply);
  if (repeats && HasReceipt(reply)) {
    return answer_match::kRepeated;
  }
  if (waiting_.empty()) {
    return repeats ? answer_match::kRepeated : answer_match::kUnexpected;
  }
  if (!Fits(reply)) {
    return repeats ? answer_match::kRepeated : answer_match::kOutOfStep;
  }
  reply.may_be_repeated = repeats;
  state_ = reply.state;
  waiting_.pop_front();
  return answer_match::kAnswer;
}

}  // namespace plantaintiller::sessions
