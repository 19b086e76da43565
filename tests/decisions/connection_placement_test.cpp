#include "plantaintiller/decisions/connection_placement.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace plantaintiller::decisions {

namespace {

std::vector<placement_candidate> Instances(std::uint32_t count,
                                           std::uint32_t zones) {
  std::vector<placement_candidate> candidates;
  for (std::uint32_t n = 1; n <= count; ++n) {
    candidates.push_back({{n}, {n % zones}});
  }
  return candidates;
}

}  // namespace

TEST_CASE("connection_placement: shares add up to the limit") {
  for (int limit = 1; limit <= 40; ++limit) {
    for (std::size_t holders = 1; holders <= 2; ++holders) {
      int sum = 0;
      for (std::size_t rank = 0; rank < holders; ++rank) {
        sum += connection_placement::Share(limit, rank, holders);
      }
      CHECK(sum == limit);
    }
  }
  CHECK(connection_placement::Share(16, 2, 2) == 0);
}

TEST_CASE("connection_placement: holders are in the server's zone") {
  const auto instances = Instances(8, 3);
  for (core::slot_number slot = 0; slot < 3; ++slot) {
    const auto holders =
        connection_placement::Holders({{5}, slot}, {1}, instances);
    CHECK(holders.size() == connection_placement::kHolders);
    for (const core::instance_id holder : holders) {
      CHECK(holder.value % 3 == 1);
    }
  }
  CHECK(connection_placement::Holders({{5}, 0}, {77}, instances).size() ==
        connection_placement::kHolders);
  CHECK(connection_placement::Holders({{5}, 0}, {1}, {}).empty());
}

// For comparison: placement by modulo of the number of instances moves nearly
// all servers.
TEST_CASE("connection_placement: a lost instance moves only its own servers") {
  const auto all = Instances(40, 1);
  auto fewer = all;
  fewer.erase(fewer.begin() + 10);
  int moved = 0;
  int naive_moved = 0;
  constexpr std::uint32_t kServers = 1000;
  for (std::uint32_t n = 0; n < kServers; ++n) {
    const core::backend_server_id server{{n}, 0};
    const auto before = connection_placement::Holders(server, {0}, all);
    const auto after = connection_placement::Holders(server, {0}, fewer);
    moved += before == after ? 0 : 1;
    const bool held =
        std::ranges::find(before, core::instance_id{11}) != before.end();
    CHECK((before == after) == !held);
    naive_moved += all[n % 40].id == fewer[n % 39].id ? 0 : 1;
  }
  CHECK(moved < 100);
  CHECK(naive_moved > 700);
}

}  // namespace plantaintiller::decisions
