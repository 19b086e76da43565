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

}  // namespace plantaintiller::replication
