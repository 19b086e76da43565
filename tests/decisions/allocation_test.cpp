#include <doctest/doctest.h>

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <new>

#include "plantaintiller/decisions/instance_decider.h"
#include "tests/decisions/recording_actions.h"

namespace {
thread_local std::size_t allocations = 0;
}  // namespace

// Counts this thread's allocations; used by the test below only.
void* operator new(std::size_t size) {
  allocations += 1;
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace plantaintiller::decisions {

namespace {

using core::milliseconds;

std::shared_ptr<const core::configuration> OneDatabase(core::zone_id zone) {
  const auto configuration = std::make_shared<core::configuration>();
  configuration->version = 1;
  core::database_settings database;
  database.id = {1};
  database.servers.resize(2);
  database.servers[0].zone = zone;
  database.servers[1].zone = zone;
  configuration->databases.push_back(database);
  return configuration;
}

/// One instance that holds all connections, with servers that answer at once.
struct decider_fixture {
  decider_fixture() {
    settings.self = {1};
    settings.zone = {5};
    decider = std::make_unique<instance_decider>(settings, actions, 1);
    decider->OnConfiguration(OneDatabase(settings.zone), now);
    decider->OnTick(now);
    core::group_record record;
    record.term = 1;
    record.confirming = core::server_set(0b11);
    record.promotable = record.confirming;
    record.version = 1;
    decider->OnGroupRecord({1}, record, now);
    for (int n = 0; n < 100; ++n) {
      Step();
    }
  }

  // Advances time by 5 ms and answers all probes.
  void Step() {
    now += milliseconds(5);
    decider->OnTick(now);
    AnswerProbes();
  }
  void AnswerProbes() {
    while (!actions.probes.empty()) {
      const server_probe probe = actions.probes.back();
      actions.probes.pop_back();
      decider->OnProbeAnswer(probe.server, probe.id, StateOf(probe.server.slot),
                             now);
    }
  }
  core::server_state StateOf(core::slot_number slot) const {
    return {1, {1, offset}, slot == 0};
  }
  void RunOne(const core::statement& work) {
    const std::size_t before = allocations;
    decider->OnCallerStatement(++ticket, work, now);
    statement_allocations += allocations - before;
    const attempt started = actions.attempts.back();
    actions.attempts.clear();
    offset += work.access == core::access_kind::kWrite ? 1 : 0;
    attempt_result result;
    result.id = started.id;
    result.server = started.server;
    result.status = attempt_status::kDone;
    result.state = StateOf(started.server.slot);
    const std::size_t before_result = allocations;
    decider->OnAttemptResult(result, now);
    AnswerProbes();
    statement_allocations += allocations - before_result;
    now += milliseconds(1);
    AnswerProbes();
    now += milliseconds(5);
    decider->OnTick(now);
    AnswerProbes();
  }

  instance_decider_settings settings;
  recording_actions actions;
  std::unique_ptr<instance_decider> decider;
  core::time_point now{milliseconds(1000000)};
  std::uint64_t offset = 1;
  std::uint64_t ticket = 0;
  // Allocations made while statements and their results were processed.
  std::size_t statement_allocations = 0;
};

core::statement Work(core::access_kind access, core::time_point now) {
  core::statement work;
  work.database = {1};
  work.access = access;
  work.has_key = access == core::access_kind::kWrite;
  work.arrived = now;
  work.deadline = now + milliseconds(3600000);
  work.max_staleness = milliseconds(1000);
  return work;
}

}  // namespace

TEST_CASE_FIXTURE(decider_fixture,
                  "decisions: statements cause no allocations") {
  for (const core::access_kind access :
       {core::access_kind::kRead, core::access_kind::kWrite}) {
    for (int n = 0; n < 200; ++n) {
      RunOne(Work(access, now));
    }
    actions.answers.clear();
    actions.log_entries.clear();
    actions.answers.reserve(4000);
    actions.log_entries.reserve(4000);
    const core::statement work = Work(access, now);
    statement_allocations = 0;
    for (int n = 0; n < 200; ++n) {
      RunOne(work);
    }
    CHECK(statement_allocations == 0);
    CHECK(actions.answers.size() >= 199);
  }
}

}  // namespace plantaintiller::decisions
