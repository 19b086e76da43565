#include "plantaintiller/replication/leader_monitor.h"

namespace plantaintiller::replication {

std::optional<change_reason> leader_monitor::ChangeNeeded(
    const group_state& group,
    core::time_point now) const {
  if (group.Servers().empty()) {
    return std::nullopt;
  }
  if (const auto since = group.LeaderlessSince()) {
    const bool removed = !group.LastLeader().empty() &&
                         !group.Servers().contains(group.LastLeader());
    if (removed) {
      return change_reason::kRemoved;
    }
    return now - *since >= settings_.leaderless_limit
               ? std::optional(change_reason::kNoLeader)
               : std::nullopt;
  }
  const group_state::server& leader = group.Servers().at(group.Leader());
  if (leader.entry.draining) {
    return change_reason::kLeaving;
  }
  if (leader.unlisted_since.has_value()) {
    return change_reason::kRemoved;
  }
  if (leader.failures >= settings_.min_failures &&
      now - leader.first_failure_sent >= settings_.unresponsive_limit) {
    return change_reason::kUnresponsive;
  }
  if (leader.unanswered_writes >= settings_.max_unanswered_writes) {
    return change_reason::kCommitsStalled;
  }
  return std::nullopt;
}

bool leader_monitor::IsSuspected(const group_state& group) {
  const auto found = group.Servers().find(group.Leader());
  return found != group.Servers().end() && found->second.failures > 0;
}

}  // namespace plantaintiller::replication
