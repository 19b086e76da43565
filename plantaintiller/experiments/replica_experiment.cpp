#include "plantaintiller/experiments/replica_experiment.h"

#include "plantaintiller/model/world.h"

namespace plantaintiller::experiments {

namespace {
constexpr core::milliseconds kWarmUp{4000};
constexpr core::milliseconds kMeasurementTime{15000};
}  // namespace

double replica_share::Share() const {
  return reads == 0
             ? 0.0
             : static_cast<double>(by_replicas) / static_cast<double>(reads);
}

double replica_share::ShareOfBestPossible() const {
  return best_possible_by_replicas == 0
             ? 1.0
             : static_cast<double>(by_replicas) /
                   static_cast<double>(best_possible_by_replicas);
}

replica_share MeasureReplicaShare(model::world_settings settings,
                                  const replica_case& replicas,
                                  std::uint64_t seed) {
  settings.load.think_time = replicas.think_time;
  settings.load.sessions = replicas.sessions;
  model::world run(settings, seed);
  run.StartProcesses();
  const auto last = static_cast<core::slot_number>(settings.slots - 1);
  for (int number = 1; number <= settings.databases; ++number) {
    const core::database_id database{static_cast<std::uint32_t>(number)};
    run.Server({database, last}).replication_lag =
        settings.replication_lag + replicas.last_slot_lag;
  }
  run.RunFor(kWarmUp);
  run.StartSessions(run.Queue().Now() + kMeasurementTime);
  run.RunFor(kMeasurementTime + core::milliseconds(3000));
  replica_share share;
  share.reads = run.Checker().reads;
  share.by_replicas = run.Checker().replica_reads;
  share.best_possible_by_replicas = run.Checker().best_possible_replica_reads;
  share.broken_promises = run.Checker().Violations().size();
  return share;
}

}  // namespace plantaintiller::experiments
