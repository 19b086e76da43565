// What an instance tells other instances and learns from them, and the leaders
// of the groups.

#include "plantaintiller/gateway/gateway_implementation.h"

namespace plantaintiller::gateway {

namespace {

/// How long a leader change is announced: two heartbeats.
constexpr core::milliseconds kLeaderAnnounceTime{4000};
/// Limit on leaders announced in one heartbeat, to fit a datagram.
constexpr std::size_t kMaxAnnouncedLeaders = 8;
/// Upper bound on the store age that is announced.
constexpr core::milliseconds kMaxStoreAge{3600000};

}  // namespace

instance_view gateway::implementation::View() const {
  instance_view view;
  view.configuration_version = routes_.version;
  view.list_version = list_version_;
  view.list_hash = server_list_.Hash();
  view.store_age = std::min(
      kMaxStoreAge, core::ToMilliseconds(core::clock::now() - store_read_at_));
  // The newest changes, because the others have been announced before.
  const core::time_point now = core::clock::now();
  std::vector<std::pair<core::time_point, const std::string*>> announced;
  for (const auto& [name, group] : groups_) {
    const auto changed_at = leader_changed_at_.find(name);
    if (leader_controller_.IsChanging(name)) {
      announced.emplace_back(now, &name);
    } else if (group->state.SeenLeader().has_value() &&
               changed_at != leader_changed_at_.end() &&
               now - changed_at->second < kLeaderAnnounceTime) {
      announced.emplace_back(changed_at->second, &name);
    }
  }
  std::sort(announced.begin(), announced.end(),
            [](const auto& left, const auto& right) {
              return left.first > right.first;
            });
  announced.resize(std::min(announced.size(), kMaxAnnouncedLeaders));
  for (const auto& [changed_at, name] : announced) {
    const replication::group_state& group = groups_.at(*name)->state;
    // A leader is announced only with a term in which it was seen to lead.
    const auto leader =
        group.SeenLeader().value_or(replication::group_state::seen_leader{});
    view.leaders.push_back({*name, leader.server, leader.term,
                            leader_controller_.IsChanging(*name)});
  }
  return view;
}

remote_state gateway::implementation::StateFor(
    const state_request& request) const {
  remote_state state;
  if (routes_.version > request.configuration_version) {
    state.configuration = routes_text_;
  }
  state.list = server_list_.UpdateFor(request, list_version_);
  return state;
}

void gateway::implementation::OnPeerLeader(const std::string& instance,
                                           const leader_view& leader) {
  const auto found = groups_.find(leader.group);
  if (found == groups_.end()) {
    return;
  }
  if (leader.changing) {
    leader_controller_.OnPeerChangingLeader(leader.group);
    return;
  }
  replication::group_state& group = found->second->state;
  const bool is_newer =
      leader.term > group.LeaderTerm() && group.Find(leader.server) != nullptr;
  if (!is_newer) {
    return;
  }
  group.OnLeaderSeen(leader.server, leader.term, core::clock::now());
  log_line(log_, "groups", "leader")
      .With("group", leader.group)
      .With("server", leader.server)
      .With("term", static_cast<std::int64_t>(leader.term))
      .With("told_by", instance);
  AnnounceLeader(leader.group, change_source::kPeer);
}

void gateway::implementation::OnConnectionRequest(const std::string& group,
                                                  const std::string& server) {
  connection_pool* pool = Pool(group);
  if (pool != nullptr && pool->CloseOldestIdle(server)) {
    metrics_.Count("connections_given_up");
    log_line(log_, "pool", "gave_way")
        .With("group", group)
        .With("server", server);
  }
}

void gateway::implementation::OnRemoteState(const remote_state& state) {
  if (!state.configuration.empty()) {
    if (auto routes =
            dependencies_.directory.DecodeRoutes(state.configuration)) {
      AdoptRoutes(state.configuration, std::move(*routes),
                  change_source::kPeer);
    }
  }
  if (state.list.version <= list_version_ || !NeedsServerList()) {
    return;
  }
  auto servers = server_list_history::Apply(server_list_.Servers(), state.list);
  needs_whole_list_ = !servers.has_value();
  if (!servers.has_value() || servers->empty()) {
    return;
  }
  log_line(log_, "store", "list_from_peer")
      .With("store_version", static_cast<std::int64_t>(state.list.version))
      .With("whole", state.list.base_hash == 0 ? 1 : 0)
      .With("servers", static_cast<std::int64_t>(state.list.servers.size()));
  watch_.AdoptServers(*servers);
  AdoptServerList(std::move(*servers), state.list.version,
                  change_source::kPeer);
}

void gateway::implementation::OnPromotionCall(store::promotion_status status) {
  metrics_.Count(std::string("promotions_") +
                 store::PromotionStatusName(status));
}

void gateway::implementation::OnLeaderChange(const std::string& group) {
  AnnounceLeader(group, change_source::kOwn);
}

void gateway::implementation::AnnounceLeader(const std::string& group,
                                             change_source source) {
  leader_changed_at_[group] = core::clock::now();
  if (connection_pool* pool = Pool(group)) {
    pool->OnGroupChanged();
  }
  exchange_.Announce(source);
}

void gateway::implementation::OnLeaderFoundChanged(const std::string& group) {
  replication::group_state* state = Group(group);
  log_line(log_, "groups", "leader")
      .With("group", group)
      .With("server", state->Leader())
      .With("term", static_cast<std::int64_t>(state->LeaderTerm()))
      .With("found_by", "check");
  if (state->Leader().empty()) {
    watch_.ReadServersSoon();
    return;
  }
  OnLeaderChange(group);
}

void gateway::implementation::OnNotLeader(const std::string& group,
                                          const std::string& server) {
  metrics_.Count("not_leader");
  log_line(log_, "groups", "not_leader")
      .With("group", group)
      .With("server", server);
  watch_.ReadServersSoon();
}

void gateway::implementation::OnServerUnresponsive(const std::string& group,
                                                   const std::string& server) {
  metrics_.Count("server_trouble");
  log_line(log_, "groups", "trouble")
      .With("group", group)
      .With("server", server);
  leader_controller_.Evaluate(group);
}

void gateway::implementation::OnServerFull(const std::string& group,
                                           const std::string& server) {
  metrics_.Count("server_full");
  log_line(log_, "pool", "server_full")
      .With("group", group)
      .With("server", server);
  exchange_.RequestConnection(group, server);
}

void gateway::implementation::OnServerLinkFault(const std::string& group,
                                                const std::string& server,
                                                link_fault fault,
                                                int outstanding) {
  metrics_.Count(std::string("server_link_") + LinkFaultName(fault));
  log_line(log_, "pool", "link_fault")
      .With("group", group)
      .With("server", server)
      .With("fault", LinkFaultName(fault))
      .With("outstanding", outstanding);
}

void gateway::implementation::OnServerUnreachable(const std::string& group,
                                                  const std::string& server) {
  if (replication::group_state* state = Group(group)) {
    const core::time_point now = core::clock::now();
    state->OnUnresponsive(server, now, now);
    if (balancing::load_balancer* balancer = state->Balancer()) {
      balancer->OnOutcome(server, balancing::request_kind::kRead,
                          balancing::request_outcome::kLost, now, now);
    }
    leader_controller_.Evaluate(group);
  }
  log_line(log_, "pool", "open_failed")
      .With("group", group)
      .With("server", server);
}

}  // namespace plantaintiller::gateway
