#include <doctest/doctest.h>

#include <algorithm>
#include <initializer_list>

#include "tests/model/seed_runner.h"

// Each promise's check has been seen to fail: a fault planted in the decisions
// must be found by the checker, under the name of the promise that it breaks.
namespace plantaintiller::model {

namespace {

using decisions::injected_defects;
using fault_switch = bool injected_defects::*;

constexpr std::uint64_t kSeeds = 8000;
constexpr std::uint64_t kSeedsWithout = 400;
constexpr std::uint64_t kBatch = 200;

bool Breaks(const world& run, promise expected) {
  return std::ranges::any_of(
      run.Checker().Violations(),
      [expected](const violation& each) { return each.broken == expected; });
}

// Runs batches of seeds until the promise is seen broken.
bool IsFound(std::initializer_list<fault_switch> faults,
             promise expected,
             std::uint64_t seeds = kSeeds) {
  world_settings settings = SmallSettings();
  for (const fault_switch each : faults) {
    settings.decider.defects.*each = true;
  }
  bool found = false;
  for (std::uint64_t first = 1; first <= seeds && !found; first += kBatch) {
    RunSeeds(settings, first, kBatch, [&](std::uint64_t, const world& run) {
      found = found || Breaks(run, expected);
    });
  }
  return found;
}

}  // namespace

TEST_CASE("planted: acknowledge before confirmation") {
  CHECK(IsFound({&injected_defects::acknowledge_unconfirmed},
                promise::kNoAcknowledgedWriteLost));
}

TEST_CASE("planted: grow the set without raising the term") {
  CHECK(IsFound({&injected_defects::grow_without_term},
                promise::kNoAcknowledgedWriteLost));
}

TEST_CASE("planted: raise the term, add to both sets only later") {
  CHECK(IsFound({&injected_defects::grow_one_set_later},
                promise::kNoAcknowledgedWriteLost));
}

// A position check that errs is caught by the age check behind it, so that one
// is switched off as well.
TEST_CASE("planted: compare positions by the adopted term") {
  CHECK(IsFound({&injected_defects::compare_adopted_term,
                 &injected_defects::trust_replica_age},
                promise::kReadYourWrites));
}

TEST_CASE("planted: compare positions by offset alone") {
  // Servers of another term refuse reads, which leaves one log to compare
  // offsets in; with that check off too, the order of positions must hold
  // alone.
  CHECK_FALSE(IsFound(
      {&injected_defects::read_any_term, &injected_defects::trust_replica_age},
      promise::kReadYourWrites, kSeedsWithout));
  CHECK(IsFound(
      {&injected_defects::compare_offset_only, &injected_defects::read_any_term,
       &injected_defects::trust_replica_age},
      promise::kReadYourWrites));
}

TEST_CASE("planted: say not run without a tombstone") {
  CHECK(IsFound({&injected_defects::not_run_without_tombstone},
                promise::kTrueNotRun));
}

TEST_CASE("planted: count a tombstone before it is confirmed") {
  CHECK(IsFound({&injected_defects::unconfirmed_tombstone},
                promise::kNoAcknowledgedWriteLost));
}

TEST_CASE("planted: reuse a connection with an answer outstanding") {
  CHECK(IsFound({&injected_defects::reuse_busy_connection},
                promise::kNoMixedTransactions));
}

TEST_CASE("planted: accept an older configuration") {
  CHECK(IsFound({&injected_defects::accept_older_configuration},
                promise::kConfigurationOnlyRises));
}

TEST_CASE("planted: trust a replica's data to be current") {
  CHECK(IsFound({&injected_defects::trust_replica_age}, promise::kStatedAge));
}

TEST_CASE("planted: leave out the request key") {
  CHECK(IsFound({&injected_defects::write_without_key}, promise::kAtMostOnce));
}

TEST_CASE("planted: ignore the term") {
  CHECK(IsFound({&injected_defects::ignore_term},
                promise::kNoSupersededAcknowledgement));
}

TEST_CASE("planted: keep using a leaving server") {
  CHECK(IsFound({&injected_defects::use_leaving_server},
                promise::kLeavingServerRests));
}

TEST_CASE("planted: drop requests on shutdown") {
  CHECK(IsFound({&injected_defects::drop_on_shutdown},
                promise::kGracefulShutdown));
}

TEST_CASE("planted: answer the request that waits longest") {
  CHECK(IsFound({&injected_defects::answer_oldest_request},
                promise::kOwnWholeAnswer));
}

}  // namespace plantaintiller::model
