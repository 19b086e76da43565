#include "plantaintiller/gateway/connection_share.h"

#include <doctest/doctest.h>

namespace plantaintiller::gateway {

// The pattern: all instances lose power. Servers count the old connections for
// 3 s more, and each instance, started again, opens some ahead of need. Both
// together must leave room for those that callers wait for.
TEST_CASE("connection_share: old and new warm connections leave room") {
  struct deployment {
    int max_connections;
    int instances;
  };
  for (const deployment& each :
       {deployment{16, 8}, {43, 8}, {32, 6}, {168, 6}, {200, 4}}) {
    const auto limits =
        connection_share::LimitsFor(each.max_connections, each.instances);
    CHECK(limits.min_open <= limits.kept_idle);
    CHECK(2 * limits.min_open * each.instances < each.max_connections);
    CHECK(limits.kept_idle * each.instances <= each.max_connections);
  }
}

// An instance that has just started knows no other, and took the share of all:
// three connections each of eight, before sixteen.
TEST_CASE("connection_share: none is opened while the others are not known") {
  const auto limits = connection_share::LimitsFor(16, std::nullopt);
  CHECK(limits.min_open == 0);
  CHECK(limits.kept_idle == 1);
  CHECK(limits.max_open == 16);
}

TEST_CASE("connection_share: more instances than connections") {
  const auto limits = connection_share::LimitsFor(16, 85);
  CHECK(limits.min_open == 0);
  CHECK(limits.kept_idle == 1);
  CHECK(connection_share::LimitsFor(16, 0).kept_idle >= 1);
}

}  // namespace plantaintiller::gateway
