#include "plantaintiller/decisions/instance_decider.h"

#include <doctest/doctest.h>

#include <memory>

#include "tests/decisions/recording_actions.h"

namespace plantaintiller::decisions {

namespace {

using core::milliseconds;
using core::refusal_type;
using core::statement_kind;

/// One process of instance 1, which holds both servers' connections.
struct process_fixture {
  explicit process_fixture(std::uint64_t seed) {
    settings.self = {1};
    settings.zone = {5};
    decider = std::make_unique<instance_decider>(settings, actions, seed);
  }

  void Configure() {
    const auto configuration = std::make_shared<core::configuration>();
    configuration->version = 1;
    core::database_settings database;
    database.id = {1};
    database.servers.resize(2);
    database.servers[0].zone = settings.zone;
    database.servers[1].zone = settings.zone;
    configuration->databases.push_back(database);
    decider->OnConfiguration(configuration, now);
    decider->OnTick(now);
    core::group_record record;
    record.term = 1;
    record.confirming = core::server_set(0b11);
    record.promotable = record.confirming;
    record.version = 1;
    decider->OnGroupRecord({1}, record, now);
    for (int n = 0; n < 100; ++n) {
      now += milliseconds(5);
      decider->OnTick(now);
      for (const server_probe& probe : actions.probes) {
        decider->OnProbeAnswer(probe.server, probe.id,
                               {1, {1, 1}, probe.server.slot == 0}, now);
      }
      actions.probes.clear();
    }
  }

  core::statement Work(statement_kind kind) const {
    core::statement work;
    work.kind = kind;
    work.database = {1};
    work.access = core::access_kind::kWrite;
    work.arrived = now;
    work.deadline = now + milliseconds(1000);
    return work;
  }

  core::transaction_id Begin() {
    decider->OnCallerStatement(1, Work(statement_kind::kBegin), now);
    attempt_result result;
    result.id = actions.attempts.back().id;
    result.server = actions.attempts.back().server;
    result.status = attempt_status::kDone;
    result.state = {1, {1, 1}, true};
    decider->OnAttemptResult(result, now);
    return actions.answers.back().outcome.transaction;
  }

  instance_decider_settings settings;
  recording_actions actions;
  std::unique_ptr<instance_decider> decider;
  core::time_point now{milliseconds(1000000)};
};

}  // namespace

TEST_CASE("instance_decider: not ready before it has a configuration") {
  process_fixture process(1);
  core::statement work = process.Work(statement_kind::kRun);
  process.decider->OnCallerStatement(1, work, process.now);
  CHECK(process.actions.answers.back().outcome.refusal ==
        refusal_type::kNotReady);
  CHECK(process.actions.answers.back().outcome.effect ==
        core::effect_state::kNotRun);
  work.repeated = true;
  process.decider->OnCallerStatement(2, work, process.now);
  CHECK(process.actions.answers.back().outcome.effect ==
        core::effect_state::kOutcomeUnknown);
}

TEST_CASE("instance_decider: transactions do not outlive their process") {
  process_fixture first(1);
  first.Configure();
  const core::transaction_id old = first.Begin();
  process_fixture second(2);
  second.Configure();
  const core::transaction_id now = second.Begin();
  CHECK(old.number == now.number);
  CHECK(old != now);
  core::statement late = second.Work(statement_kind::kInTransaction);
  late.transaction = old;
  second.decider->OnCallerStatement(2, late, second.now);
  CHECK(second.actions.answers.back().outcome.refusal ==
        refusal_type::kTransactionUnknown);
  late.transaction = now;
  const std::size_t attempts = second.actions.attempts.size();
  second.decider->OnCallerStatement(3, late, second.now);
  CHECK(second.actions.attempts.size() == attempts + 1);
}

// A lagging replica may lack a table that the session has just created, so its
// error must not be the final answer.
TEST_CASE(
    "instance_decider: a read that fails at a replica goes to the primary") {
  process_fixture process(1);
  process.Configure();
  core::statement read = process.Work(statement_kind::kRun);
  read.access = core::access_kind::kRead;
  read.max_staleness = milliseconds(1000);
  process.decider->OnCallerStatement(1, read, process.now);
  REQUIRE(process.actions.attempts.size() == 1);
  const attempt at_replica = process.actions.attempts.back();
  REQUIRE(at_replica.server.slot == 1);
  attempt_result failed;
  failed.id = at_replica.id;
  failed.server = at_replica.server;
  failed.status = attempt_status::kStatementFailed;
  failed.state = {1, {1, 1}, false};
  process.decider->OnAttemptResult(failed, process.now);
  CHECK(process.actions.answers.empty());
  REQUIRE(process.actions.attempts.size() == 2);
  const attempt at_primary = process.actions.attempts.back();
  CHECK(at_primary.server.slot == 0);
  failed.id = at_primary.id;
  failed.server = at_primary.server;
  failed.state = {1, {1, 1}, true};
  process.decider->OnAttemptResult(failed, process.now);
  REQUIRE(process.actions.answers.size() == 1);
  CHECK(process.actions.answers[0].outcome.refusal ==
        refusal_type::kStatementFailed);
}

TEST_CASE("instance_decider: draining refuses new work, not commits") {
  process_fixture process(1);
  process.Configure();
  core::statement commit = process.Work(statement_kind::kCommit);
  commit.transaction = process.Begin();
  process.decider->Drain(process.now);
  process.decider->OnCallerStatement(5, process.Work(statement_kind::kRun),
                                     process.now);
  CHECK(process.actions.answers.back().outcome.refusal ==
        refusal_type::kShuttingDown);
  const std::size_t attempts = process.actions.attempts.size();
  process.decider->OnCallerStatement(6, commit, process.now);
  CHECK(process.actions.attempts.size() == attempts + 1);
  CHECK_FALSE(process.decider->IsIdle());
}

// An instance that has just read the list must not refuse a commit because the
// holder of the transaction counts as live only from the next tick on.
TEST_CASE(
    "instance_decider: a listed holder gets a transaction before the next "
    "tick") {
  process_fixture process(1);
  process.Configure();
  core::statement commit = process.Work(statement_kind::kCommit);
  commit.transaction = {{2}, 7, 1};
  const std::size_t answers = process.actions.answers.size();
  process.decider->OnInstanceList({{{2}, {5}, "127.0.0.1", 1, {}}},
                                  process.now);
  process.decider->OnCallerStatement(2, commit, process.now);
  REQUIRE(process.actions.forwards.size() == 1);
  CHECK(process.actions.forwards.back().to == core::instance_id{2});
  CHECK(process.actions.answers.size() == answers);
}

TEST_CASE(
    "instance_decider: a transaction waits for a holder that was never live") {
  process_fixture process(1);
  process.Configure();
  core::statement commit = process.Work(statement_kind::kCommit);
  commit.transaction = {{2}, 7, 1};
  const std::size_t answers = process.actions.answers.size();
  process.decider->OnCallerStatement(2, commit, process.now);
  CHECK(process.actions.answers.size() == answers);
  process.decider->OnInstanceList({{{2}, {5}, "127.0.0.1", 1, {}}},
                                  process.now);
  for (int n = 0; n < 60 && process.actions.forwards.empty(); ++n) {
    process.now += milliseconds(5);
    process.decider->OnTick(process.now);
  }
  REQUIRE(process.actions.forwards.size() == 1);
  CHECK(process.actions.answers.size() == answers);
}

}  // namespace plantaintiller::decisions
