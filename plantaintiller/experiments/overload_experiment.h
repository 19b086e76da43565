#pragma once

#include <cstdint>

#include "plantaintiller/core/time.h"
#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::experiments {

/// Load on one database during a run, in reads per second.
struct overload_case {
  /// Reads by reviewers, which require current data.
  int reviewer_reads = 40;
  /// Reads by the portal, which accept stale data.
  int portal_reads = 0;
};

/// Result of a run.
struct overload_result {
  core::duration reviewer_median{0};
  core::duration reviewer_p99{0};
  std::uint64_t reviewer_refused = 0;
  /// Portal reads answered per second.
  double portal_goodput = 0.0;
  std::uint64_t portal_refused = 0;
};

/// Returns the number of statements per second that the backend servers of one
/// database can execute.
/// @param settings of the deployment.
/// @param service_time execution time of a statement.
double CapacityOf(const model::world_settings& settings,
                  core::duration service_time);

/// Sends both loads to one database and measures the answers.
/// @param service_time execution time of a statement.
overload_result MeasureOverload(const model::world_settings& settings,
                                core::duration service_time,
                                const overload_case& load,
                                std::uint64_t seed);

}  // namespace plantaintiller::experiments
