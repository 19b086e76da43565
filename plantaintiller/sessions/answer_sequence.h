#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

/// What a command to a backend server does, which decides the form of its
/// answer.
enum class command_kind : std::uint8_t {
  /// Opens the connection; the answer has no receipt at all.
  kStart,
  /// Sets or clears session values or prepared statements.
  kSetting,
  kBegin,
  /// Begins a transaction that only reads.
  kBeginReadOnly,
  kRollback,
  /// A caller's read or write.
  kStatement,
  /// A caller's commit.
  kCommit,
  /// Reports the server's status, and may change it.
  kStatus,
};

/// How an answer relates to the commands that wait for one.
enum class answer_match : std::uint8_t {
  /// It answers the first command that waits.
  kAnswer,
  /// It repeats an earlier answer and answers no command that waits.
  kRepeated,
  /// It can't be the answer to the first command that waits, so that later
  /// answers can't be matched either.
  kOutOfStep,
  /// No command waits.
  kUnexpected,
};

/// Matches the answers of one connection to the commands sent on it.
///
/// Answers carry no id and arrive in the order of the commands, but a server
/// may send an answer a second time, at any later moment. Such a repetition
/// equals an answer that the connection has delivered before. It is recognized
/// by its receipt, which no other run of a statement gets, or by a form that
/// the waiting command can't be answered with. What remains are answers without
/// a receipt that fit: they are marked as possible repetitions, and whoever
/// relies on one asks again.
///
/// A receipt is compared as a whole; nothing is read from it.
class answer_sequence {
 public:
  /// Called with each command in the order of sending.
  void OnSent(command_kind kind) { waiting_.push_back(kind); }
  /// Called with each answer in the order of arrival. An answer that matches
  /// removes its command from those that wait.
  /// @param reply its `may_be_repeated` is set.
  answer_match OnAnswer(server_reply& reply);
  /// @return the command that the next answer belongs to; nothing if none
  /// waits.
  std::optional<command_kind> Next() const {
    return waiting_.empty() ? std::nullopt : std::optional(waiting_.front());
  }
  /// @return the number of commands that wait for an answer.
  std::size_t Waiting() const { return waiting_.size(); }
  /// @return the state after the last answer that matched.
  session_state State() const { return state_; }

 private:
  /// Answers that are remembered: several seconds of a busy connection.
  static constexpr std::size_t kMaxRemembered = 512;

  /// @return whether the first command that waits can have this answer.
  bool Fits(const server_reply& reply) const;
  /// @return whether a refusal of a command can leave this state.
  bool FailureFits(command_kind kind, session_state state) const;
  /// @return whether the answer was remembered already.
  bool Remember(const server_reply& reply);

  std::deque<command_kind> waiting_;
  session_state state_ = session_state::kIdle;
  /// Hashes of earlier answers, and the order in which they came.
  std::unordered_set<std::uint64_t> remembered_;
  std::deque<std::uint64_t> remembered_order_;
};

}  // namespace plantaintiller::sessions
