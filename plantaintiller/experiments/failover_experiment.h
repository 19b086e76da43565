#pragma once

#include <cstdint>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::experiments {

/// How a primary fails, and which faults the platform has at the same time.
struct failover_case {
  enum class failure : std::uint8_t { kKilled, kFrozen, kCutOff };
  failure primary_failure = failure::kKilled;
  /// Extra time that each call to the platform takes.
  core::milliseconds platform_extra_delay{0};
  /// Probability that the platform loses an answer.
  double platform_answer_loss_probability = 0.0;
  /// How long the platform is down, starting with the failure.
  core::milliseconds platform_down{0};
};

/// Failover gap of one run and its phases. The gap lasts from the last write
/// that the old primary acknowledged to the first one that its successor
/// acknowledged. A phase that did not end during the run is negative.
struct failover_gap {
  core::milliseconds total{-1};
  /// From the failure to the first proposal of another primary.
  core::milliseconds detect{-1};
  /// From the proposal until an instance has the new group record.
  core::milliseconds decide{-1};
  /// From the new record until the new primary has adopted its term.
  core::milliseconds order{-1};
  /// From the adoption to the first acknowledged write.
  core::milliseconds resume{-1};
  /// Whether the run broke a promise.
  bool promise_broken = false;
};

/// Makes the primary of one database fail under a steady stream of writes and
/// measures the failover gap.
/// @param settings deployment to simulate; its sessions are not started.
/// @param failed failure to inject.
failover_gap MeasureFailover(const model::world_settings& settings,
                             const failover_case& failed,
                             std::uint64_t seed);

}  // namespace plantaintiller::experiments
