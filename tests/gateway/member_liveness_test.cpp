#include "plantaintiller/gateway/member_liveness.h"

#include <doctest/doctest.h>

namespace plantaintiller::gateway {

using core::milliseconds;

namespace {

constexpr core::time_point kStart{std::chrono::hours(1)};

}  // namespace

TEST_CASE("member_life: one that sent heartbeats in a row and fell silent") {
  member_liveness liveness;
  CHECK_FALSE(liveness.IsLive(kStart));
  core::time_point now = kStart;
  for (int n = 0; n < 4; ++n) {
    now += milliseconds(1500);
    liveness.OnHeartbeat(now);
  }
  CHECK(liveness.IsLive(now + milliseconds(5900)));
  CHECK_FALSE(liveness.IsLive(now + milliseconds(6000)));
  // The word of others about the last heartbeat that came here too.
  liveness.OnIndirectHeartbeat(now + milliseconds(300));
  CHECK_FALSE(liveness.IsLive(now + milliseconds(6000)));
  // Others have heard from it since: it has no reason to send here any more.
  liveness.OnIndirectHeartbeat(now + milliseconds(9000));
  CHECK(liveness.IsLive(now + milliseconds(10000)));
}

// The pattern, on swanlodge-db-grown: each instance greets all at its start; 6
// s later all but the relays counted as gone, the deployment as small, and
// everyone read the store and served what arrived.
TEST_CASE(
    "member_life: one that greeted once stays alive by the word of others") {
  member_liveness liveness;
  liveness.OnHeartbeat(kStart);
  CHECK(liveness.IsLive(kStart + milliseconds(20000)));
  liveness.OnIndirectHeartbeat(kStart + milliseconds(18000));
  CHECK(liveness.IsLive(kStart + milliseconds(50000)));
  CHECK_FALSE(liveness.IsLive(kStart + milliseconds(58000)));
}

TEST_CASE("member_life: one that the store names counts for a while") {
  member_liveness liveness;
  liveness.OnIndirectHeartbeat(kStart);
  CHECK(liveness.IsLive(kStart + milliseconds(39000)));
  CHECK_FALSE(liveness.IsLive(kStart + milliseconds(40000)));
}

}  // namespace plantaintiller::gateway
