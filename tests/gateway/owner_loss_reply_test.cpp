#include "plantaintiller/gateway/owner_loss_reply.h"

#include <doctest/doctest.h>

#include <string>

#include "platform/caller_line_codec.h"

namespace plantaintiller::gateway {

namespace {

std::string AnswerTo(const std::string& unanswered, bool in_transaction) {
  platform::caller_line_codec codec;
  return owner_loss_reply(codec, unanswered, in_transaction).Answer();
}

}  // namespace

TEST_CASE("owner_loss_reply: no reply without an outstanding request") {
  CHECK(AnswerTo("", false).empty());
  CHECK(AnswerTo("QUERY 1 REA", false).empty());
}

TEST_CASE("owner_loss_reply: requests without a possible effect are aborted") {
  const std::string aborted = "ERROR ABORTED home_lost\r\nREADY I -\r\n";
  CHECK(AnswerTo("QUERY 1 READ a\r\n", false) == aborted);
  CHECK(AnswerTo("QUERY 1 SET n v\r\n", false) == aborted);
  CHECK(AnswerTo("QUERY 1 BEGIN\r\nQUERY 2 WRITE a b\r\n", false) == aborted);
  CHECK(AnswerTo("QUERY 1 WRITE a b\r\n", true) == aborted);
  CHECK(AnswerTo("QUERY 1 EXECUTE p a b\r\n", true) == aborted);
  CHECK(AnswerTo("QUERY 1 ROLLBACK\r\n", true) == aborted);
}

TEST_CASE(
    "owner_loss_reply: requests that may have taken effect are in doubt") {
  const std::string in_doubt = "ERROR INDOUBT home_lost\r\nREADY I -\r\n";
  CHECK(AnswerTo("QUERY 1 WRITE a b\r\n", false) == in_doubt);
  CHECK(AnswerTo("QUERY 1 EXECUTE p a\r\n", false) == in_doubt);
  CHECK(AnswerTo("QUERY 1 COMMIT\r\n", true) == in_doubt);
  // The transaction may have ended before the write.
  CHECK(AnswerTo("QUERY 1 ROLLBACK\r\nQUERY 2 WRITE a b\r\n", true) ==
        in_doubt);
  CHECK(AnswerTo("QUERY 1 BEGIN\r\nQUERY 2 WRITE a b\r\nQUERY 3 COMMIT\r\n",
                 false) == in_doubt);
}

TEST_CASE("owner_loss_reply: the reply names the first request") {
  platform::caller_line_codec codec;
  const owner_loss_reply lost(codec, "QUERY 7 BEGIN\r\nQUERY 8 COMMIT\r\n",
                              false);
  CHECK(lost.Request() == "7");
  CHECK(lost.Code() == sessions::failure_code::kInDoubt);
}

}  // namespace plantaintiller::gateway
