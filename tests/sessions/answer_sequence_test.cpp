// Answers of a server that sends some of them twice, matched to commands.
#include "plantaintiller/sessions/answer_sequence.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>
#include <string>
#include <vector>

namespace plantaintiller::sessions {

namespace {

/// A server that answers the commands of one connection in their order, and
/// sends some answers a second time behind later ones.
class stuttering_server {
 public:
  explicit stuttering_server(std::uint64_t seed) : random_(seed) {}

  /// @return a command that may be sent in the present state.
  command_kind DrawCommand() {
    if (state_ == session_state::kInTransaction) {
      return Draw(3) == 0   ? command_kind::kRollback
             : Draw(3) == 0 ? command_kind::kCommit
             : Draw(4) == 0 ? command_kind::kSetting
                            : command_kind::kStatement;
    }
    const command_kind kinds[] = {
        command_kind::kSetting, command_kind::kBegin, command_kind::kStatus,
        command_kind::kStatement, command_kind::kStatement};
    return kinds[Draw(5)];
  }

  server_reply Run(command_kind kind) {
    server_reply reply;
    position_ += Draw(4) == 0 ? 1U : 0U;
    reply.position = {1, position_};
    reply.succeeded = Draw(6) != 0 || kind == command_kind::kRollback;
    if (!reply.succeeded) {
      reply.failure = failure_code::kBusy;
      reply.failure_text = "BUSY full";
      reply.state = state_;
      return reply;
    }
    const bool is_caller =
        kind == command_kind::kStatement || kind == command_kind::kCommit;
    reply.receipt = is_caller ? "r" + std::to_string(++receipts_) : "-";
    if (kind == command_kind::kBegin) {
      state_ = session_state::kInTransaction;
    } else if (kind == command_kind::kCommit ||
               kind == command_kind::kRollback) {
      state_ = session_state::kIdle;
    } else if (kind == command_kind::kStatus) {
      reply.rows = {"replica 1 1." + std::to_string(position_)};
    }
    reply.state = state_;
    return reply;
  }

  std::uint64_t Draw(std::uint64_t count) { return random_() % count; }

 private:
  std::mt19937_64 random_;
  session_state state_ = session_state::kIdle;
  std::uint64_t position_ = 1;
  int receipts_ = 0;
};

bool IsEqual(const server_reply& left, const server_reply& right) {
  return left.succeeded == right.succeeded && left.receipt == right.receipt &&
         left.failure_text == right.failure_text && left.rows == right.rows &&
         left.state == right.state && left.position == right.position;
}

}  // namespace

TEST_CASE("answer sequence: without repetitions every answer is matched") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    stuttering_server server(seed);
    answer_sequence sequence;
    for (int n = 0; n < 100; ++n) {
      const command_kind kind = server.DrawCommand();
      sequence.OnSent(kind);
      server_reply reply = server.Run(kind);
      CHECK(sequence.OnAnswer(reply) == answer_match::kAnswer);
    }
    CHECK(sequence.Waiting() == 0);
  }
}

// A late second answer was taken for that of a later command (MIXED). An answer
// that is not the command's own is recognized, or marked as possibly repeated.
TEST_CASE("answer sequence: a repeated answer is recognized or marked") {
  int repeated = 0;
  int marked = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    stuttering_server server(seed);
    answer_sequence sequence;
    std::deque<server_reply> late;
    bool ended = false;
    for (int n = 0; n < 200 && !ended; ++n) {
      const command_kind kind = server.DrawCommand();
      sequence.OnSent(kind);
      const server_reply own = server.Run(kind);
      std::vector<server_reply> arriving;
      if (!late.empty() && server.Draw(3) == 0) {
        arriving.push_back(late.front());
        late.pop_front();
      }
      arriving.push_back(own);
      if (late.empty() && server.Draw(10) == 0) {
        late.push_back(own);
      }
      bool answered = false;
      for (server_reply& each : arriving) {
        switch (sequence.OnAnswer(each)) {
          case answer_match::kAnswer:
            CHECK_FALSE(answered);
            answered = true;
            CHECK((IsEqual(each, own) || each.may_be_repeated));
            marked += each.may_be_repeated ? 1 : 0;
            // A marked refusal is tested or closes the connection.
            ended = each.may_be_repeated && !each.succeeded;
            break;
          case answer_match::kRepeated:
            repeated += 1;
            break;
          case answer_match::kOutOfStep:
          case answer_match::kUnexpected:
            // The connection is closed.
            ended = true;
            break;
        }
        if (ended) {
          break;
        }
      }
      CHECK((answered || ended));
    }
  }
  CHECK(repeated > 1000);
  CHECK(marked > 1000);
}

TEST_CASE("answer sequence: the form of an answer fits its command") {
  const auto match = [](command_kind kind, const char* receipt,
                        session_state state) {
    answer_sequence sequence;
    sequence.OnSent(kind);
    server_reply reply;
    reply.succeeded = true;
    reply.receipt = receipt;
    reply.state = state;
    return sequence.OnAnswer(reply);
  };
  using state = session_state;
  CHECK(match(command_kind::kStart, "", state::kIdle) == answer_match::kAnswer);
  CHECK(match(command_kind::kBegin, "-", state::kInTransaction) ==
        answer_match::kAnswer);
  CHECK(match(command_kind::kStatement, "", state::kIdle) ==
        answer_match::kOutOfStep);
  CHECK(match(command_kind::kStatement, "-", state::kIdle) ==
        answer_match::kOutOfStep);
  CHECK(match(command_kind::kStatement, "r", state::kInTransaction) ==
        answer_match::kOutOfStep);
  CHECK(match(command_kind::kBegin, "-", state::kIdle) ==
        answer_match::kOutOfStep);
  CHECK(match(command_kind::kBegin, "r", state::kInTransaction) ==
        answer_match::kOutOfStep);
  CHECK(match(command_kind::kRollback, "-", state::kInTransaction) ==
        answer_match::kOutOfStep);
  CHECK(match(command_kind::kCommit, "r", state::kInTransaction) ==
        answer_match::kOutOfStep);
  CHECK(match(command_kind::kStatus, "r", state::kIdle) ==
        answer_match::kOutOfStep);
}

TEST_CASE("answer sequence: a refused statement leaves no transaction") {
  const auto match = [](command_kind kind, session_state state) {
    answer_sequence sequence;
    server_reply begun;
    begun.succeeded = true;
    begun.receipt = "-";
    begun.state = session_state::kInTransaction;
    sequence.OnSent(command_kind::kBegin);
    CHECK(sequence.OnAnswer(begun) == answer_match::kAnswer);
    sequence.OnSent(kind);
    server_reply refused;
    refused.failure_text = "BUSY full";
    refused.state = state;
    return sequence.OnAnswer(refused);
  };
  using state = session_state;
  CHECK(match(command_kind::kStatement, state::kIdle) ==
        answer_match::kOutOfStep);
  CHECK(match(command_kind::kStatement, state::kInTransaction) ==
        answer_match::kAnswer);
  CHECK(match(command_kind::kStatement, state::kFailedTransaction) ==
        answer_match::kAnswer);
  CHECK(match(command_kind::kCommit, state::kIdle) == answer_match::kAnswer);
  CHECK(match(command_kind::kRollback, state::kIdle) ==
        answer_match::kOutOfStep);
}

TEST_CASE("answer sequence: an answer without a command is unexpected") {
  answer_sequence sequence;
  server_reply reply;
  reply.succeeded = true;
  reply.receipt = "r";
  CHECK(sequence.OnAnswer(reply) == answer_match::kUnexpected);
}

}  // namespace plantaintiller::sessions
