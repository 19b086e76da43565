#include "plantaintiller/backends/attempt_batch.h"

#include <doctest/doctest.h>

namespace plantaintiller::backends {

namespace {

using decisions::attempt;
using decisions::attempt_kind;
using decisions::attempt_status;

attempt KeyedWrite() {
  attempt work;
  work.id = 7;
  work.kind = attempt_kind::kWrite;
  work.term = 3;
  work.work.has_key = true;
  work.work.fingerprint = 42;
  const auto body = std::make_shared<core::statement_body>();
  body->sql = "INSERT INTO t VALUES($1)";
  body->params = {"x"};
  body->request_id = "claim-1";
  work.work.body = body;
  return work;
}

step_result Done(std::vector<std::vector<std::optional<std::string>>> rows) {
  step_result step;
  step.status = step_status::kDone;
  step.rows = std::move(rows);
  return step;
}

step_result Failed(const std::string& sqlstate) {
  step_result step;
  step.status = step_status::kFailed;
  step.sqlstate = sqlstate;
  return step;
}

const step_result kState = Done({{"3", "3", "12", "1"}});

attempt_status StatusOf(std::vector<step_result> results) {
  const attempt work = KeyedWrite();
  const auto steps = attempt_batch::Build(work);
  return attempt_batch::Interpret(work, steps,
                                  {batch_status::kAnswered, std::move(results)})
      .status;
}

}  // namespace

TEST_CASE("attempt_batch: key and statement share one implicit transaction") {
  const auto steps = attempt_batch::Build(KeyedWrite());
  REQUIRE(steps.size() == 5);
  CHECK_FALSE(steps[0].sync_after);
  CHECK_FALSE(steps[1].sync_after);
  CHECK(steps[2].sync_after);
  CHECK(steps[2].sql == "INSERT INTO t VALUES($1)");
}

TEST_CASE("attempt_batch: step results map to attempt statuses") {
  const step_result skipped;
  const step_result done = Done({});
  CHECK(StatusOf({done, done, done, done, kState}) == attempt_status::kDone);
  CHECK(StatusOf({Failed("PT001"), skipped, skipped, done, kState}) ==
        attempt_status::kWrongTerm);
  CHECK(StatusOf({done, Failed("23505"), skipped, Done({{"42", "done"}}),
                  kState}) == attempt_status::kAlreadyDone);
  CHECK(StatusOf({done, Failed("23505"), skipped, Done({{"42", "tombstone"}}),
                  kState}) == attempt_status::kTombstoned);
  CHECK(StatusOf({done, Failed("23505"), skipped, Done({{"41", "done"}}),
                  kState}) == attempt_status::kKeyReused);
  CHECK(StatusOf({done, done, Failed("23505"), done, kState}) ==
        attempt_status::kStatementFailed);
}

TEST_CASE("attempt_batch: an incomplete answer counts as a lost connection") {
  CHECK(StatusOf({Done({}), Done({}), kState}) ==
        attempt_status::kConnectionLost);
  CHECK(StatusOf({Done({}), Done({}), Done({}), Done({}), Done({{"x"}})}) ==
        attempt_status::kConnectionLost);
}

}  // namespace plantaintiller::backends
