#include "plantaintiller/decisions/backend_pool.h"

#include <doctest/doctest.h>

namespace plantaintiller::decisions {

using core::milliseconds;
using core::request_class;

namespace {
const core::time_point kNow{milliseconds(1000000)};
}  // namespace

TEST_CASE(
    "backend_pool: a connection beyond a lowered limit closes after work") {
  backend_pool pool(4, 10);
  for (std::uint64_t n = 1; n <= 2; ++n) {
    CHECK(pool.Push(request_class::kFresh, n));
  }
  const auto first = pool.StartNext(kNow);
  const auto second = pool.StartNext(kNow);
  REQUIRE(first.has_value());
  REQUIRE(second.has_value());
  CHECK(first->connection != second->connection);
  CHECK(pool.SetLimit(1).size() == 2);
  CHECK_FALSE(pool.Release(first->connection, request_class::kFresh));
  CHECK(pool.Release(second->connection, request_class::kFresh));
}

TEST_CASE("backend_pool: no work starts after the close time") {
  backend_pool pool(4, 10);
  pool.SetCloseTime(kNow + milliseconds(10));
  CHECK(pool.Push(request_class::kFresh, 1));
  CHECK(pool.Push(request_class::kFresh, 2));
  CHECK(pool.StartNext(kNow).has_value());
  CHECK_FALSE(pool.StartNext(kNow + milliseconds(10)).has_value());
  pool.SetCloseTime(core::time_point::max());
  CHECK(pool.StartNext(kNow + milliseconds(10)).has_value());
}

TEST_CASE("backend_pool: a paused connection is not used") {
  backend_pool pool(1, 10);
  pool.Pause(0, kNow + milliseconds(5));
  CHECK(pool.Push(request_class::kFresh, 1));
  CHECK_FALSE(pool.StartNext(kNow).has_value());
  CHECK(pool.StartNext(kNow + milliseconds(5)).has_value());
}

TEST_CASE(
    "backend_pool: transactions may use half the connections, minimum 1") {
  backend_pool small(1, 10);
  CHECK(small.CanOpenTransaction(50));
  small.OnTransactionOpening();
  CHECK_FALSE(small.CanOpenTransaction(50));
  backend_pool large(8, 10);
  for (int n = 0; n < 4; ++n) {
    CHECK(large.CanOpenTransaction(50));
    large.OnTransactionOpening();
  }
  CHECK_FALSE(large.CanOpenTransaction(50));
  large.OnTransactionEnded();
  CHECK(large.CanOpenTransaction(50));
}

}  // namespace plantaintiller::decisions
