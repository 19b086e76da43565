#pragma once

#include <cstdint>

#include "plantaintiller/core/time.h"
#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::experiments {

/// Load of the sessions and state of the replicas during a run.
struct replica_case {
  /// Mean pause between a session's requests; longer for the load at night.
  core::milliseconds think_time{60};
  int sessions = 60;
  /// Extra delay of replication to the last slot of each database.
  core::milliseconds last_slot_lag{0};
};

/// Numbers of reads in a run, by the server that answered them.
struct replica_share {
  std::uint64_t reads = 0;
  std::uint64_t by_replicas = 0;
  /// Reads that a replica answered or, given perfect knowledge of all logs,
  /// could have answered.
  std::uint64_t best_possible_by_replicas = 0;
  std::uint64_t broken_promises = 0;

  /// Returns the share of all reads that replicas answered.
  double Share() const;
  /// Returns the reads that replicas answered, relative to the best possible
  /// number.
  double ShareOfBestPossible() const;
};

/// Runs a deployment's sessions without faults and counts the reads that
/// replicas answer.
replica_share MeasureReplicaShare(model::world_settings settings,
                                  const replica_case& replicas,
                                  std::uint64_t seed);

}  // namespace plantaintiller::experiments
