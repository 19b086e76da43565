#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::model {

/// What is played with the change of primary.
struct change_world_settings {
  /// Entry instances.
  int instances = 3;
  /// Backend servers of the group; one replica confirms a commit.
  int servers = 3;
  core::milliseconds run_time{30000};
  /// Pause between commits.
  core::milliseconds commit_interval{15};
  core::milliseconds promotion_time{300};
  /// Faults drawn over the whole run.
  int fault_count = 6;
  /// Whether only planned replacements of the leader are played.
  bool planned_changes_only = false;
  replication::injected_change_defects faults;
};

/// What came of a run.
struct change_world_result {
  /// A line for each promise that was broken.
  std::vector<std::string> violations;
  /// What was done to the world, in order.
  std::vector<std::string> faults;
  /// Faults, the steps of changes, holds, promotions and servers that return,
  /// with their times.
  std::vector<std::string> trace;
  int promotions = 0;
  int acknowledged = 0;
  /// Longest time between two acknowledged commits.
  core::milliseconds longest_commit_gap{0};
  /// Calls to the store and orders to servers, over all instances.
  int store_calls = 0;
  int orders = 0;
};

/// Plays changes of primary in virtual time: a group of servers that replicate
/// by themselves, a store, the platform's promotions, and instances that run
/// the real `replication` classes. Servers crash, restart empty, lag and leave;
/// orders, claims and promotions lose their answers or are carried out late;
/// instances freeze and are cut off.
/// @param seed decides every draw; the same seed gives the same result.
change_world_result SimulatePrimaryChanges(
    const change_world_settings& settings,
    std::uint64_t seed);

}  // namespace plantaintiller::model
