#include <doctest/doctest.h>

#include "plantaintiller/experiments/failover_experiment.h"
#include "plantaintiller/experiments/overload_experiment.h"
#include "plantaintiller/experiments/replica_experiment.h"

// The bounds are the stated targets. All times are virtual, so a run gives the
// same figures on every machine.
namespace plantaintiller::experiments {

namespace {

using core::milliseconds;

constexpr milliseconds kMaxFailoverGap{3000};
constexpr double kMinReplicaShare = 0.95;
constexpr double kMaxReviewerSlowdown = 1.2;
constexpr double kMinGoodputRatio = 0.9;
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
      CHECK(gap.total < kMaxFailoverGap);
      CHECK_FALSE(gap.promise_broken);
    }
  }
}

void CheckReplicas(const model::world_settings& settings) {
  replica_case low_load;
  low_load.think_time = milliseconds(1000);
  for (const replica_case& each : {low_load, replica_case()}) {
    const replica_share share = MeasureReplicaShare(settings, each, 1);
    CHECK(share.ShareOfBestPossible() >= kMinReplicaShare);
    CHECK(share.broken_promises == 0);
  }
}

}  // namespace

// Guards against a shrink of the confirming set while the primary does not
// answer: the failed primary's unconfirmed writes caused the removal of the
// last healthy member, after which no server could be promoted.
TEST_CASE("failover gap of Swanlodge is under 3 s with the store up") {
  CheckGap(model::SwanlodgeSettings());
}

TEST_CASE("failover gap of the agency is under 3 s with the store up") {
  CheckGap(model::AgencySettings());
}

TEST_CASE("failover completes once the store is available again") {
  failover_case failed;
  failed.platform_down = milliseconds(5000);
  const failover_gap gap =
      MeasureFailover(model::SwanlodgeSettings(), failed, 1);
  CHECK(gap.total > milliseconds(0));
  CHECK(gap.total < failed.platform_down + kMaxFailoverGap);
}

TEST_CASE("replicas carry 95% of the best possible share: Swanlodge") {
  CheckReplicas(model::SwanlodgeSettings());
}

TEST_CASE("replicas carry 95% of the best possible share: agency") {
  CheckReplicas(model::AgencySettings());
  replica_case lagging;
  lagging.last_slot_lag = milliseconds(5000);
  const replica_share share =
      MeasureReplicaShare(model::AgencySettings(), lagging, 1);
  CHECK(share.ShareOfBestPossible() >= kMinReplicaShare);
}

TEST_CASE("reads from any replica, whatever its state, break promises") {
  model::world_settings any_replica = model::AgencySettings();
  any_replica.decider.defects.trust_replica_age = true;
  any_replica.decider.defects.read_any_term = true;
  any_replica.decider.defects.ignore_token = true;
  replica_case lagging;
  lagging.last_slot_lag = milliseconds(5000);
  CHECK(MeasureReplicaShare(any_replica, lagging, 1).broken_promises > 0);
}

TEST_CASE("a flood of portal reads does not slow down reviewers") {
  for (const model::world_settings& settings :
       {model::SwanlodgeSettings(), model::AgencySettings()}) {
    const double capacity = CapacityOf(settings, kServiceTime);
    overload_case load;
    const overload_result low_load =
        MeasureOverload(settings, kServiceTime, load, 2);
    load.portal_reads = static_cast<int>(capacity);
    const overload_result peak =
        MeasureOverload(settings, kServiceTime, load, 2);
    load.portal_reads = static_cast<int>(10.0 * capacity);
    const overload_result flood =
        MeasureOverload(settings, kServiceTime, load, 2);
    CHECK(flood.reviewer_refused == 0);
    CHECK(flood.reviewer_p99 <= low_load.reviewer_p99 * kMaxReviewerSlowdown);
    CHECK(flood.portal_goodput >= peak.portal_goodput * kMinGoodputRatio);
  }
}

}  // namespace plantaintiller::experiments
