#include "plantaintiller/gateway/peer_protocol.h"

#include <algorithm>

namespace plantaintiller::gateway {

namespace {

/// Interval between heartbeats. Changes are announced at once, so that
/// heartbeats only serve instances that missed an announcement; it is well
/// within the time in which a configuration has to be in force.
constexpr core::milliseconds kHeartbeatInterval{1500};
/// In a large deployment intervals vary by this, so that instances that started
/// together do not stay in step.
constexpr core::milliseconds kHeartbeatJitter{150};
/// Delay of an announcement, so that changes made together are sent in one
/// datagram.
constexpr core::milliseconds kCoalesceDelay{3};
/// Full servers named in one heartbeat. With all of 24 or more, a heartbeat did
/// not fit into a datagram and was lost whole.
constexpr std::size_t kMaxFullServers = 8;
/// Minimum interval between requests for connections.
constexpr core::milliseconds kConnectionRequestInterval{120};
/// Announcements of a large deployment: time by which each target adds to the
/// interval, least interval, and announcements that may be sent without it. A
/// leader change takes two in short succession.
constexpr core::milliseconds kIntervalPerTarget{3};
constexpr core::milliseconds kMinAnnounceInterval{50};
constexpr int kAnnounceBurst = 3;
/// Replies to instances that know few others: the interval, and the number that
/// may be sent without it. All instances that start together ask their seeds.
constexpr core::milliseconds kReplyInterval{5};
constexpr int kReplyBurst = 40;
/// Number of seeds that one heartbeat goes to in a large deployment.
constexpr std::size_t kSeedsPerHeartbeat = 3;
/// Requests for state in a large deployment: minimum interval, and the delay
/// within which they are spread over time and over the relays that announce the
/// new state. Lists may be a second old, and configurations must be in force
/// within five; there are up to three requests on the way from a store reader.
constexpr core::milliseconds kPullInterval{200};
constexpr core::milliseconds kPullJitter{60};
/// Pause before another instance is asked after a failed request.
constexpr core::milliseconds kPullRetryPause{100};
constexpr std::size_t kMaxPullHosts = 4;

std::vector<std::string> OtherSeeds(const gateway_settings& settings) {
  std::vector<std::string> seeds = settings.seeds;
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  std::erase(seeds, settings.peers.host);
  return seeds;
}

membership_settings MembershipSettings(const gateway_settings& settings) {
  return {
      settings.instance,
      {settings.zone, settings.peers.host, CapacityUnits(settings.capacity)},
      settings.small_deployment,
      OtherSeeds(settings).size()};
}

/// Takes one from a budget that is refilled at an interval.
/// @param full_at when the budget is full again; advanced.
/// @return when the budget has one; not before `now`.
core::time_point TakeFrom(core::time_point& full_at,
                          core::duration interval,
                          int burst,
                          core::time_point now) {
  full_at = std::max(full_at, now) + interval;
  return std::max(now, full_at - interval * burst);
}

}  // namespace

peer_protocol::peer_protocol(const gateway_settings& settings,
                             peer_listener& listener,
                             peer_transport& transport,
                             std::uint64_t seed)
    : settings_(settings),
      listener_(listener),
      transport_(transport),
      random_(seed),
      seeds_(OtherSeeds(settings)),
      members_(MembershipSettings(settings), seed) {}

core::duration peer_protocol::Jitter(core::duration most) {
  return core::duration(static_cast<core::duration::rep>(
      random_() % static_cast<std::uint64_t>(most.count())));
}

void peer_protocol::Start(core::time_point now) {
  SendToSeeds(Encode(members_.MembersToReport(settings_.zone, now), now),
              heartbeat_kind::kAnnouncement);
  next_heartbeat_ = now + kHeartbeatInterval;
  Wake();
}

void peer_protocol::AddListed(
    const std::vector<std::pair<std::string, instance_info>>& instances,
    core::time_point now) {
  const std::vector<std::string> added = members_.OnListed(instances, now);
  if (added.empty()) {
    return;
  }
  if (members_.IsLarge(now)) {
    // The relays pass this instance's name on.
    Announce(change_source::kOwn, now);
    return;
  }
  const std::string bytes =
      Encode(members_.MembersToReport(settings_.zone, now), now);
  for (const std::string& host : added) {
    Send(host, bytes, heartbeat_kind::kAnnouncement);
  }
}

void peer_protocol::Announce(change_source source, core::time_point now) {
  if (announce_at_ != core::time_point::max() ||
      (source == change_source::kPeer && !members_.IsRelay(now))) {
    return;
  }
  announce_at_ = now + kCoalesceDelay;
  if (members_.IsLarge(now)) {
    const core::duration interval = std::max<core::duration>(
        kMinAnnounceInterval,
        kIntervalPerTarget *
            static_cast<std::int64_t>(members_.Targets(now).size()));
    announce_at_ = std::max(
        announce_at_,
        TakeFrom(announce_budget_full_at_, interval, kAnnounceBurst, now));
  }
  Wake();
}

void peer_protocol::RequestConnection(const std::string& group,
                                      const std::string& server,
                                      core::time_point now) {
  full_servers_.insert({group, server});
  // Refusals come in bursts, but connections become free only as fast as
  // statements end.
  if (now - last_connection_request_ >= kConnectionRequestInterval) {
    last_connection_request_ = now;
    Announce(change_source::kOwn, now);
  }
}

void peer_protocol::SendRegular(core::time_point now) {
  const std::string bytes =
      Encode(members_.MembersToReport(settings_.zone, now), now);
  for (const std::string& host : members_.Targets(now)) {
    Send(host, bytes, heartbeat_kind::kRegular);
  }
  const std::string probed = members_.ProbedHost(now);
  if (!probed.empty()) {
    Send(probed, bytes, heartbeat_kind::kRegular);
  }
  if (members_.KnownLive(now) == 0) {
    SendToSeeds(bytes, heartbeat_kind::kRegular);
  }
  full_servers_.clear();
}

void peer_protocol::SendAnnouncement(core::time_point now) {
  const bool large = members_.IsLarge(now);
  std::vector<reported_member> members;
  if (!large) {
    members = members_.MembersToReport(settings_.zone, now);
  } else if (members_.IsRelay(now)) {
    members = members_.TakeNewMembers(now);
  }
  const std::string bytes = Encode(std::move(members), now);
  for (const std::string& host : members_.Targets(now)) {
    Send(host, bytes, heartbeat_kind::kAnnouncement);
  }
  if (members_.KnownLive(now) == 0) {
    SendToSeeds(bytes, heartbeat_kind::kAnnouncement);
  }
  full_servers_.clear();
  if (large && members_.HasNewMembers()) {
    Announce(change_source::kPeer, now);
  }
}

void peer_protocol::SendToSeeds(const std::string& bytes, heartbeat_kind kind) {
  std::vector<std::string> seeds = seeds_;
  if (seeds.size() >= settings_.small_deployment) {
    std::shuffle(seeds.begin(), seeds.end(), random_);
    seeds.resize(std::min(seeds.size(), kSeedsPerHeartbeat));
  }
  for (const std::string& host : seeds) {
    Send(host, bytes, kind);
  }
}

void peer_protocol::Send(const std::string& host,
                         const std::string& bytes,
                         heartbeat_kind kind) {
  if (host != settings_.peers.host) {
    transport_.SendDatagram(host, bytes, kind);
  }
}

std::string peer_protocol::Encode(std::vector<reported_member> members,
                                  core::time_point now) {
  heartbeat message;
  message.instance = settings_.instance;
  message.info = {settings_.zone, settings_.peers.host,
                  CapacityUnits(settings_.capacity)};
  message.view = listener_.View();
  for (const auto& server : full_servers_) {
    if (message.full_servers.size() == kMaxFullServers) {
      break;
    }
    message.full_servers.push_back(server);
  }
  message.members = std::move(members);
  message.member_count = static_cast<std::uint32_t>(members_.KnownLive(now));
  return heartbeat_codec::Encode(message);
}

void peer_protocol::OnHeartbeat(const heartbeat& message,
                                core::time_point now) {
  if (message.instance.empty() || message.instance == settings_.instance) {
    return;
  }
  const bool is_new = members_.OnHeartbeat(message.instance, message.info,
                                           message.member_count, now);
  std::vector<std::string> added;
  if (is_new) {
    added.push_back(message.info.host);
  }
  for (const reported_member& each : message.members) {
    if (members_.OnReported(each.instance, each.info, now - each.age, now)) {
      added.push_back(each.info.host);
    }
  }
  if (members_.IsLarge(now)) {
    if (message.member_count < settings_.small_deployment) {
      Reply(message, now);
    }
    if (members_.HasNewMembers()) {
      Announce(change_source::kPeer, now);
    }
  } else if (!added.empty()) {
    const std::string bytes =
        Encode(members_.MembersToReport(settings_.zone, now), now);
    for (const std::string& host : added) {
      Send(host, bytes, heartbeat_kind::kAnnouncement);
    }
  }
  for (const leader_view& each : message.view.leaders) {
    listener_.OnPeerLeader(message.instance, each);
  }
  for (const auto& [group, server] : message.full_servers) {
    listener_.OnConnectionRequest(group, server);
  }
  const instance_view own = listener_.View();
  if (IsBehind(own, message.view)) {
    if (message.view.configuration_version > wanted_.configuration_version) {
      wanted_.configuration_version = message.view.configuration_version;
    }
    if (message.view.list_version > wanted_.list_version) {
      wanted_.list_version = message.view.list_version;
      wanted_.list_hash = message.view.list_hash;
    }
    SchedulePull(message.info.host,
                 members_.IsLarge(now) ? Jitter(kPullJitter) : core::duration{},
                 now);
  }
  if (message.view.list_hash == own.list_hash &&
      message.view.configuration_version == own.configuration_version) {
    listener_.OnStoreAge(message.view.store_age, message.view.list_version);
  }
}

void peer_protocol::Reply(const heartbeat& message, core::time_point now) {
  core::time_point budget_full_at = reply_budget_full_at_;
  if (TakeFrom(budget_full_at, kReplyInterval, kReplyBurst, now) > now) {
    return;
  }
  reply_budget_full_at_ = budget_full_at;
  Send(message.info.host,
       Encode(members_.MembersToReport(message.info.zone, now), now),
       heartbeat_kind::kReply);
}

bool peer_protocol::IsBehind(const instance_view& own,
                             const instance_view& other) const {
  return other.configuration_version > own.configuration_version ||
         (listener_.NeedsServerList() && other.list_hash != own.list_hash &&
          other.list_version > own.list_version);
}

void peer_protocol::PullState(const std::string& host, core::time_point now) {
  pull_required_ = true;
  SchedulePull(host, core::duration{}, now);
}

void peer_protocol::SchedulePull(const std::string& host,
                                 core::duration delay,
                                 core::time_point now) {
  if (std::find(pull_hosts_.begin(), pull_hosts_.end(), host) ==
      pull_hosts_.end()) {
    if (pull_hosts_.size() >= kMaxPullHosts) {
      pull_hosts_.erase(pull_hosts_.begin());
    }
    pull_hosts_.push_back(host);
  }
  core::time_point at = now + delay;
  if (members_.IsLarge(now)) {
    at = std::max(at, last_pull_ + kPullInterval);
  }
  pull_at_ = std::min(pull_at_, at);
  if (!pulling_ && pull_at_ <= now) {
    StartPull(now);
  }
  Wake();
}

void peer_protocol::StartPull(core::time_point now) {
  pull_at_ = core::time_point::max();
  // An earlier answer may have brought what was announced since.
  if (!pull_required_ && !IsBehind(listener_.View(), wanted_)) {
    pull_hosts_.clear();
  }
  pull_required_ = false;
  if (pull_hosts_.empty()) {
    return;
  }
  const auto chosen = pull_hosts_.begin() + static_cast<std::ptrdiff_t>(
                                                random_() % pull_hosts_.size());
  const std::string host = *chosen;
  pull_hosts_.erase(chosen);
  pulling_ = true;
  last_pull_ = now;
  transport_.PullFrom(host);
}

void peer_protocol::OnPullEnded(bool answered, core::time_point now) {
  pulling_ = false;
  if (!answered && !pull_hosts_.empty()) {
    pull_at_ = now + kPullRetryPause;
  }
  Wake();
}

void peer_protocol::OnTimer(core::time_point now) {
  woken_at_ = core::time_point::max();
  if (announce_at_ <= now) {
    announce_at_ = core::time_point::max();
    SendAnnouncement(now);
  }
  if (!pulling_ && pull_at_ <= now) {
    StartPull(now);
  }
  if (next_heartbeat_ <= now) {
    SendRegular(now);
    next_heartbeat_ = now + kHeartbeatInterval;
    if (members_.IsLarge(now)) {
      next_heartbeat_ += Jitter(2 * kHeartbeatJitter) - kHeartbeatJitter;
    }
  }
  Wake();
}

void peer_protocol::Wake() {
  core::time_point at = std::min(next_heartbeat_, announce_at_);
  if (!pulling_) {
    at = std::min(at, pull_at_);
  }
  if (at != woken_at_) {
    woken_at_ = at;
    transport_.WakeAt(at);
  }
}

}  // namespace plantaintiller::gateway
