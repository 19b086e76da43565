// Orders to promote that may be carried out late, where the platform does not
// check tokens. Guards against the promotion of another server meanwhile: the
// late order takes the lead back without the commits since (LOST, review 12).
#include "plantaintiller/replication/promotion_orders.h"

#include <doctest/doctest.h>

#include "tests/replication/change_fixture.h"

namespace plantaintiller::replication {

using core::milliseconds;

namespace {

constexpr milliseconds kLifetime{8800};
constexpr milliseconds kStep{100};

/// A group whose leader "a" drains and whose order to promote "b" got no
/// answer. The platform checks no tokens.
struct late_order_fixture : change_fixture {
  late_order_fixture() {
    settings.fencing = false;
    draining.insert("a");
    List();
    promotion_answer = store::promotion_status::kUnknown;
    change->Start(change_reason::kLeaving);
    while (orders.empty()) {
      Run(milliseconds(1));
    }
    Run(2 * server_latency);
    ordered = orders.front().server;
    other = ordered == "b" ? "c" : "b";
    promotion_answer = store::promotion_status::kAccepted;
  }
  /// Makes a server the leader, as a promotion does.
  void Lead(const std::string& id, core::term_number term) {
    for (auto& [each, status] : servers) {
      status.is_primary = each == id;
      status.term = term;
      status.held_term = 0;
    }
  }
  /// The lists and proofs that a group with a leader has go on, and a change is
  /// begun again while there is a reason for it.
  void RunChanges(milliseconds span, change_reason reason) {
    for (milliseconds passed{0}; passed < span; passed += kStep) {
      List();
      change->Start(reason);
      Run(kStep);
    }
  }
  bool HasOrdered(const std::string& id) const {
    return std::any_of(orders.begin(), orders.end(),
                       [&](const order& each) { return each.server == id; });
  }

  std::string ordered;
  std::string other;
};

}  // namespace

TEST_CASE("promotion_orders: an order lasts until it can't be carried out") {
  const core::time_point now(milliseconds(1000));
  promotion_orders orders;
  orders.OnGiven("b", 1, now, kLifetime);
  CHECK(orders.HasOther("c"));
  CHECK(!orders.HasOther("b"));
  SUBCASE("without an answer, also when its server has led since") {
    orders.OnUnanswered("b", 1);
    orders.OnGiven("b", 2, now + kStep, kLifetime);
    orders.OnAccepted("b", 2, now + 9 * kStep);
    orders.OnLeads("b");
    orders.Expire(now + kLifetime);
    CHECK(orders.HasOther("c"));
    orders.Expire(now + kLifetime + milliseconds(1));
    CHECK(orders.IsEmpty());
  }
  SUBCASE("or was refused") {
    orders.OnRefused("b", 1);
    CHECK(orders.IsEmpty());
  }
  SUBCASE("or was accepted and its server leads") {
    orders.OnLeads("b");
    CHECK(orders.IsEmpty());
  }
  SUBCASE("or was accepted and its time is over") {
    orders.OnAccepted("b", 1, now + kStep);
    orders.Expire(now + kStep);
    CHECK(!orders.IsEmpty());
    orders.Expire(now + 2 * kStep);
    CHECK(orders.IsEmpty());
  }
  SUBCASE("and an inherited one counts from the latest time of its giving") {
    orders.Inherit("c", now, kLifetime);
    orders.Inherit("c", now + kStep, kLifetime);
    orders.Inherit("c", now, kLifetime);
    CHECK(orders.LatestByServer().at("c") == now + kStep);
    orders.Expire(now + kLifetime + kStep);
    CHECK(orders.HasOther("b"));
  }
}

TEST_CASE("promotion_orders: a draining leader stays until its order is over") {
  late_order_fixture world;
  world.Run(milliseconds(600));
  // The order under the next token was carried out; the first one is not.
  world.Lead(world.ordered, 2);
  world.Run(milliseconds(500));
  REQUIRE(world.leaders.back() == world.ordered);
  world.draining.insert(world.ordered);
  world.RunChanges(milliseconds(7000), change_reason::kLeaving);
  CHECK(!world.HasOrdered(world.other));
  CHECK(world.log.find("order_outstanding " + world.ordered) !=
        std::string::npos);
  CHECK(world.CountOf(server_command::kDemote) == 1);
  world.RunChanges(milliseconds(5000), change_reason::kLeaving);
  CHECK(world.HasOrdered(world.other));
}

TEST_CASE("promotion_orders: a shorter log of its server does not end one") {
  for (const bool forgets : {false, true}) {
    late_order_fixture world;
    world.settings.injected_defects.forget_orders = forgets;
    world.servers[world.ordered].received = {1, 5};
    world.RunChanges(milliseconds(7500), change_reason::kLeaving);
    CHECK(world.HasOrdered(world.other) == forgets);
  }
}

TEST_CASE("promotion_orders: the next holder waits for an inherited order") {
  change_fixture world;
  world.settings.fencing = false;
  world.draining = {"a", "c"};
  world.List();
  world.SetClaimOfOther(7, world.StoreNow() - milliseconds(2600));
  SUBCASE("of a server that does not answer") {
    world.row.candidates.emplace();
    (*world.row.candidates)["c"] = world.StoreNow();
    world.unreachable.insert("c");
  }
  SUBCASE("of an unknown server, and passes it on") {
    world.change->Start(change_reason::kLeaving);
    world.Run(milliseconds(100));
    REQUIRE(world.row.holder == "self");
    REQUIRE(world.row.candidates.has_value());
    CHECK(world.row.candidates->size() == 1);
  }
  for (int turn = 0; turn < 75; ++turn) {
    world.List();
    world.change->Start(change_reason::kLeaving);
    world.Run(kStep);
  }
  CHECK(world.orders.empty());
  CHECK(world.log.find("order_outstanding") != std::string::npos);
}

// Where tokens are checked, a late order is refused, and nothing is gained by
// waiting for it.
TEST_CASE("promotion_orders: nothing waits where tokens are checked") {
  change_fixture world;
  world.draining = {"a", "c"};
  world.List();
  world.SetClaimOfOther(7, world.StoreNow() - milliseconds(2600));
  world.row.candidates.emplace();
  (*world.row.candidates)["c"] = world.StoreNow();
  world.change->Start(change_reason::kLeaving);
  world.Run(milliseconds(3000));
  CHECK(!world.orders.empty());
  CHECK(world.log.find("order_outstanding") == std::string::npos);
}

}  // namespace plantaintiller::replication
