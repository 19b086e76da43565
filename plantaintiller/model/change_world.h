#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/leadership_check.h"
#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::model {

/// Defects of simulated instances that tests inject to verify that the checks
/// find them. They stand for former defects of code that the model replaces.
struct injected_instance_defects {
  /// Removes a server that left as planned from the recorded members at once.
  bool forget_left_members = false;
  /// Passes on every confirmed commit without a check.
  bool pass_on_unchecked = false;
};

/// Parameters of a simulation of primary changes.
struct change_world_settings {
  /// Number of entry instances.
  int instances = 3;
  /// Number of backend servers of the group; one replica confirms a commit.
  int servers = 3;
  /// Simulated time of the run.
  core::milliseconds run_time{30000};
  /// Time between commits.
  core::milliseconds commit_interval{15};
  /// Time from the acceptance of a promotion until the new leader serves.
  core::milliseconds promotion_time{300};
  /// Number of random faults during the run.
  int fault_count = 6;
  /// Whether the faults are only planned replacements of the leader.
  bool planned_changes_only = false;
  /// Whether a replaced leader goes on as leader until it is demoted, or for a
  /// second after it reaches the new one; otherwise it loses the lead at once.
  bool old_leader_goes_on = false;
  /// Whether the platform refuses promotions with outdated tokens.
  bool fencing = true;
  /// Whether the faults include a store that comes back from an older copy.
  bool store_restores = false;
  /// Whether the faults include partitions between servers and instances.
  bool partitions = false;
  /// Whether the faults include links that hold up promotions on their way to
  /// the platform.
  bool held_promotions = false;
  /// Whether the faults include planned replacements of servers, replicas that
  /// receive nothing for a while and restarts of instances. Instances then pass
  /// commits on as sessions do, record the members of the group and announce
  /// their changes; otherwise a commit is acknowledged once a replica has it.
  bool membership_changes = false;
  /// Share of the announcements of a change that do not arrive.
  int lost_announcement_percent = 10;
  /// Defect: a promotion that was held up still arrives after its time.
  bool deliver_expired_promotions = false;
  replication::injected_change_defects defects;
  replication::injected_check_defects check_defects;
  injected_instance_defects instance_defects;
};

/// Result of a run.
struct change_world_result {
  /// One line for each violation.
  std::vector<std::string> violations;
  /// Injected faults, in order.
  std::vector<std::string> faults;
  /// Faults, steps of primary changes, holds, promotions and server restarts,
  /// in order and with their times.
  std::vector<std::string> trace;
  /// Number of completed promotions.
  int promotions = 0;
  /// Number of reads at the leader that were answered.
  int reads = 0;
  /// Number of acknowledged commits.
  int acknowledged = 0;
  /// Longest time between two acknowledged commits.
  core::milliseconds longest_commit_gap{0};
  /// Numbers of calls to the store and of commands to servers, over all
  /// instances.
  int store_calls = 0;
  int commands = 0;
};

/// Simulates primary changes in virtual time: a group of servers with their own
/// replication, a store, the platform's promotions, and instances that run the
/// `replication` classes of the product. Servers crash, restart empty, lag and
/// drain; commands, claims and promotions lose their answers or are executed
/// late; instances freeze and are cut off from servers; partitions divide
/// servers and instances; servers join and leave, and instances restart.
/// @param seed of all random choices; the same seed gives the same result.
change_world_result SimulatePrimaryChanges(
    const change_world_settings& settings,
    std::uint64_t seed);

}  // namespace plantaintiller::model
