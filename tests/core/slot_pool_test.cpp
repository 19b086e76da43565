#include "plantaintiller/core/slot_pool.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

namespace plantaintiller::core {

TEST_CASE("slot_pool: behaves as a map would, and never reuses a handle") {
  std::mt19937 random(7);
  slot_pool<int> pool(16);
  std::map<std::uint64_t, int> naive;
  std::map<std::uint64_t, int> ever;
  for (int step = 0; step < 5000; ++step) {
    if (random() % 2 == 0 && !pool.Full()) {
      const std::uint64_t handle = pool.Add(step);
      CHECK(ever.try_emplace(handle, step).second);
      naive[handle] = step;
    } else if (!naive.empty()) {
      auto chosen = naive.begin();
      std::advance(chosen,
                   static_cast<std::ptrdiff_t>(random() % naive.size()));
      pool.Remove(chosen->first);
      naive.erase(chosen);
    }
    CHECK(pool.Size() == naive.size());
  }
  for (const auto& [handle, value] : ever) {
    const int* found = pool.Find(handle);
    CHECK((found != nullptr) == naive.contains(handle));
  }
  std::size_t visited = 0;
  pool.ForEach([&](std::uint64_t handle, int&) {
    visited += naive.contains(handle) ? 1 : 0;
    pool.Remove(handle);
  });
  CHECK(visited == naive.size());
  CHECK(pool.Size() == 0);
}

}  // namespace plantaintiller::core
