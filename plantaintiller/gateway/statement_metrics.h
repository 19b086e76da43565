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
  /// Notes an answer. @param route null if none was found; @param failure
  /// null on success.
  void OnAnswer(const core::route* route,
                bool at_leader,
                core::duration took,
                const char* failure);
  /// Adds to a counter. @param name a string of static storage.
  void Count(const char* name) { counters_[name] += 1; }
  /// Sets a value that may fall. @param name as above.
  void Set(const char* name, std::uint64_t value) { gauges_[name] = value; }
  /// Everything in Prometheus' text format.
  std::string Text() const;

 private:
  /// Upper bounds of the histograms in milliseconds, around the objectives of
  /// the users' routes.
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
