#pragma once

#include <cstdint>

#include "plantaintiller/core/time.h"
#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::experiments {

/// Load of one run, per second, on one database.
struct overload_case {
  /// Current reads by reviewers.
  int reviewer_reads = 40;
  /// Reads by the portal that allow old data.
  int portal_reads = 0;
};

/// What came of it.
struct overload_result {
  core::duration reviewer_median{0};
  core::duration reviewer_p99{0};
  std::uint64_t reviewer_refused = 0;
  /// Portal reads answered, per second.
  double portal_goodput = 0.0;
  std::uint64_t portal_refused = 0;
};

/// Statements a second that a database's backend servers can carry.
/// @param settings of the deployment; each statement takes `service_time`.
double CapacityOf(const model::world_settings& settings,
                  core::duration service_time);

/// Offers both loads to one database and measures the answers.
overload_result MeasureOverload(const model::world_settings& settings,
                                core::duration service_time,
                                const overload_case& load,
                                std::uint64_t seed);

}  // namespace plantaintiller::experiments
