#include "plantaintiller/gateway/connection_share.h"

#include <doctest/doctest.h>

namespace plantaintiller::gateway {

// After all instances lose power, servers count the old connections for 3 s
// more, while each restarted instance opens some ahead of need. Both together
// must leave connections for requests that wait.
TEST_CASE("connection_share: connections opened ahead leave some free") {
  struct deployment {
    int max_connections;
    int instances;
  };
  for (const deployment& each :
       {deployment{16, 8}, {43, 8}, {32, 6}, {168, 6}, {200, 4}}) {
    const auto limits = connection_share::LimitsFor(each.max_connections,
                                                    each.instances, false);
    CHECK(limits.min_open <= limits.kept_idle);
    CHECK(2 * limits.min_open * each.instances < each.max_connections);
    CHECK(limits.kept_idle * each.instances <= each.max_connections);
  }
}

// Load: a burst reaches all instances at once, and each opens connections for
// the requests that wait. Together they must not ask a server for more than it
// accepts, because each refused connection takes as long as one that is opened.
TEST_CASE("connection_share: all instances together stay within the limit") {
  for (const int max_connections : {16, 22, 43, 51}) {
    for (const int instances : {2, 3, 6, 8, 14}) {
      const auto limits =
          connection_share::LimitsFor(max_connections, instances, false);
      CHECK(limits.max_working >= 1);
      CHECK(limits.max_working * instances <= max_connections);
      CHECK(limits.kept_idle <= limits.max_working);
      CHECK(limits.max_open == max_connections);
    }
  }
  CHECK(connection_share::LimitsFor(22, 1, false).max_working == 22);
  CHECK(connection_share::LimitsFor(16, 85, false).max_working == 1);
}

// Guards against an instance that has just started, knows no other instances
// yet and uses the shares of all: eight instances opened three connections each
// to a server that accepts sixteen.
TEST_CASE("connection_share: none opened ahead while peers are not known") {
  const auto limits = connection_share::LimitsFor(16, std::nullopt, false);
  CHECK(limits.min_open == 0);
  CHECK(limits.kept_idle == 1);
  CHECK(limits.max_open == 16);
}

TEST_CASE("connection_share: more instances than connections") {
  const auto limits = connection_share::LimitsFor(16, 85, false);
  CHECK(limits.min_open == 0);
  CHECK(limits.kept_idle == 1);
  CHECK(connection_share::LimitsFor(16, 0, false).kept_idle >= 1);
}

// Guards against shares that are kept so full that the owner which replaces a
// lost one of six finds no free connection.
TEST_CASE("connection_share: accounts keep more, and leave a lost owner's") {
  for (const int max_connections : {49, 53, 72}) {
    const auto limits = connection_share::LimitsFor(max_connections, 6, true);
    const auto without = connection_share::LimitsFor(max_connections, 6, false);
    CHECK(limits.kept_idle > without.kept_idle);
    CHECK(limits.kept_idle_limit > without.kept_idle_limit);
    CHECK(limits.kept_idle_limit < core::milliseconds(60000));
    CHECK(limits.kept_idle < limits.replace_from);
    CHECK(7 * limits.kept_idle <= max_connections);
  }
  CHECK(connection_share::LimitsFor(16, 85, true).replace_from == 1);
}

}  // namespace plantaintiller::gateway
