#pragma once

#include <cstdint>

#include "plantaintiller/core/time.h"
#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::experiments {

/// What the replicas are like during a run.
struct replica_case {
  /// Mean pause between a session's requests; longer at night.
  core::milliseconds think_time{60};
  int sessions = 60;
  /// Extra delay of replication to the last slot of each database.
  core::milliseconds last_slot_lag{0};
};

/// Reads of one run.
struct replica_share {
  std::uint64_t reads = 0;
  std::uint64_t by_replicas = 0;
  /// Reads that some replica could have answered, given perfect knowledge.
  std::uint64_t best_possible_by_replicas = 0;
  std::uint64_t broken_promises = 0;

  /// Share of all reads that replicas answered.
  double Share() const;
  /// The same, relative to the best possible.
  double ShareOfBestPossible() const;
};

/// Runs a deployment's sessions without faults and counts who answers reads.
replica_share MeasureReplicaShare(model::world_settings settings,
                                  const replica_case& replicas,
                                  std::uint64_t seed);

}  // namespace plantaintiller::experiments
