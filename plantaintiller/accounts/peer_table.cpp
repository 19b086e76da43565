#include "plantaintiller/accounts/peer_table.h"

#include <algorithm>

namespace plantaintiller::accounts {

namespace {

constexpr std::size_t kMaxPeers = 4096;

}  // namespace

peer_table::sender peer_table::OnReport(const usage_report& report,
                                        core::time_point now) {
  const bool added = !peers_.contains(report.instance);
  if (added && peers_.size() >= kMaxPeers) {
    return sender::kOutdated;
  }
  peer& known = peers_[report.instance];
  const bool started = added || known.incarnation != report.incarnation;
  if (started) {
    // Incarnations rise, so that a late report of an earlier process is not
    // taken for a restart; after a silence the sender's clock was set back.
    const auto rise =
        static_cast<std::int32_t>(report.incarnation - known.incarnation);
    if (!added && rise < 0 && now - known.heard_at < settings_.static_after) {
      return sender::kOutdated;
    }
    known.incarnation = report.incarnation;
  } else if (report.sequence <= known.sequence) {
    return sender::kOutdated;
  }
  if (report.leaving) {
    peers_.erase(report.instance);
    return sender::kLeft;
  }
  known.zone = report.zone;
  known.sequence = report.sequence;
  known.heard_at = now;
  known.silent_in_zone = false;
  return started ? sender::kStarted : sender::kSame;
}

void peer_table::OnZone(const zone_liveness& zone, core::time_point now) {
  const core::time_point at = now - core::milliseconds(zone.age_ms);
  for (auto& [instance, each] : peers_) {
    if (each.zone != zone.zone || at <= each.heard_at) {
      continue;
    }
    if (std::find(zone.silent.begin(), zone.silent.end(), instance) !=
        zone.silent.end()) {
      each.silent_in_zone = true;
    } else if (at - each.heard_at < settings_.forget_after / 2) {
      // After a longer silence the relay may only have forgotten the instance;
      // then it counts as heard from its next report on.
      each.silent_in_zone = false;
      each.heard_at = at;
    }
  }
}

void peer_table::SetUrgent(core::time_point now) {
  if (now >= urgent_until_) {
    urgent_since_ = now;
  }
  urgent_until_ = now + settings_.calm_interval;
}

peer_phase peer_table::PhaseOf(const peer& each, core::time_point now) const {
  if (now - each.heard_at >= settings_.static_after) {
    return peer_phase::kStatic;
  }
  // The others need some time to learn that reports are now urgent.
  const bool is_late =
      IsUrgent(now) && now - std::max(each.heard_at, urgent_since_) >=
                           settings_.silent_after_urgent;
  if (each.silent_in_zone || is_late ||
      now - each.heard_at >= settings_.silent_after) {
    return peer_phase::kSilent;
  }
  return IsUrgent(now) && each.heard_at < urgent_since_
             ? peer_phase::kUnconfirmed
             : peer_phase::kHeard;
}

std::vector<std::uint64_t> peer_table::Evaluate(core::time_point now) {
  std::vector<std::uint64_t> forgotten;
  states_.clear();
  for (auto each = peers_.begin(); each != peers_.end();) {
    if (now - each->second.heard_at >= settings_.forget_after) {
      forgotten.push_back(each->first);
      each = peers_.erase(each);
      continue;
    }
    states_.push_back(
        {each->first, PhaseOf(each->second, now), each->second.heard_at});
    ++each;
  }
  return forgotten;
}

std::size_t peer_table::Silent() const {
  return static_cast<std::size_t>(std::count_if(
      states_.begin(), states_.end(),
      [](const auto& each) { return each.phase >= peer_phase::kSilent; }));
}

std::vector<std::uint64_t> peer_table::SilentInZone(
    std::uint32_t zone,
    core::time_point now) const {
  std::vector<std::uint64_t> silent;
  for (const auto& [instance, each] : peers_) {
    if (each.zone == zone && PhaseOf(each, now) >= peer_phase::kSilent) {
      silent.push_back(instance);
    }
  }
  return silent;
}

}  // namespace plantaintiller::accounts
