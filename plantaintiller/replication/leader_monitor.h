#pragma once

#include <optional>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::replication {

/// When a leader counts as failed.
struct leader_monitor_settings {
  /// Time without an answer to anything that was sent: a lost packet is sent
  /// again after 200 ms, twice within this.
  core::milliseconds unresponsive_limit{450};
  /// Least failures within it, so that one lost connection is not enough.
  int min_failures = 2;
  /// Writes in a row without an answer while others are answered.
  int max_unanswered_writes = 2;
  /// Time without any leader: a change that another instance makes shows in
  /// the list within one read of it.
  core::milliseconds leaderless_limit{1300};
};

/// Decides whether a group needs another leader.
class leader_monitor {
 public:
  explicit leader_monitor(const leader_monitor_settings& settings)
      : settings_(settings) {}

  /// @return why the leader must be replaced; nothing if it need not be.
  std::optional<change_reason> ChangeNeeded(const group_state& group,
                                            core::time_point now) const;
  /// Whether the leader has failed lately and should be asked for its state.
  static bool IsSuspected(const group_state& group);

 private:
  const leader_monitor_settings& settings_;
};

}  // namespace plantaintiller::replication
