// Configuration, servers and connection shares of an instance.

#include <xxhash.h>

#include <algorithm>

#include "plantaintiller/forwarding/owner_selection.h"
#include "plantaintiller/gateway/gateway_implementation.h"

namespace plantaintiller::gateway {

namespace {

/// Minimum interval between computations of the shares of connections because
/// members were found or lost, which come in numbers.
constexpr core::milliseconds kLimitsInterval{500};
/// Instances that record the members of a group, so that one of them reaches
/// the store when the other does not.
constexpr std::size_t kMemberRecorders = 2;

}  // namespace

group_entry& gateway::implementation::EnsureGroup(const std::string& name) {
  std::unique_ptr<group_entry>& entry = groups_[name];
  if (entry == nullptr) {
    entry = std::make_unique<group_entry>(
        context_, dependencies_.servers, name, DrainingGracePeriod(), *this,
        settings_.session.deadline_admission ? &admission_services_ : nullptr);
    if (settings_.weighted_balancing) {
      // Instances must not draw the same choices.
      const std::string seed = settings_.instance + name;
      entry->state.EnableBalancing(XXH3_64bits(seed.data(), seed.size()),
                                   &balancing_reports_);
    }
    entry->state.OnStoreHeard(store_read_at_);
    leader_controller_.Add(entry->state, entry->pool);
    leadership_checks_.Add(entry->state, entry->pool);
  }
  return *entry;
}

std::map<std::string, replication::distance>
gateway::implementation::Distances() const {
  std::map<std::string, replication::distance> distances;
  const auto own = settings_.regions.find(settings_.zone);
  for (const auto& [zone, region] : settings_.regions) {
    distances[zone] = zone == settings_.zone ? replication::distance::kSameZone
                      : own != settings_.regions.end() && own->second == region
                          ? replication::distance::kSameRegion
                          : replication::distance::kOtherRegion;
  }
  return distances;
}

void gateway::implementation::OnRoutes(const std::string& text,
                                       core::route_table routes) {
  // What all instances read at their start is news only to those that could not
  // read it, which see it in regular heartbeats.
  const bool is_first = routes_.version == 0;
  AdoptRoutes(text, std::move(routes),
              is_first ? change_source::kPeer : change_source::kOwn);
}

void gateway::implementation::AdoptRoutes(const std::string& text,
                                          core::route_table routes,
                                          change_source source) {
  if (routes.version <= routes_.version) {
    return;
  }
  log_line(log_, "configuration", "adopt")
      .With("version", static_cast<std::int64_t>(routes.version))
      .With("before", static_cast<std::int64_t>(routes_.version))
      .With("routes", static_cast<std::int64_t>(routes.routes.size()))
      .With("bytes", static_cast<std::int64_t>(text.size()));
  routes_ = std::move(routes);
  routes_text_ = dependencies_.directory.WithoutKeys(text);
  access_log_.OnConfiguration(routes_);
  exchange_.Announce(source);
  limits_.OnConfiguration(routes_);
  remote_sessions_.OnConfiguration();
  UpdateConnectionLimits();
  ListenForCallers();
}

void gateway::implementation::OnServers(
    std::vector<replication::server_entry> servers,
    store::row_version version) {
  for (const auto& [name, group] : groups_) {
    group->state.OnListRead(watch_.ListAskedAt(), watch_.SuspendedWhenAsked());
  }
  OnStoreRead(watch_.ListAskedAt());
  if (version < list_version_) {
    // A peer's list has overtaken the answer.
    return;
  }
  AdoptServerList(
      std::move(servers), version,
      list_version_ == 0 ? change_source::kPeer : change_source::kOwn);
}

void gateway::implementation::AdoptServerList(
    std::vector<replication::server_entry> servers,
    store::row_version version,
    change_source source) {
  // An unchanged list is not announced, because it changes nothing for the
  // instances that adopt it from this one.
  if (server_list_.Replace(std::move(servers))) {
    exchange_.Announce(source);
  }
  RaiseListVersion(version);
  ApplyServers(version);
}

void gateway::implementation::OnStoreAge(core::milliseconds age,
                                         std::uint64_t list_version) {
  OnStoreRead(core::clock::now() - age);
  RaiseListVersion(list_version);
  // A list of servers that does not change would leave the shares as they are.
  const core::time_point now = core::clock::now();
  if (now - limits_updated_at_ >= kLimitsInterval &&
      exchange_.MembersGeneration() != limits_generation_) {
    UpdateConnectionLimits();
  }
}

void gateway::implementation::OnStoreRead(core::time_point read_at) {
  store_read_at_ = std::max(store_read_at_, read_at);
  for (const auto& [name, group] : groups_) {
    group->state.OnStoreHeard(store_read_at_);
  }
}

void gateway::implementation::RaiseListVersion(store::row_version version) {
  if (list_version_ > 0 &&
      store::EraOf(version) > store::EraOf(list_version_)) {
    registry_.RegisterAgain();
  }
  list_version_ = std::max(list_version_, version);
}

void gateway::implementation::UpdateConnectionLimits() {
  limits_updated_at_ = core::clock::now();
  limits_generation_ = exchange_.MembersGeneration();
  const std::optional<sharing_instances> sharing = SharingInstances();
  std::map<std::string, double> weights;
  for (const auto& [name, account] : routes_.accounts) {
    weights[name] = account.rate_per_s;
  }
  for (const auto& [name, group] : routes_.groups) {
    group_entry& entry = EnsureGroup(name);
    entry.state.SetConfirmingReplicas(group.confirming_replicas);
    entry.pool.SetLimits(ConnectionLimits(group, sharing));
    if (entry.admission != nullptr) {
      entry.admission->Queue().SetWeights(weights);
    }
  }
  if (routes_.requires_account) {
    for (const auto& [name, group] : groups_) {
      group->pool.CloseIdleOfRemovedAccounts(routes_.accounts);
    }
  }
}

std::size_t gateway::implementation::AdmittingInstances() const {
  // In a large deployment each zone has one session owner for each group. The
  // number is not known before the instances have been read; then the one of a
  // large deployment is assumed.
  const std::size_t owners = std::max<std::size_t>(1, routes_.groups.size()) *
                             std::max<std::size_t>(1, settings_.regions.size());
  return registry_.IsRead() ? std::min(exchange_.LivePeers() + 1, owners)
                            : owners;
}

std::optional<gateway::implementation::sharing_instances>
gateway::implementation::SharingInstances() const {
  if (!registry_.IsRead()) {
    return std::nullopt;
  }
  sharing_instances result;
  result.has_owners = !exchange_.ZoneMembers().empty();
  result.count = result.has_owners
                     ? std::max<std::size_t>(1, settings_.regions.size())
                     : exchange_.LivePeers() + 1;
  return result;
}

const std::string& gateway::implementation::OwnerOf(const std::string& group) {
  const std::uint64_t generation = exchange_.MembersGeneration();
  if (generation != owners_generation_) {
    owners_.clear();
    owners_generation_ = generation;
  }
  std::string& owner = owners_[group];
  if (owner.empty()) {
    owner = forwarding::owner_selection::Rank(group, exchange_.ZoneMembers())
                .front()
                .instance;
  }
  return owner;
}

connection_pool::limits gateway::implementation::ConnectionLimits(
    const core::group_settings& group,
    const std::optional<sharing_instances>& sharing) {
  if (!sharing.has_value()) {
    return connection_share::LimitsFor(group.max_connections, std::nullopt,
                                       routes_.requires_account);
  }
  if (sharing->has_owners) {
    if (OwnerOf(group.name) != settings_.instance) {
      // This instance is not the session owner of the group: it opens
      // connections only for commands to servers, and closes them when idle.
      connection_pool::limits none;
      none.max_open = group.max_connections;
      return none;
    }
  }
  return connection_share::LimitsFor(group.max_connections, sharing->count,
                                     routes_.requires_account);
}

bool gateway::implementation::RecordsMembersOf(const std::string& group) const {
  const std::vector<relay_candidate> live = exchange_.LiveInstances();
  if (!exchange_.IsStoreReader()) {
    return false;
  }
  if (live.size() >= settings_.small_deployment) {
    // Few instances read the store there.
    return true;
  }
  std::vector<forwarding::owner_candidate> candidates;
  candidates.push_back({settings_.instance, settings_.peers.host, 1.0});
  for (const relay_candidate& each : live) {
    candidates.push_back({each.name, each.host, 1.0});
  }
  const auto ranked =
      forwarding::owner_selection::Rank(group, std::move(candidates));
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(
                                        kMemberRecorders, ranked.size()));
  return std::any_of(ranked.begin(), end, [this](const auto& each) {
    return each.instance == settings_.instance;
  });
}

void gateway::implementation::ApplyServers(store::row_version version) {
  const auto distances = Distances();
  std::map<std::string, std::vector<replication::server_entry>> by_group;
  for (const replication::server_entry& each : server_list_.Servers()) {
    EnsureGroup(each.group);
    by_group[each.group].push_back(each);
  }
  const core::time_point now = core::clock::now();
  for (const auto& [name, group] : groups_) {
    const std::string before = group->state.Leader();
    group->state.OnList(by_group[name], distances, now, core::UnixTime());
    if (group->state.Leader() != before) {
      log_line(log_, "groups", "leader")
          .With("group", name)
          .With("server", group->state.Leader())
          .With("before", before)
          .With("store_version", static_cast<std::int64_t>(version));
    }
    group->pool.OnGroupChanged();
    members_.OnList(name, by_group[name], RecordsMembersOf(name),
                    store::EraOf(version), now);
    leader_controller_.Evaluate(name);
  }
  UpdateConnectionLimits();
  servers_known_ = true;
  ListenForCallers();
}

}  // namespace plantaintiller::gateway
