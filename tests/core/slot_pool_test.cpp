#include "plantaintiller/core/slot_pool.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

namespace plantaintiller::core {

TEST_CASE("slot_pool: behaves like a map and never reuses a handle") {
  std::mt19937 random(7);
  slot_pool<int> pool(16);
  std::map<std::uint64_t, int> reference;
  std::map<std::uint64_t, int> issued;
  for (int step = 0; step < 5000; ++step) {
    if (random() % 2 == 0 && !pool.Full()) {
      const std::uint64_t handle = pool.Add(step);
      CHECK(issued.try_emplace(handle, step).second);
      reference[handle] = step;
    } else if (!reference.empty()) {
      auto chosen = reference.begin();
      std::advance(chosen,
                   static_cast<std::ptrdiff_t>(random() % reference.size()));
      pool.Remove(chosen->first);
      reference.erase(chosen);
    }
    CHECK(pool.Size() == reference.size());
  }
  for (const auto& [handle, value] : issued) {
    const int* found = pool.Find(handle);
    CHECK((found != nullptr) == reference.contains(handle));
  }
  std::size_t visited = 0;
  pool.ForEach([&](std::uint64_t handle, int&) {
    visited += reference.contains(handle) ? 1 : 0;
    pool.Remove(handle);
  });
  CHECK(visited == reference.size());
  CHECK(pool.Size() == 0);
}

}  // namespace plantaintiller::core
