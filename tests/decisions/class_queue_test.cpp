#include "plantaintiller/decisions/class_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

namespace plantaintiller::decisions {

using core::request_class;

TEST_CASE("class_queue: overload in one class leaves the others' shares") {
  class_queue queue(8, 1000);
  for (std::uint64_t n = 0; n < 500; ++n) {
    CHECK(queue.Push(request_class::kStale, n));
  }
  int started = 0;
  while (queue.Pop().has_value()) {
    started += 1;
  }
  CHECK(started == 8 - queue.ReservedShare(request_class::kFresh) -
                       queue.ReservedShare(request_class::kBackground));
  for (std::uint64_t n = 0; n < 4; ++n) {
    CHECK(queue.Push(request_class::kFresh, 1000 + n));
    CHECK(queue.Pop() == 1000 + n);
  }
  CHECK_FALSE(queue.Pop().has_value());
}

TEST_CASE("class_queue: one connection serves every class") {
  class_queue queue(1, 4);
  CHECK(queue.Push(request_class::kBackground, 1));
  CHECK(queue.Pop() == 1);
  CHECK(queue.Push(request_class::kFresh, 2));
  CHECK_FALSE(queue.Pop().has_value());
  queue.Release(request_class::kBackground);
  CHECK(queue.Pop() == 2);
}

TEST_CASE("class_queue: Push fails when full, erased work is not popped") {
  class_queue queue(1, 2);
  CHECK(queue.Push(request_class::kFresh, 1));
  CHECK(queue.Push(request_class::kFresh, 2));
  CHECK_FALSE(queue.Push(request_class::kFresh, 3));
  queue.Erase(request_class::kFresh, 1);
  CHECK(queue.Pop() == 2);
  CHECK_FALSE(queue.PopAny().has_value());
}

TEST_CASE("class_queue: running work never exceeds the connections") {
  std::mt19937 random(3);
  class_queue queue(6, 50);
  std::map<std::uint64_t, request_class> running;
  std::map<std::uint64_t, request_class> known;
  for (std::uint64_t step = 0; step < 20000; ++step) {
    const auto priority = static_cast<request_class>(random() % 3);
    if (random() % 2 == 0) {
      if (queue.Push(priority, step)) {
        known[step] = priority;
      }
    } else if (!running.empty()) {
      queue.Release(running.begin()->second);
      running.erase(running.begin());
    }
    while (const auto work = queue.Pop()) {
      running[*work] = known[*work];
    }
    CHECK(running.size() <= 6);
  }
}

}  // namespace plantaintiller::decisions
