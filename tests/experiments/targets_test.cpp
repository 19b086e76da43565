#include <doctest/doctest.h>

#include "plantaintiller/experiments/failover_experiment.h"
#include "plantaintiller/experiments/overload_experiment.h"
#include "plantaintiller/experiments/replica_experiment.h"

// The bounds are the stated targets. All times are virtual, so that a run gives
// the same figures on every machine.
namespace plantaintiller::experiments {

namespace {

using core::milliseconds;

constexpr milliseconds kGapTarget{3000};
constexpr double kReplicaTarget = 0.95;
constexpr double kReviewerTarget = 1.2;
constexpr double kGoodputTarget = 0.9;
constexpr core::duration kServiceTime = milliseconds(10);

void CheckGap(const model::world_settings& settings) {
  using failure = failover_case::failure;
  for (const failure primary_failure :
       {failure::kKilled, failure::kFrozen, failure::kCutOff}) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      failover_case failed;
      failed.primary_failure = primary_failure;
      const failover_gap gap = MeasureFailover(settings, failed, seed);
      CHECK(gap.total > milliseconds(0));
      CHECK(gap.total < kGapTarget);
      CHECK_FALSE(gap.promise_broken);
    }
  }
}

void CheckReplicas(const model::world_settings& settings) {
  replica_case quiet;
  quiet.think_time = milliseconds(1000);
  for (const replica_case& each : {quiet, replica_case()}) {
    const replica_share share = MeasureReplicaShare(settings, each, 1);
    CHECK(share.ShareOfBestPossible() >= kReplicaTarget);
    CHECK(share.broken_promises == 0);
  }
}

}  // namespace

// Before shrinking asked whether the primary still answers, its tail of
// unconfirmed writes got the last healthy member taken out, and no server could
// be promoted.
TEST_CASE("failover gap of Swanlodge is under 3 s with the store up") {
  CheckGap(model::SwanlodgeSettings());
}

TEST_CASE("failover gap of the agency is under 3 s with the store up") {
  CheckGap(model::AgencySettings());
}

TEST_CASE("failover completes once the store is back") {
  failover_case failed;
  failed.platform_down = milliseconds(5000);
  const failover_gap gap =
      MeasureFailover(model::SwanlodgeSettings(), failed, 1);
  CHECK(gap.total > milliseconds(0));
  CHECK(gap.total < failed.platform_down + kGapTarget);
}

TEST_CASE("replicas carry 95% of the best possible share: Swanlodge") {
  CheckReplicas(model::SwanlodgeSettings());
}

TEST_CASE("replicas carry 95% of the best possible share: agency") {
  CheckReplicas(model::AgencySettings());
  replica_case behind;
  behind.last_slot_lag = milliseconds(5000);
  const replica_share share =
      MeasureReplicaShare(model::AgencySettings(), behind, 1);
  CHECK(share.ShareOfBestPossible() >= kReplicaTarget);
}

TEST_CASE("any replica, whatever its state, breaks the promises") {
  model::world_settings naive = model::AgencySettings();
  naive.decider.defects.trust_replica_age = true;
  naive.decider.defects.read_any_term = true;
  naive.decider.defects.ignore_token = true;
  replica_case behind;
  behind.last_slot_lag = milliseconds(5000);
  CHECK(MeasureReplicaShare(naive, behind, 1).broken_promises > 0);
}

TEST_CASE("a flood of portal reads leaves reviewers alone") {
  for (const model::world_settings& settings :
       {model::SwanlodgeSettings(), model::AgencySettings()}) {
    const double capacity = CapacityOf(settings, kServiceTime);
    overload_case load;
    const overload_result quiet =
        MeasureOverload(settings, kServiceTime, load, 2);
    load.portal_reads = static_cast<int>(capacity);
    const overload_result peak =
        MeasureOverload(settings, kServiceTime, load, 2);
    load.portal_reads = static_cast<int>(10.0 * capacity);
    const overload_result flood =
        MeasureOverload(settings, kServiceTime, load, 2);
    CHECK(flood.reviewer_refused == 0);
    CHECK(flood.reviewer_p99 <= quiet.reviewer_p99 * kReviewerTarget);
    CHECK(flood.portal_goodput >= peak.portal_goodput * kGoodputTarget);
  }
}

}  // namespace plantaintiller::experiments
