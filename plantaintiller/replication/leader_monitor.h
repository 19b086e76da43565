#pragma once

#include <optional>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::replication {

/// Thresholds at which a leader counts as failed.
struct leader_monitor_settings {
  /// Time without an answer to any request. A lost packet is retransmitted
  /// after 200 ms, so two retransmissions fit into it.
  core::milliseconds unresponsive_limit{450};
  /// Minimum number of failures within that time, so that one lost connection
  /// is not enough.
  int min_failures = 2;
  /// Consecutive writes without an answer while other requests are answered.
  int max_unanswered_writes = 2;
  /// Time without any leader. It leaves room for one read of the server list,
  /// which shows a change of leader made by another instance.
  core::milliseconds leaderless_limit{1300};
};

/// Decides whether the leader of a group must be replaced.
class leader_monitor {
 public:
  /// @param settings must outlive the monitor.
  explicit leader_monitor(const leader_monitor_settings& settings)
      : settings_(settings) {}

  /// @return why the leader must be replaced; nothing if it need not be.
  std::optional<change_reason> ChangeNeeded(const group_state& group,
                                            core::time_point now) const;
  /// @return whether the last requests to the leader failed, so that it should
  /// be asked for its status.
  static bool IsSuspected(const group_state& group);

 private:
  const leader_monitor_settings& settings_;
};

}  // namespace plantaintiller::replication
