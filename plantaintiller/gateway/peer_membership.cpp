#include "plantaintiller/gateway/peer_membership.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <iterator>
#include <utility>

namespace plantaintiller::gateway {

namespace {

constexpr std::size_t kMaxMembers = 4096;
/// How long derived state is used without a change: short against the time
/// after which an instance counts as dead.
constexpr core::milliseconds kRefreshInterval{200};
/// How long another instance's count of members is relied on: four heartbeats.
constexpr core::milliseconds kCountValidity{6000};
/// Time after the start in which the number of seeds stands for the number of
/// instances. Later it would be outdated rather than early.
constexpr core::milliseconds kSeedCountValidity{3000};
/// How long the store's list is relied on without a heartbeat. Rows of lost
/// instances stay in the store, so it must not be long; within this time the
/// relays, also if they replace lost ones, have reported all members of a zone.
constexpr core::milliseconds kListedTimeout{6000};
constexpr core::milliseconds kListedTimePerMember{200};
/// Reported members of other availability zones, all of them relays.
constexpr std::size_t kReportedOtherRelays = 2;
/// Members that are new to this instance are announced up to this number; more
/// of them come only with a restart of all.
constexpr std::size_t kMaxNewMembers = 64;

bool IsAddress(const std::string& host) {
  boost::system::error_code unreadable;
  boost::asio::ip::make_address(host, unreadable);
  return !unreadable;
}

}  // namespace

peer_membership::peer_membership(membership_settings settings,
                                 std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

peer_membership::member* peer_membership::Ensure(const std::string& instance,
                                                 const instance_info& info,
                                                 bool& is_new) {
  if (instance.empty() || instance == settings_.instance) {
    return nullptr;
  }
  auto found = members_.find(instance);
  is_new = found == members_.end();
  if (is_new) {
    if (members_.size() >= kMaxMembers) {
      return nullptr;
    }
    found = members_.try_emplace(instance).first;
  }
  member& known = found->second;
  const bool changed = known.info.host != info.host ||
                       known.info.zone != info.zone ||
                       known.info.capacity_units != info.capacity_units;
  is_new = is_new || known.info.host != info.host;
  if (changed) {
    known.info = info;
    outdated_ = true;
  }
  return &known;
}

bool peer_membership::OnReported(const std::string& instance,
                                 const instance_info& info,
                                 core::time_point seen_at,
                                 core::time_point now) {
  bool is_new = false;
  member* known = Ensure(instance, info, is_new);
  if (known != nullptr) {
    const bool was_live = known->liveness.IsLive(now);
    known->liveness.OnIndirectHeartbeat(seen_at);
    outdated_ = outdated_ || !was_live;
  }
  return is_new;
}

std::vector<std::string> peer_membership::OnListed(
    const std::vector<std::pair<std::string, instance_info>>& instances,
    core::time_point now) {
  std::map<std::string, int> zone_sizes;
  for (const auto& [name, info] : instances) {
    zone_sizes[info.zone] += 1;
  }
  std::vector<std::string> added;
  for (const auto& [name, info] : instances) {
    bool is_new = false;
    member* known = Ensure(name, info, is_new);
    if (known != nullptr) {
      known->liveness.OnListed(
          now, kListedTimeout + kListedTimePerMember * zone_sizes[info.zone]);
      outdated_ = true;
      if (is_new) {
        added.push_back(info.host);
      }
    }
  }
  return added;
}

bool peer_membership::OnHeartbeat(const std::string& instance,
                                  const instance_info& info,
                                  std::size_t member_count,
                                  core::time_point now) {
  bool is_new = false;
  member* known = Ensure(instance, info, is_new);
  if (known == nullptr) {
    return false;
  }
  const bool was_live = known->liveness.IsLive(now);
  known->liveness.OnIndirectHeartbeat(now);
  known->liveness.OnHeartbeat(now);
  outdated_ = outdated_ || !was_live;
  if ((is_new || !was_live) && new_members_.size() < kMaxNewMembers) {
    new_members_.push_back(instance);
  }
  if (member_count >= announced_count_ ||
      now - announced_at_ >= kCountValidity) {
    outdated_ =
        outdated_ || (member_count >= settings_.small_deployment) !=
                         (announced_count_ >= settings_.small_deployment);
    announced_count_ = member_count;
    announced_at_ = now;
  }
  return is_new;
}

void peer_membership::Refresh(core::time_point now) {
  if (started_ == core::time_point{}) {
    started_ = now;
  }
  if (!outdated_ && now - refreshed_at_ < kRefreshInterval) {
    return;
  }
  const bool was_outdated = std::exchange(outdated_, false);
  const bool was_large = is_large_;
  refreshed_at_ = now;
  if (now - announced_at_ >= kCountValidity) {
    announced_count_ = 0;
  }
  std::vector<const entry*> live;
  live.reserve(members_.size());
  for (const entry& each : members_) {
    if (each.second.liveness.IsLive(now)) {
      live.push_back(&each);
    }
  }
  const std::size_t count = std::max(live.size(), announced_count_);
  const bool seeds_count = now - started_ < kSeedCountValidity;
  is_large_ = count >= settings_.small_deployment ||
              (seeds_count && settings_.seeds >= settings_.small_deployment);
  if (was_outdated || live != live_ || is_large_ != was_large) {
    generation_ += 1;
    live_ = std::move(live);
    RefreshZones(count >= settings_.small_deployment);
  }
  RefreshRoles();
}

void peer_membership::RefreshZones(bool has_owners) {
  live_by_zone_.clear();
  for (const entry* each : live_) {
    live_by_zone_[each->second.info.zone].push_back(each);
  }
  zone_members_.clear();
  if (!has_owners) {
    return;
  }
  for (const entry* each : live_by_zone_[settings_.info.zone]) {
    if (IsAddress(each->second.info.host)) {
      zone_members_.push_back(
          {each->first, each->second.info.host,
           static_cast<double>(each->second.info.capacity_units) / 1000.0});
    }
  }
  zone_members_.push_back(
      {settings_.instance, settings_.info.host,
       static_cast<double>(settings_.info.capacity_units) / 1000.0});
}

std::vector<relay_candidate> peer_membership::RelayCandidates(
    core::time_point now) const {
  std::vector<relay_candidate> candidates;
  candidates.reserve(live_.size());
  for (const entry* each : live_) {
    // A relay that is not there would keep its zone from the news.
    candidates.push_back(
        {each->first, each->second.info.zone, each->second.info.host,
         !is_large_ || each->second.liveness.IsConfirmed(now)});
  }
  return candidates;
}

void peer_membership::RefreshRoles() {
  const relay_candidate self{settings_.instance, settings_.info.zone,
                             settings_.info.host};
  const std::vector<relay_candidate> candidates =
      RelayCandidates(refreshed_at_);
  // The threshold for what has been found to be a large deployment.
  const std::size_t small = is_large_ ? 0 : candidates.size() + 1;
  relays_ = relay_selection::Relays(self, candidates);
  targets_ = relay_selection::Targets(self, candidates, small);
  is_store_reader_ = relay_selection::IsStoreReader(self, candidates, small);
  const std::vector<std::string>& own = relays_.at(settings_.info.zone);
  is_relay_ = !is_large_ || std::find(own.begin(), own.end(),
                                      settings_.instance) != own.end();
}

std::vector<relay_candidate> peer_membership::LiveInstances(
    core::time_point now) {
  Refresh(now);
  return RelayCandidates(now);
}

std::size_t peer_membership::LiveCount(core::time_point now) {
  Refresh(now);
  return std::max(live_.size(), announced_count_);
}

std::size_t peer_membership::KnownLive(core::time_point now) {
  Refresh(now);
  return live_.size();
}

bool peer_membership::IsLarge(core::time_point now) {
  Refresh(now);
  return is_large_;
}

bool peer_membership::IsRelay(core::time_point now) {
  Refresh(now);
  return is_relay_;
}

bool peer_membership::IsStoreReader(core::time_point now) {
  Refresh(now);
  return is_store_reader_;
}

const std::vector<std::string>& peer_membership::Targets(core::time_point now) {
  Refresh(now);
  return targets_;
}

const std::vector<forwarding::owner_candidate>& peer_membership::ZoneMembers(
    core::time_point now) {
  Refresh(now);
  return zone_members_;
}

std::uint64_t peer_membership::Generation(core::time_point now) {
  Refresh(now);
  return generation_;
}

void peer_membership::Report(const entry& each,
                             core::time_point now,
                             std::vector<reported_member>& members) const {
  const core::time_point seen = each.second.liveness.LastSeen();
  const bool is_reported = std::any_of(
      members.begin(), members.end(),
      [&each](const auto& other) { return other.instance == each.first; });
  // The store's word is not passed on: it may be about a lost instance.
  if (seen != core::time_point{} && !is_reported) {
    members.push_back(
        {each.first, each.second.info, core::ToMilliseconds(now - seen)});
  }
}

std::vector<reported_member> peer_membership::MembersToReport(
    const std::string& zone,
    core::time_point now) {
  Refresh(now);
  std::vector<reported_member> members;
  if (live_.empty()) {
    return members;
  }
  if (!is_large_) {
    const std::size_t first = random_() % live_.size();
    for (std::size_t n = 0;
         n < live_.size() && members.size() < kReportedMembers; ++n) {
      Report(*live_[(first + n) % live_.size()], now, members);
    }
    return members;
  }
  std::vector<const entry*> other_relays;
  for (const auto& [name, relays] : relays_) {
    for (const std::string& each : relays) {
      const auto found = members_.find(each);
      if (found == members_.end()) {
        continue;
      }
      if (name == zone) {
        Report(*found, now, members);
      } else {
        other_relays.push_back(&*found);
      }
    }
  }
  const std::vector<const entry*>& of_zone = live_by_zone_[zone];
  // The relays of a zone start at different members.
  std::size_t& next = next_reported_.try_emplace(zone, random_()).first->second;
  for (std::size_t n = 0;
       n < of_zone.size() &&
       members.size() < kReportedMembers - kReportedOtherRelays;
       ++n) {
    Report(*of_zone[next++ % of_zone.size()], now, members);
  }
  const std::size_t first =
      random_() % std::max<std::size_t>(1, other_relays.size());
  for (std::size_t n = 0;
       n < other_relays.size() && members.size() < kReportedMembers; ++n) {
    Report(*other_relays[(first + n) % other_relays.size()], now, members);
  }
  return members;
}

std::vector<reported_member> peer_membership::TakeNewMembers(
    core::time_point now) {
  std::vector<reported_member> members;
  while (!new_members_.empty() && members.size() < kReportedMembers) {
    const auto found = members_.find(new_members_.back());
    new_members_.pop_back();
    if (found != members_.end()) {
      Report(*found, now, members);
    }
  }
  return members;
}

std::string peer_membership::ProbedHost(core::time_point now) {
  Refresh(now);
  if (live_.size() >= members_.size()) {
    return {};
  }
  auto probed = members_.begin();
  std::advance(probed,
               static_cast<std::ptrdiff_t>(random_() % members_.size()));
  return probed->second.info.host;
}

}  // namespace plantaintiller::gateway
