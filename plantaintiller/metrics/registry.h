#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "plantaintiller/core/refusal.h"
#include "plantaintiller/core/statement.h"

namespace plantaintiller::metrics {

/// Counts and latencies of callers' requests. Thread-safe.
class registry {
 public:
  registry();
  ~registry();

  /// Records an answer.
  /// @param work request that was answered.
  /// @param outcome its answer.
  /// @param latency time from arrival to answer.
  /// @param at_primary whether the primary served it.
  void OnAnswer(const core::statement& work,
                const core::statement_outcome& outcome,
                core::duration latency,
                bool at_primary);

  /// Returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::metrics
