#include "plantaintiller/replication/leader_watch.h"

namespace plantaintiller::replication {

std::optional<change_reason> leader_watch::ChangeNeeded(
    const group_state& group,
    core::time_point now) const {
  if (group.Servers().empty()) {
    return std::nullopt;
  }
  if (const auto since = group.LeaderlessSince()) {
    const bool gone = !group.LastLeader().empty() &&
                      !group.Servers().contains(group.LastLeader());
    if (gone) {
      return change_reason::kGone;
    }
    return now - *since >= settings_.leaderless
               ? std::optional(change_reason::kNone)
               : std::nullopt;
  }
  const group_state::server& leader = group.Servers().at(group.Leader());
  if (leader.entry.draining) {
    return change_reason::kLeaving;
  }
  if (leader.lapsed_since.has_value()) {
    return change_reason::kGone;
  }
  if (leader.failures >= settings_.failures &&
      now - leader.failing_since >= settings_.silence) {
    return change_reason::kSilent;
  }
  if (leader.unanswered_writes >= settings_.unanswered_writes) {
    return change_reason::kStuck;
  }
  return std::nullopt;
}

bool leader_watch::IsSuspected(const group_state& group) {
  const auto found = group.Servers().find(group.Leader());
  return found != group.Servers().end() && found->second.failures > 0;
}

}  // namespace plantaintiller::replication
