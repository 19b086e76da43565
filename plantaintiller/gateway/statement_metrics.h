#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "plantaintiller/core/route.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::gateway {

/// Counters and latency histograms of statements, by kind of route.
class statement_metrics {
 public:
  /// Records an answer. @param route null if none was found; @param failure
  /// null on success.
  void OnAnswer(const core::route* route,
                bool at_leader,
                core::duration took,
                const char* failure);
  /// Increments a counter. @param name without the common prefix and suffix.
  void Count(const std::string& name) { counters_[name] += 1; }
  /// Sets a gauge. @param name a string of static storage.
  void Set(const char* name, std::uint64_t value) { gauges_[name] = value; }
  /// @return all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  /// Upper bounds of the histogram buckets in milliseconds, spaced around the
  /// latency objectives of the users' routes.
  static constexpr std::uint64_t kBounds[] = {2,   5,   10,  25,   50,
                                              100, 250, 500, 1000, 2500};
  static constexpr std::size_t kBuckets = 11;
  struct kind_counts {
    std::uint64_t at_leader = 0;
    std::uint64_t at_replica = 0;
    std::uint64_t buckets[kBuckets] = {};
    double seconds = 0;
  };

  std::map<std::string, kind_counts> kinds_;
  std::map<std::string, std::uint64_t> failures_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, std::uint64_t> gauges_;
};

}  // namespace plantaintiller::gateway
