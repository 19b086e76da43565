#pragma once

#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/instance_decider_settings.h"
#include "plantaintiller/model/network.h"

namespace plantaintiller::model {

/// An availability zone of the model.
struct zone_settings {
  std::string name;
  std::string region;
  int instances = 2;
};

/// What sessions do.
struct load_settings {
  int sessions = 8;
  /// Mean pause between a session's requests.
  core::milliseconds think_time{60};
  double write_share = 0.25;
  double transaction_share = 0.05;
  /// Chance that a session goes to another instance for its next request.
  double switch_instance_probability = 0.3;
  /// Staleness that reads allow, drawn evenly.
  std::vector<core::milliseconds> staleness{
      core::milliseconds(0), core::milliseconds(0), core::milliseconds(200),
      core::milliseconds(1000), core::milliseconds(5000)};
  core::milliseconds deadline{2000};
};

/// A deployment and a run of it.
struct world_settings {
  std::vector<zone_settings> zones;
  int databases = 2;
  int slots = 2;
  int connections = 16;
  latency_settings latencies;
  /// Chance that a message takes up to 800 ms longer.
  double delay_probability = 0.0;
  core::duration connect_time = std::chrono::milliseconds(12);
  /// Delay of replication.
  core::duration replication_lag = std::chrono::milliseconds(2);
  load_settings load;
  /// Whether the fault schedule runs, and for how long.
  bool inject_faults = true;
  core::milliseconds fault_injection_time{9000};
  /// Time without faults at the end.
  core::milliseconds fault_free_time{9000};
  decisions::instance_decider_settings decider;
};

/// Sizes of the users' deployments, with the latencies that they state.
world_settings SwanlodgeSettings();
world_settings AgencySettings();
/// A small deployment of two regions, for many seeds.
world_settings SmallSettings();

}  // namespace plantaintiller::model
