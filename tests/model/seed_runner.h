#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "plantaintiller/model/world.h"

namespace plantaintiller::model {

/// Runs seeds in parallel on all processors. The results do not depend on the
/// number of processors.
/// @param first, count range of seeds.
/// @param visit called with each finished run, never concurrently.
inline void RunSeeds(
    const world_settings& settings,
    std::uint64_t first,
    std::uint64_t count,
    const std::function<void(std::uint64_t, const world&)>& visit) {
  std::atomic<std::uint64_t> next{0};
  std::mutex visit_mutex;
  std::vector<std::thread> threads;
  const unsigned processors = std::thread::hardware_concurrency();
  for (unsigned n = 0; n < (processors == 0 ? 1 : processors); ++n) {
    threads.emplace_back([&] {
      for (std::uint64_t index = next++; index < count; index = next++) {
        world run(settings, first + index);
        run.Run();
        const std::lock_guard lock(visit_mutex);
        visit(first + index, run);
      }
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
}

/// Describes a run: its seed, then its violations and the injected faults, one
/// per line.
inline std::string Describe(std::uint64_t seed, const world& run) {
  std::string text = "seed " + std::to_string(seed);
  for (const violation& each : run.Checker().Violations()) {
    text += "\n  " + std::string(PromiseName(each.broken)) + ": " + each.detail;
  }
  for (const std::string& fault : run.FaultLog()) {
    text += "\n  " + fault;
  }
  return text;
}

}  // namespace plantaintiller::model
