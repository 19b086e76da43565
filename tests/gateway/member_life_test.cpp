#include "plantaintiller/gateway/member_life.h"

#include <doctest/doctest.h>

namespace plantaintiller::gateway {

using core::milliseconds;

namespace {

constexpr core::time_point kStart{std::chrono::hours(1)};

}  // namespace

TEST_CASE("member_life: one that sent heartbeats in a row and fell silent") {
  member_life life;
  CHECK_FALSE(life.IsLive(kStart));
  core::time_point now = kStart;
  for (int n = 0; n < 4; ++n) {
    now += milliseconds(1500);
    life.OnHeard(now);
  }
  CHECK(life.IsLive(now + milliseconds(5900)));
  CHECK_FALSE(life.IsLive(now + milliseconds(6000)));
  // The word of others about the last heartbeat that came here too.
  life.OnVouched(now + milliseconds(300));
  CHECK_FALSE(life.IsLive(now + milliseconds(6000)));
  // Others have heard from it since: it has no reason to send here any more.
  life.OnVouched(now + milliseconds(9000));
  CHECK(life.IsLive(now + milliseconds(10000)));
}

// The pattern, on swanlodge-db-grown: each instance greets all at its start; 6
// s later all but the relays counted as gone, the deployment as small, and
// everyone read the store and served what arrived.
TEST_CASE(
    "member_life: one that greeted once stays alive by the word of others") {
  member_life life;
  life.OnHeard(kStart);
  CHECK(life.IsLive(kStart + milliseconds(20000)));
  life.OnVouched(kStart + milliseconds(18000));
  CHECK(life.IsLive(kStart + milliseconds(50000)));
  CHECK_FALSE(life.IsLive(kStart + milliseconds(58000)));
}

TEST_CASE("member_life: one that the store names counts for a while") {
  member_life life;
  life.OnVouched(kStart);
  CHECK(life.IsLive(kStart + milliseconds(39000)));
  CHECK_FALSE(life.IsLive(kStart + milliseconds(40000)));
}

}  // namespace plantaintiller::gateway
