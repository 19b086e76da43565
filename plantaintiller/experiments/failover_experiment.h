#pragma once

#include <cstdint>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::experiments {

/// How a primary fails, and what the platform does meanwhile.
struct failover_case {
  enum class failure : std::uint8_t { kKilled, kFrozen, kCutOff };
  failure primary_failure = failure::kKilled;
  /// Extra time of each call to the platform.
  core::milliseconds platform_extra_delay{0};
  /// Chance that the platform loses an answer.
  double platform_answer_loss_probability = 0.0;
  /// How long the platform is down, from the failure on.
  core::milliseconds platform_down{0};
};

/// The failover gap of one run, from the last acknowledged write before to the
/// first one after, and its parts. A negative part was not seen.
struct failover_gap {
  core::milliseconds total{-1};
  /// From the failure to the first proposal of another primary.
  core::milliseconds detect{-1};
  /// From there until an instance has the new record.
  core::milliseconds decide{-1};
  /// From there until the new primary has adopted its term.
  core::milliseconds order{-1};
  /// From there to the first acknowledged write.
  core::milliseconds resume{-1};
  /// Whether some promise was broken.
  bool promise_broken = false;
};

/// Fails the primary of one database under a steady stream of writes.
/// @param settings of the deployment; its sessions do not run.
failover_gap MeasureFailover(const model::world_settings& settings,
                             const failover_case& failed,
                             std::uint64_t seed);

}  // namespace plantaintiller::experiments
