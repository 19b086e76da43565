#include "plantaintiller/replication/group_state.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace plantaintiller::replication {

std::uint64_t HashOf(const std::vector<server_entry>& servers) {
  std::string text;
  for (const server_entry& each : servers) {
    text += each.id + ' ' + each.group + ' ' + each.address + ' ' + each.zone;
    text += ' ' + std::to_string(each.slots) + (each.draining ? " d" : " -");
    text += (each.reports_leader ? " l " : " - ");
    text += std::to_string(each.born_ms) + '\n';
  }
  return XXH3_64bits(text.data(), text.size());
}

namespace {

/// Cost of each statement ahead of a new one at a server, close to the mean run
/// time of a read on the users' sites.
constexpr double kStatementMs = 15.0;
/// Opening a connection occupies a slot for about this long.
constexpr double kConnectMs = 8.0;
/// Reads at the leader occupy slots that writes need, and writes can run only
/// there.
constexpr double kLeaderPenaltyMs = 12.0;
/// Orders a server behind every healthy one without excluding it.
constexpr double kAvoidPenaltyMs = 1000.0;

double CostOf(const group_state::server& each,
              bool is_leader,
              core::time_point now) {
  double cost =
      std::chrono::duration<double, std::milli>(RoundTrip(each.zone_distance))
          .count();
  cost +=
      kStatementMs * each.connections_in_use / std::max(1, each.entry.slots);
  if (!each.connected) {
    cost += kConnectMs;
  }
  if (is_leader) {
    cost += kLeaderPenaltyMs;
  }
  if (each.avoid_until > now) {
    cost += kAvoidPenaltyMs;
  }
  if (each.entry.draining || each.unlisted_since.has_value()) {
    cost += 2 * kAvoidPenaltyMs;
  }
  return cost;
}

}  // namespace

group_state::server* group_state::Find(const std::string& id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

void group_state::OnList(const std::vector<server_entry>& listed,
                         const std::map<std::string, distance>& zones,
                         core::time_point now,
                         core::milliseconds unix_now) {
  std::map<std::string, server> next;
  std::string reported;
  int leaders = 0;
  for (const server_entry& entry : listed) {
    if (entry.group != name_) {
      continue;
    }
    server updated;
    const auto known = servers_.find(entry.id);
    if (known != servers_.end()) {
      updated = known->second;
    }
    const bool is_new =
        known == servers_.end() || known->second.entry.born_ms != entry.born_ms;
    if (is_new) {
      updated.listed_since = ListedSince(entry, now, unix_now);
    }
    updated.entry = entry;
    const auto zone = zones.find(entry.zone);
    updated.zone_distance =
        zone == zones.end() ? distance::kOtherRegion : zone->second;
    updated.unlisted_since.reset();
    if (!entry.draining) {
      updated.draining_since.reset();
    } else if (!updated.draining_since.has_value()) {
      // In the first list nothing tells for how long it has been draining.
      updated.draining_since = has_list_ ? now : now - draining_grace_period_;
    }
    if (entry.reports_leader) {
      reported = entry.id;
      leaders += 1;
    }
    next.emplace(entry.id, std::move(updated));
  }
  if (!has_list_) {
    // A change that is under way was announced before this instance started.
    change_announced_at_ = now;
  }
  has_list_ = true;
  KeepUnlistedLeader(next, now);
  RecordRemoved(next, now);
  servers_ = std::move(next);
  if (!rejected_leader_.empty() && reported != rejected_leader_) {
    rejected_leader_.clear();
  }
  const bool seen_recently =
      !leader_.empty() && now - leader_seen_ < kSeenLeaderPrecedence;
  if (leaders == 1 && reported != rejected_leader_ && !seen_recently) {
    SetLeader(reported, now);
  }
  if (!leader_.empty() && !servers_.contains(leader_)) {
    SetLeader(leaders == 1 ? reported : "", now);
  }
  ListBalancedServers(now);
}

core::time_point group_state::ListedSince(const server_entry& entry,
                                          core::time_point now,
                                          core::milliseconds unix_now) const {
  const auto removed = removed_.find(entry.id);
  // A draining server that has left the list is taken for one that has ended,
  // so that a change of the leader does not wait for it.
  const bool returns = removed != removed_.end() &&
                       removed->second.entry.born_ms == entry.born_ms &&
                       !removed->second.entry.draining && !entry.draining;
  const bool is_old =
      unix_now.count() == 0 ||
      unix_now - core::milliseconds(entry.born_ms) >= kSettledAge;
  return returns || (!has_list_ && is_old) ? core::time_point{} : now;
}

bool group_state::IsListCurrent(core::time_point now,
                                core::duration suspended) const {
  return list_asked_at_ == core::time_point{} ||
         now - list_asked_at_ + suspended - list_suspended_ <=
             kMaxListAgeForChange;
}

void group_state::OnChangeAnnounced(core::time_point now) {
  if (!IsChangeRecent(now)) {
    change_began_at_ = now;
  }
  change_announced_at_ = now;
}

bool group_state::IsChangeRecent(core::time_point now) const {
  return change_began_at_ != core::time_point{} &&
         now - change_announced_at_ < kChangeContinuation;
}

bool group_state::IsSettled(const std::string& server,
                            core::time_point now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    // Its entry lapsed. It is a member for as long as it is remembered.
    const auto removed = removed_.find(server);
    return removed != removed_.end() && !removed->second.entry.draining &&
           now - removed->second.since < kRemovedMemberTrust;
  }
  const core::time_point decided = IsChangeRecent(now) ? change_began_at_ : now;
  return found->second.listed_since == core::time_point{} ||
         decided - found->second.listed_since >= kSettlingTime;
}

bool group_state::IsLeadershipInDoubt(core::time_point now) const {
  const bool is_changing = change_announced_at_ != core::time_point{} &&
                           now - change_announced_at_ < kChangeNotice;
  const bool is_isolated = store_heard_at_ != core::time_point{} &&
                           now - store_heard_at_ > kIsolationAge;
  return is_changing || is_isolated ||
         std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
           return each.first != leader_ && !IsSettled(each.first, now);
         });
}

void group_state::EnableBalancing(std::uint64_t seed,
                                  balancing::ejection_listener* listener) {
  random_.seed(seed);
  balancer_.emplace(name_, balancing::balancing_settings{}, listener);
}

void group_state::ListBalancedServers(core::time_point now) {
  if (!balancer_.has_value()) {
    return;
  }
  std::vector<balancing::listed_server> listed;
  for (const auto& [id, each] : servers_) {
    listed.push_back(
        {id, each.zone_distance, each.entry.slots, each.entry.born_ms});
  }
  balancer_->SetServers(listed, now);
}

void group_state::KeepUnlistedLeader(std::map<std::string, server>& next,
                                     core::time_point now) const {
  const auto leader = servers_.find(leader_);
  if (leader == servers_.end() || next.contains(leader_) ||
      leader->second.failures > 0) {
    return;
  }
  server kept = leader->second;
  if (!kept.unlisted_since.has_value()) {
    kept.unlisted_since = now;
  }
  if (now - *kept.unlisted_since < draining_grace_period_) {
    next.emplace(leader_, std::move(kept));
  }
}

void group_state::RecordRemoved(const std::map<std::string, server>& next,
                                core::time_point now) {
  std::erase_if(removed_, [now](const auto& each) {
    return now - each.second.since > kRemovedRetention;
  });
  for (const auto& [id, each] : servers_) {
    const auto found = next.find(id);
    const bool restarted = found != next.end() &&
                           found->second.entry.born_ms != each.entry.born_ms;
    if (found == next.end() || restarted) {
      removed_[id] = {each.entry, now};
    }
  }
}

void group_state::OnRecordedMember(const server_entry& entry,
                                   core::time_point now) {
  const auto listed = servers_.find(entry.id);
  if (listed != servers_.end() &&
      listed->second.entry.born_ms == entry.born_ms) {
    return;
  }
  const core::time_point since =
      recorded_since_.try_emplace({entry.id, entry.born_ms}, now).first->second;
  if (now - since <= kRemovedRetention) {
    removed_.try_emplace(entry.id, removed_server{entry, since});
  }
}

void group_state::SetLeader(const std::string& server, core::time_point now) {
  if (server != leader_) {
    confirmed_term_ = 0;
  }
  if (server.empty()) {
    if (!leader_.empty()) {
      leaderless_since_ = now;
    }
  } else {
    last_leader_ = server;
  }
  leader_ = server;
}

std::optional<core::time_point> group_state::LeaderlessSince() const {
  return leader_.empty() ? std::optional(leaderless_since_) : std::nullopt;
}

core::duration group_state::LeaderUnavailableFor(core::time_point now) const {
  const auto leader = servers_.find(leader_);
  if (leader == servers_.end()) {
    return now - leaderless_since_;
  }
  return leader->second.failures > 0 ? now - leader->second.first_failure_sent
                                     : core::duration(0);
}

std::optional<core::time_point> group_state::RemovedSince(
    const std::string& server) const {
  const auto found = removed_.find(server);
  return found == removed_.end() ? std::nullopt
                                 : std::optional(found->second.since);
}

std::string group_state::AddressOf(const std::string& server) const {
  const auto listed = servers_.find(server);
  if (listed != servers_.end()) {
    return listed->second.entry.address;
  }
  const auto found = removed_.find(server);
  return found == removed_.end() ? "" : found->second.entry.address;
}

void group_state::OnLeaderSeen(const std::string& server,
                               core::term_number term,
                               core::time_point now) {
  if (term < leader_term_ || !servers_.contains(server)) {
    return;
  }
  SetLeader(server, now);
  leader_term_ = term;
  confirmed_term_ = term;
  leader_seen_ = now;
  if (rejected_leader_ == server) {
    rejected_leader_.clear();
  }
}

void group_state::OnNotLeader(const std::string& server, core::time_point now) {
  if (leader_ != server) {
    return;
  }
  rejected_leader_ = server;
  std::string reported;
  for (const auto& [id, each] : servers_) {
    if (each.entry.reports_leader && id != server) {
      reported = id;
    }
  }
  SetLeader(reported, now);
}

void group_state::OnLagging(const std::string& server,
                            core::log_position position,
                            core::time_point now) {
  if (group_state::server* found = Find(server)) {
    found->missing_position = position;
    found->missing_position_at = now;
  }
}

void group_state::OnSuccess(const std::string& server) {
  if (group_state::server* found = Find(server)) {
    found->failures = 0;
  }
}

void group_state::OnUnresponsive(const std::string& server,
                                 core::time_point sent,
                                 core::time_point now) {
  group_state::server* found = Find(server);
  if (found == nullptr) {
    return;
  }
  if (found->failures == 0) {
    found->first_failure_sent = sent;
  }
  found->avoid_until =
      now + kFailureBackoff * (1 << std::min(found->failures, 3));
  found->failures += 1;
}

void group_state::OnBusy(const std::string& server, core::time_point now) {
  if (group_state::server* found = Find(server)) {
    found->avoid_until = now + kFailureBackoff;
    found->limiter.OnRefused(now);
  }
}

void group_state::OnStatementFailed(const std::string& server,
                                    core::time_point now) {
  if (group_state::server* found = Find(server)) {
    found->avoid_until = now + kFailureBackoff;
  }
}

void group_state::OnWriteOutcome(const std::string& server, bool answered) {
  if (group_state::server* found = Find(server)) {
    found->unanswered_writes = answered ? 0 : found->unanswered_writes + 1;
  }
}

bool group_state::AcceptsNewWork(const std::string& server,
                                 core::time_point now) const {
  const auto found = servers_.find(server);
  return found == servers_.end() || !found->second.draining_since.has_value() ||
         now - *found->second.draining_since < draining_grace_period_;
}

std::vector<std::pair<double, std::string>> group_state::ReadCosts(
    const std::vector<std::string>& excluded,
    core::time_point now,
    std::optional<core::log_position> needed) const {
  std::vector<std::pair<double, std::string>> costs;
  const bool any_not_draining =
      std::any_of(servers_.begin(), servers_.end(),
                  [](const auto& each) { return !each.second.entry.draining; });
  for (const auto& [id, each] : servers_) {
    const bool lags = needed.has_value() && *needed >= each.missing_position &&
                      now - each.missing_position_at < kLagPause;
    if (lags || (any_not_draining && each.entry.draining) ||
        !AcceptsNewWork(id, now)) {
      continue;
    }
    if (std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
      costs.emplace_back(CostOf(each, id == leader_, now), id);
    }
  }
  return costs;
}

std::vector<balancing::read_candidate> group_state::ReadCandidates(
    const std::vector<std::string>& excluded,
    core::time_point now,
    std::optional<core::log_position> needed) const {
  std::vector<balancing::read_candidate> candidates;
  std::vector<balancing::read_candidate> unlisted;
  for (const auto& [cost, id] : ReadCosts(excluded, now, needed)) {
    const server& each = servers_.at(id);
    (each.unlisted_since.has_value() ? unlisted : candidates)
        .push_back({id, each.connected});
  }
  return candidates.empty() ? unlisted : candidates;
}

std::vector<std::string> group_state::ChooseReadOrder(
    const std::vector<std::string>& excluded,
    core::time_point now,
    std::optional<core::log_position> needed,
    bool may_probe) {
  if (!balancer_.has_value()) {
    return ReadOrder(excluded, now, needed);
  }
  balancer_->SetLeader(leader_);
  return balancer_->Choose(ReadCandidates(excluded, now, needed), may_probe,
                           random_, now);
}

std::vector<std::string> group_state::ReadOrder(
    const std::vector<std::string>& excluded,
    core::time_point now,
    std::optional<core::log_position> needed) const {
  if (balancer_.has_value()) {
    std::vector<std::string> order =
        balancer_->WithoutEjected(ReadCandidates(excluded, now, needed));
    if (!excluded.empty()) {
      // A short pause before the others are tried again is better than a server
      // that may hang.
      std::erase_if(order, [this](const std::string& id) {
        return balancer_->IsEjected(id);
      });
    }
    return order;
  }
  std::vector<std::pair<double, std::string>> costs =
      ReadCosts(excluded, now, needed);
  std::sort(costs.begin(), costs.end());
  std::vector<std::string> order;
  order.reserve(costs.size());
  for (auto& [cost, id] : costs) {
    order.push_back(std::move(id));
  }
  return order;
}

std::vector<std::string> group_state::PossibleLeaders() const {
  std::vector<std::string> possible;
  std::vector<std::string> draining;
  for (const auto& [id, each] : servers_) {
    if (id == leader_ || each.unlisted_since.has_value()) {
      continue;
    }
    const bool is_draining_replica =
        each.entry.draining && !each.entry.reports_leader;
    (is_draining_replica ? draining : possible).push_back(id);
  }
  return possible.empty() ? draining : possible;
}

bool group_state::AreSaturated(const std::vector<std::string>& servers,
                               core::time_point now) const {
  return std::all_of(
      servers.begin(), servers.end(), [this, now](const std::string& id) {
        const auto found = servers_.find(id);
        return found != servers_.end() && !found->second.limiter.MayStart(now);
      });
}

}  // namespace plantaintiller::replication
