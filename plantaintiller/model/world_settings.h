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

/// Workload that each session generates.
struct load_settings {
  int sessions = 8;
  /// Mean pause between a session's requests.
  core::milliseconds think_time{60};
  double write_share = 0.25;
  double transaction_share = 0.05;
  /// Probability that a session sends its next request to another instance.
  double switch_instance_probability = 0.3;
  /// Values of the maximum staleness; one is drawn uniformly for each read.
  std::vector<core::milliseconds> staleness{
      core::milliseconds(0), core::milliseconds(0), core::milliseconds(200),
      core::milliseconds(1000), core::milliseconds(5000)};
  /// Time that a request may take.
  core::milliseconds deadline{2000};
};

/// Parameters of a simulated deployment, its workload and its faults.
struct world_settings {
  std::vector<zone_settings> zones;
  int databases = 2;
  int slots = 2;
  int connections = 16;
  latency_settings latencies;
  /// Probability that a message takes up to 800 ms longer.
  double delay_probability = 0.0;
  /// Time to open a connection to a backend server.
  core::duration connect_time = std::chrono::milliseconds(12);
  /// Delay before a replica applies log entries that it has received.
  core::duration replication_lag = std::chrono::milliseconds(2);
  load_settings load;
  /// Whether faults are injected, and for how long.
  bool inject_faults = true;
  core::milliseconds fault_injection_time{9000};
  /// Time without faults at the end of the run.
  core::milliseconds fault_free_time{9000};
  decisions::instance_decider_settings decider;
};

/// Deployments of the two users, with the sizes and latencies that they state.
world_settings SwanlodgeSettings();
world_settings AgencySettings();
/// A deployment in two regions, small enough for runs of many seeds.
world_settings SmallSettings();

}  // namespace plantaintiller::model
