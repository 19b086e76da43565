#include <doctest/doctest.h>

#include <algorithm>
#include <initializer_list>

#include "tests/model/seed_runner.h"

// Shows that the check of each promise can fail: the checker must detect a
// defect that is injected into the decision classes, as a violation of the
// promise that the defect breaks.
namespace plantaintiller::model {

namespace {

using decisions::injected_defects;
using defect_flag = bool injected_defects::*;

constexpr std::uint64_t kMaxSeeds = 8000;
constexpr std::uint64_t kSeedsWithoutDefect = 400;
constexpr std::uint64_t kBatchSize = 200;

bool Breaks(const world& run, promise expected) {
  return std::ranges::any_of(
      run.Checker().Violations(),
      [expected](const violation& each) { return each.broken == expected; });
}

// Runs batches of seeds until one violates the promise.
bool IsDetected(std::initializer_list<defect_flag> defects,
                promise expected,
                std::uint64_t seeds = kMaxSeeds) {
  world_settings settings = SmallSettings();
  for (const defect_flag each : defects) {
    settings.decider.defects.*each = true;
  }
  bool found = false;
  for (std::uint64_t first = 1; first <= seeds && !found; first += kBatchSize) {
    RunSeeds(settings, first, kBatchSize, [&](std::uint64_t, const world& run) {
      found = found || Breaks(run, expected);
    });
  }
  return found;
}

}  // namespace

TEST_CASE("defect: acknowledge before confirmation") {
  CHECK(IsDetected({&injected_defects::acknowledge_unconfirmed},
                   promise::kNoAcknowledgedWriteLost));
}

TEST_CASE("defect: grow the set without raising the term") {
  CHECK(IsDetected({&injected_defects::grow_without_term},
                   promise::kNoAcknowledgedWriteLost));
}

TEST_CASE("defect: raise the term before both sets have the new member") {
  CHECK(IsDetected({&injected_defects::grow_one_set_later},
                   promise::kNoAcknowledgedWriteLost));
}

// The staleness check rejects the stale reads that a wrong position check lets
// through, so it is disabled as well.
TEST_CASE("defect: compare positions by the adopted term") {
  CHECK(IsDetected({&injected_defects::compare_adopted_term,
                    &injected_defects::trust_replica_age},
                   promise::kReadYourWrites));
}

TEST_CASE("defect: compare positions by offset alone") {
  // Servers in another term refuse reads, so that only offsets in one log are
  // compared. With that check disabled as well, the order of positions alone
  // must prevent stale reads.
  CHECK_FALSE(IsDetected(
      {&injected_defects::read_any_term, &injected_defects::trust_replica_age},
      promise::kReadYourWrites, kSeedsWithoutDefect));
  CHECK(IsDetected(
      {&injected_defects::compare_offset_only, &injected_defects::read_any_term,
       &injected_defects::trust_replica_age},
      promise::kReadYourWrites));
}

TEST_CASE("defect: report not run without a tombstone") {
  CHECK(IsDetected({&injected_defects::not_run_without_tombstone},
                   promise::kNotRunHasNoEffect));
}

TEST_CASE("defect: count a tombstone before it is confirmed") {
  CHECK(IsDetected({&injected_defects::unconfirmed_tombstone},
                   promise::kNoAcknowledgedWriteLost));
}

TEST_CASE("defect: reuse a connection with an answer outstanding") {
  CHECK(IsDetected({&injected_defects::reuse_busy_connection},
                   promise::kNoMixedTransactions));
}

TEST_CASE("defect: accept an older configuration") {
  CHECK(IsDetected({&injected_defects::accept_older_configuration},
                   promise::kConfigurationOnlyRises));
}

TEST_CASE("defect: trust a replica's data to be current") {
  CHECK(IsDetected({&injected_defects::trust_replica_age},
                   promise::kMaxStaleness));
}

TEST_CASE("defect: leave out the request key") {
  CHECK(
      IsDetected({&injected_defects::write_without_key}, promise::kAtMostOnce));
}

TEST_CASE("defect: ignore the term") {
  CHECK(IsDetected({&injected_defects::ignore_term},
                   promise::kNoSupersededAcknowledgement));
}

TEST_CASE("defect: keep using a leaving server") {
  CHECK(IsDetected({&injected_defects::use_leaving_server},
                   promise::kNoWorkForLeavingServers));
}

TEST_CASE("defect: drop requests on shutdown") {
  CHECK(IsDetected({&injected_defects::drop_on_shutdown},
                   promise::kGracefulShutdown));
}

TEST_CASE("defect: send an answer to the oldest request") {
  CHECK(IsDetected({&injected_defects::answer_oldest_request},
                   promise::kNoMisdirectedAnswer));
}

}  // namespace plantaintiller::model
