#include "plantaintiller/replication/primary_change.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "tests/replication/change_fixture.h"

namespace plantaintiller::replication {

using core::milliseconds;

namespace {

/// A fixture whose platform does not check tokens, with a leader that drains.
struct unfenced_fixture : change_fixture {
  unfenced_fixture() {
    settings.fencing = false;
    draining.insert("a");
    List();
  }
};

}  // namespace

// The claim of a working holder was taken at once when the store's clock went
// back, so that two instances promoted (ONE).
TEST_CASE(
    "primary_change: a claim from the future of the store's clock holds") {
  unfenced_fixture world;
  world.SetClaimOfOther(7, world.StoreNow() + milliseconds(1000));
  world.change->Start(change_reason::kLeaving);
  world.Run(milliseconds(50));
  CHECK(world.written.empty());
  CHECK(world.leaders == std::vector<std::string>{""});
}

TEST_CASE(
    "primary_change: a claim that stays in the future is taken in the end") {
  unfenced_fixture world;
  world.SetClaimOfOther(7, world.StoreNow() + milliseconds(100000));
  world.change->Start(change_reason::kLeaving);
  world.Run(world.settings.claim_validity);
  CHECK(world.written.empty());
  world.change->Start(change_reason::kLeaving);
  world.Run(milliseconds(50));
  REQUIRE(!world.written.empty());
  CHECK(world.written.front().token == 8);
}

TEST_CASE("primary_change defect: a claim from the future counts as expired") {
  unfenced_fixture world;
  world.settings.injected_defects.trust_store_clock = true;
  world.SetClaimOfOther(7, world.StoreNow() + milliseconds(1000));
  world.change->Start(change_reason::kLeaving);
  world.Run(milliseconds(50));
  CHECK(!world.orders.empty());
}

// A promotion took effect after another instance had taken over the claim and
// compared the servers (LOST).
TEST_CASE("primary_change: an order takes effect before its claim lapses") {
  unfenced_fixture world;
  world.store_latency = milliseconds(500);
  const core::time_point started = world.now;
  world.change->Start(change_reason::kLeaving);
  world.Run(milliseconds(4000));
  for (const change_fixture::order& each : world.orders) {
    const auto end_of_claim =
        each.row.claimed_at + world.settings.claim_validity;
    CHECK(each.valid_for > milliseconds(0));
    CHECK(core::ToMilliseconds(started.time_since_epoch()) < end_of_claim);
    CHECK(each.valid_for + world.settings.longest_promotion <=
          world.settings.claim_validity);
  }
  CHECK(!world.orders.empty());
}

TEST_CASE("primary_change: no order is given at the end of a claim") {
  unfenced_fixture world;
  world.store_latency = milliseconds(800);
  world.change->Start(change_reason::kLeaving);
  world.Run(milliseconds(4000));
  CHECK(world.orders.empty());
}

}  // namespace plantaintiller::replication
