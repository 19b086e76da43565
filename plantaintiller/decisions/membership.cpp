#include "plantaintiller/decisions/membership.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::decisions {

membership::membership(core::instance_id self,
                       core::zone_id zone,
                       const membership_settings& settings)
    : self_(self), zone_(zone), settings_(settings) {}

void membership::OnInstanceList(const std::vector<core::instance_entry>& list,
                                core::time_point now) {
  for (auto& [id, known] : peers_) {
    known.listed = false;
  }
  for (const core::instance_entry& entry : list) {
    if (entry.id == self_) {
      continue;
    }
    const bool known_before = peers_.contains(entry.id);
    peer& listed = peers_[entry.id];
    listed.zone = entry.zone;
    listed.listed = true;
    if (!known_before) {
      listed.first_listed = now;
      listed.live = true;
    }
    if (entry.state == core::instance_state::kLeaving) {
      listed.leaving = true;
    }
  }
}

void membership::OnHeartbeat(core::instance_id from,
                             core::zone_id zone,
                             bool leaving,
                             core::time_point now) {
  if (from == self_) {
    return;
  }
  peer& sender = peers_[from];
  sender.zone = zone;
  sender.has_heartbeat = true;
  sender.last_heartbeat = now;
  sender.live = true;
  sender.leaving = leaving;
}

bool membership::OnTick(core::time_point now) {
  std::vector<placement_candidate>& candidates = next_candidates_;
  candidates.clear();
  if (!leaving_) {
    candidates.push_back({self_, zone_});
  }
  for (auto& [id, known] : peers_) {
    known.live =
        known.has_heartbeat
            ? now - known.last_heartbeat < settings_.heartbeat_timeout
            : known.listed && now - known.first_listed < settings_.list_grace;
    if (known.live && !known.leaving) {
      candidates.push_back({id, known.zone});
    }
  }
  const auto same = [](const placement_candidate& a,
                       const placement_candidate& b) {
    return a.id == b.id && a.zone == b.zone;
  };
  const bool changed = candidates.size() != candidates_.size() ||
                       !std::equal(candidates.begin(), candidates.end(),
                                   candidates_.begin(), same);
  candidates_.swap(candidates);
  return changed;
}

std::vector<core::instance_id> membership::Peers() const {
  std::vector<core::instance_id> peers;
  for (const auto& [id, known] : peers_) {
    if (known.listed || known.live) {
      peers.push_back(id);
    }
  }
  return peers;
}

bool membership::HasBeenHeard(core::instance_id peer) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() && found->second.has_heartbeat;
}

bool membership::IsReachable(core::instance_id peer) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() && found->second.live;
}

}  // namespace plantaintiller::decisions
