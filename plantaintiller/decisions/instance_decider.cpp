#include "plantaintiller/decisions/instance_decider.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::decisions {

using core::effect_state;
using core::refusal_type;

namespace {
constexpr core::milliseconds kRetryElsewhereDelay{10};
constexpr core::milliseconds kNotReadyRetryDelay{500};
constexpr core::milliseconds kPlacementInterval{250};
constexpr core::milliseconds kPullInterval{200};
}  // namespace

instance_decider::instance_decider(const instance_decider_settings& settings,
                                   instance_actions& actions,
                                   std::uint64_t seed)
    : settings_(settings),
      actions_(actions),
      random_(seed),
      membership_(settings_.self, settings_.zone, settings_.members),
      executor_(settings_.self,
                random_(),
                settings_.executor,
                settings_.defects,
                actions,
                *this),
      router_(settings_.router,
              settings_.defects,
              settings_.self,
              *this,
              actions,
              seed + 1) {}

instance_decider::~instance_decider() = default;

void instance_decider::OnCallerStatement(std::uint64_t ticket,
                                         const core::statement& work,
                                         core::time_point now) {
  if (draining_ && !core::IsInsideTransaction(work.kind)) {
    actions_.AnswerCaller(ticket, RefuseUnstarted(refusal_type::kShuttingDown,
                                                  work, kRetryElsewhereDelay));
    return;
  }
  if (!IsReady()) {
    actions_.AnswerCaller(ticket, RefuseUnstarted(refusal_type::kNotReady, work,
                                                  kNotReadyRetryDelay));
    return;
  }
  router_.OnRequest(ticket, work, now);
}

void instance_decider::OnForwardedStatement(core::instance_id from,
                                            const forwarded_statement& work,
                                            core::time_point now) {
  const work_origin origin{from, work.ticket};
  group_controller* controller = ControllerOf(work.work.database);
  if (controller == nullptr || work.slot >= controller->Servers()) {
    core::statement_outcome outcome = Refuse(
        refusal_type::kNoExecutor, effect_state::kNotRun, kRetryElsewhereDelay);
    outcome.server = {work.work.database, work.slot};
    OnExecuted(origin, outcome, now);
    return;
  }
  controller->OnTermSeen(work.work.token.entry_term);
  executor_.Submit(origin, work.work, work.slot, *controller, now);
}

void instance_decider::OnForwardedReply(const forwarded_reply& reply,
                                        core::time_point now) {
  router_.OnOutcome(reply.ticket, reply.outcome, reply.known_term,
                    reply.known_primary, now);
}

void instance_decider::OnForwardLost(std::uint64_t ticket,
                                     core::time_point now) {
  router_.OnForwardLost(ticket, now);
}

void instance_decider::OnHeartbeat(const heartbeat& beat,
                                   core::time_point now) {
  membership_.OnHeartbeat(beat.from, beat.zone, beat.leaving, now);
  for (const server_report& report : beat.reports) {
    if (group_controller* controller = ControllerOf(report.server.database)) {
      controller->OnPeerReport(report.server.slot,
                               now - report.since_last_answer);
    }
  }
  const bool behind = beat.configuration_version > configuration_.Version() ||
                      settings_.defects.accept_older_configuration;
  if (behind && now >= next_pull_) {
    next_pull_ = now + kPullInterval;
    actions_.PullConfiguration(beat.from);
  }
}

void instance_decider::OnAttemptResult(const attempt_result& result,
                                       core::time_point now) {
  executor_.OnAttemptResult(result, now);
  const auto found = watched_.find(result.server.database);
  if (found != watched_.end()) {
    executor_.OnControllerChanged(*found->second.controller, now);
    ProbeServers(found->second, now);
  }
}

void instance_decider::OnProbeAnswer(core::backend_server_id server,
                                     std::uint64_t probe_id,
                                     const core::server_state& state,
                                     core::time_point now) {
  const auto found = watched_.find(server.database);
  if (found == watched_.end() || server.slot >= found->second.probers.size()) {
    return;
  }
  watched_database& watched = found->second;
  const std::optional<core::time_point> sent_at =
      watched.probers[server.slot].OnAnswer(probe_id);
  if (!sent_at.has_value()) {
    return;
  }
  watched.controller->OnState(server.slot, state, *sent_at, now);
  executor_.OnControllerChanged(*watched.controller, now);
  ProbeServers(watched, now);
}

void instance_decider::OnProbeFailed(core::backend_server_id server,
                                     std::uint64_t probe_id,
                                     bool refused,
                                     core::time_point now) {
  const auto found = watched_.find(server.database);
  if (found == watched_.end() || server.slot >= found->second.probers.size()) {
    return;
  }
  const bool current = found->second.probers[server.slot].OnFailure(probe_id);
  if (current && refused) {
    found->second.controller->OnConnectionRefused(server.slot, now);
  }
}

void instance_decider::OnRoleCommandDone(core::backend_server_id server) {
  const auto found = watched_.find(server.database);
  if (found != watched_.end() && server.slot < found->second.probers.size()) {
    found->second.probers[server.slot].ProbeImmediately();
  }
}

void instance_decider::OnGroupRecord(
    core::database_id database,
    const std::optional<core::group_record>& record,
    core::time_point now) {
  if (const auto found = watched_.find(database); found != watched_.end()) {
    found->second.controller->OnRecordRead(record, now);
    executor_.OnControllerChanged(*found->second.controller, now);
  }
}

void instance_decider::OnGroupRecordUnavailable(core::database_id database,
                                                core::time_point now) {
  if (const auto found = watched_.find(database); found != watched_.end()) {
    found->second.controller->OnRecordUnavailable(now);
  }
}

void instance_decider::OnCompareAndSet(
    core::database_id database,
    compare_and_set_status status,
    const std::optional<core::group_record>& current,
    core::time_point now) {
  if (const auto found = watched_.find(database); found != watched_.end()) {
    found->second.controller->OnCompareAndSet(status, current, now);
    executor_.OnControllerChanged(*found->second.controller, now);
  }
}

void instance_decider::OnConfiguration(
    const std::shared_ptr<const core::configuration>& offered,
    core::time_point now) {
  const bool first = !IsReady();
  if (!configuration_.Offer(offered,
                            settings_.defects.accept_older_configuration)) {
    return;
  }
  actions_.LogDecision({decision_kind::kAdoptConfiguration,
                        core::backend_server_id(), settings_.self,
                        offered->version});
  if (first) {
    ExpireLeavingGrace(*offered, now);
  }
  PlaceConnections(now);
}

void instance_decider::ExpireLeavingGrace(
    const core::configuration& configuration,
    core::time_point now) {
  // A new process cannot know how long these servers have been leaving.
  for (const core::database_settings& database : configuration.databases) {
    for (core::slot_number slot = 0; slot < database.Slots(); ++slot) {
      if (database.servers[slot].leaving) {
        leaving_since_[{database.id, slot}] = now - settings_.leaving_grace;
      }
    }
  }
}

void instance_decider::OnInstanceList(
    const std::vector<core::instance_entry>& list,
    core::time_point now) {
  membership_.OnInstanceList(list, now);
}

void instance_decider::Drain(core::time_point now) {
  if (draining_) {
    return;
  }
  draining_ = true;
  leave_at_ = now + settings_.drain_notice_period;
  SendHeartbeats(now);
}

std::size_t instance_decider::Unfinished() const {
  return router_.Unfinished() + executor_.Unfinished();
}

bool instance_decider::IsIdle() const {
  return Unfinished() == 0 || settings_.defects.drop_on_shutdown;
}

const group_controller* instance_decider::Controller(
    core::database_id database) const {
  const auto found = watched_.find(database);
  return found == watched_.end() ? nullptr : found->second.controller.get();
}

int instance_decider::Connections(core::backend_server_id server) const {
  return executor_.Connections(server);
}

void instance_decider::OnTick(core::time_point now) {
  if (draining_ && now >= leave_at_) {
    membership_.Leave();
  }
  if (membership_.OnTick(now)) {
    OnMembersChanged(now);
  }
  // Placement depends on the configuration and the live instances. It changes
  // with time only when the grace period of a leaving server ends.
  if (!leaving_since_.empty() && now >= next_placement_) {
    PlaceConnections(now);
  }
  if (now >= next_heartbeat_) {
    SendHeartbeats(now);
  }
  ReadPlatform(now);
  AskPeersForConfiguration(now);
  TickControllers(now);
  executor_.OnTick(now);
  router_.OnTick(now);
}

void instance_decider::OnMembersChanged(core::time_point now) {
  std::vector<core::instance_id> reachable;
  for (const core::instance_id peer : membership_.Peers()) {
    if (membership_.IsReachable(peer)) {
      reachable.push_back(peer);
    }
  }
  std::swap(reachable, reachable_);
  for (const core::instance_id peer : reachable) {
    if (std::ranges::find(reachable_, peer) == reachable_.end()) {
      actions_.LogDecision(
          {decision_kind::kPeerLost, core::backend_server_id(), peer, 0});
      actions_.ClosePeerConnection(peer);
      router_.OnPeerLost(peer, now);
    }
  }
  for (const core::instance_id peer : reachable_) {
    if (std::ranges::find(reachable, peer) == reachable.end()) {
      actions_.LogDecision(
          {decision_kind::kPeerFound, core::backend_server_id(), peer, 0});
    }
  }
  PlaceConnections(now);
}

void instance_decider::TickControllers(core::time_point now) {
  for (auto& [database, watched] : watched_) {
    if (!watched.holds_connections && !executor_.HasPendingAnswers(database)) {
      continue;
    }
    watched.controller->OnTick(now);
    ProbeServers(watched, now);
  }
}

void instance_decider::ProbeServers(watched_database& watched,
                                    core::time_point now) {
  const core::database_id database = watched.controller->Database();
  const core::group_record& record = watched.controller->Record();
  probe_need need;
  need.any = executor_.HasPendingAnswers(database);
  if (need.any) {
    need.offset = executor_.NeededOffset(database);
    need.probed_since = executor_.NeededFreshness(database);
  }
  const auto probers = static_cast<core::slot_number>(watched.probers.size());
  for (core::slot_number slot = 0; slot < probers; ++slot) {
    probe_need slot_need =
        record.confirming.Contains(slot) ? need : probe_need();
    const std::uint64_t catch_up = executor_.CatchUpOffset({database, slot});
    slot_need.any = slot_need.any || catch_up > 0;
    slot_need.offset = std::max(slot_need.offset, catch_up);
    const std::optional<server_probe> probe = watched.probers[slot].NextProbe(
        slot_need, record.term,
        watched.controller->Tracker().ReportedOffset(slot), now);
    if (probe.has_value()) {
      actions_.ProbeServer(*probe);
    }
  }
}

void instance_decider::SendHeartbeats(core::time_point now) {
  next_heartbeat_ = now + settings_.members.heartbeat_interval;
  heartbeat beat;
  beat.from = settings_.self;
  beat.zone = settings_.zone;
  beat.leaving = draining_;
  beat.configuration_version = configuration_.Version();
  for (const auto& [database, watched] : watched_) {
    for (core::slot_number slot = 0; slot < watched.controller->Servers();
         ++slot) {
      if (watched.controller->IsAlive(slot, now)) {
        beat.reports.push_back(
            {{database, slot},
             core::ToMilliseconds(now - watched.controller->LastSeen(slot))});
      }
    }
  }
  for (const core::instance_id peer : membership_.Peers()) {
    actions_.SendHeartbeat(peer, beat);
  }
}

void instance_decider::AskPeersForConfiguration(core::time_point now) {
  const std::vector<core::instance_id> peers =
      IsReady() ? std::vector<core::instance_id>() : membership_.Peers();
  if (peers.empty() || now < next_pull_) {
    return;
  }
  next_pull_ = now + kPullInterval;
  actions_.PullConfiguration(peers[random_() % peers.size()]);
}

bool instance_decider::ReadsConfigurationForZone() const {
  // The two instances of the zone with the lowest ids read the configuration
  // for the others.
  int before = 0;
  for (const placement_candidate& each : membership_.Candidates()) {
    if (each.zone == settings_.zone && each.id < settings_.self) {
      before += 1;
    }
  }
  return before < 2;
}

void instance_decider::ReadPlatform(core::time_point now) {
  if (now >= next_configuration_read_) {
    const core::milliseconds interval =
        ReadsConfigurationForZone() || !IsReady()
            ? settings_.configuration_interval
            : settings_.backup_configuration_interval;
    std::uniform_int_distribution<std::int64_t> jitter(interval.count() / 2,
                                                       interval.count());
    next_configuration_read_ = now + core::milliseconds(jitter(random_));
    actions_.ReadConfiguration(configuration_.Version());
  }
  if (now >= next_list_read_) {
    next_list_read_ = now + settings_.list_interval;
    actions_.ReadInstanceList();
  }
}

bool instance_decider::IsExcludedFromPlacement(
    const core::backend_server_settings& settings,
    core::backend_server_id server,
    core::time_point now) {
  if (!settings.leaving || settings_.defects.use_leaving_server) {
    if (leaving_since_.erase(server) > 0) {
      executor_.SetCloseTime(server, core::time_point::max());
    }
    return false;
  }
  const core::time_point since =
      leaving_since_.try_emplace(server, now).first->second;
  executor_.SetCloseTime(server, since + settings_.leaving_grace);
  const group_controller* controller = Controller(server.database);
  const bool is_primary = controller != nullptr &&
                          controller->Record().term != 0 &&
                          controller->Record().primary == server.slot;
  return !is_primary || now - since >= settings_.leaving_grace;
}

void instance_decider::PlaceConnections(core::time_point now) {
  next_placement_ = now + kPlacementInterval;
  const std::shared_ptr<const core::configuration> current =
      configuration_.Current();
  if (current == nullptr) {
    return;
  }
  for (const core::database_settings& database : current->databases) {
    for (core::slot_number slot = 0; slot < database.Slots(); ++slot) {
      PlaceServer(database, slot, now);
    }
    WatchDatabase(database);
  }
}

void instance_decider::PlaceServer(const core::database_settings& database,
                                   core::slot_number slot,
                                   core::time_point now) {
  const core::backend_server_id server{database.id, slot};
  const core::backend_server_settings& settings = database.servers[slot];
  std::vector<core::instance_id> holders;
  if (!IsExcludedFromPlacement(settings, server, now)) {
    holders = connection_placement::Holders(server, settings.zone,
                                            membership_.Candidates());
  }
  const auto mine = std::ranges::find(holders, settings_.self);
  const int share = connection_placement::Share(
      database.connections, static_cast<std::size_t>(mine - holders.begin()),
      holders.size());
  holders_[server] = std::move(holders);
  if (share == executor_.Connections(server)) {
    return;
  }
  actions_.LogDecision({decision_kind::kPlaceConnections, server,
                        settings_.self, static_cast<std::uint64_t>(share)});
  executor_.SetConnections(server, share, now);
}

void instance_decider::WatchDatabase(const core::database_settings& database) {
  bool holds_connections = false;
  core::server_set leaving;
  for (core::slot_number slot = 0; slot < database.Slots(); ++slot) {
    const std::vector<core::instance_id>& holders =
        holders_[{database.id, slot}];
    holds_connections =
        holds_connections ||
        std::ranges::find(holders, settings_.self) != holders.end();
    if (database.servers[slot].leaving &&
        !settings_.defects.use_leaving_server) {
      leaving = leaving.With(slot);
    }
  }
  const auto servers = static_cast<core::slot_number>(database.servers.size());
  auto found = watched_.find(database.id);
  if (found == watched_.end()) {
    if (!holds_connections) {
      return;
    }
    found = watched_.try_emplace(database.id).first;
    found->second.controller = std::make_unique<group_controller>(
        database.id, servers, settings_.controller, settings_.defects, actions_,
        random_());
  }
  watched_database& watched = found->second;
  watched.holds_connections = holds_connections;
  watched.controller->SetServers(servers);
  watched.controller->SetLeaving(leaving);
  watched.controller->SetRank(RankAmongWatchers(database));
  while (watched.probers.size() < servers) {
    const auto slot = static_cast<core::slot_number>(watched.probers.size());
    watched.probers.emplace_back(core::backend_server_id{database.id, slot},
                                 settings_.prober);
  }
}

int instance_decider::RankAmongWatchers(
    const core::database_settings& database) {
  std::vector<core::instance_id> before;
  for (core::slot_number slot = 0; slot < database.Slots(); ++slot) {
    for (const core::instance_id holder : holders_[{database.id, slot}]) {
      if (holder == settings_.self) {
        return static_cast<int>(before.size());
      }
      if (std::ranges::find(before, holder) == before.end()) {
        before.push_back(holder);
      }
    }
  }
  return static_cast<int>(before.size());
}

bool instance_decider::IsWatched(core::database_id database) const {
  const auto found = watched_.find(database);
  return found != watched_.end() && found->second.holds_connections;
}

void instance_decider::OnExecuted(const work_origin& origin,
                                  const core::statement_outcome& outcome,
                                  core::time_point now) {
  const core::database_id database = outcome.server.database;
  const group_controller* controller = Controller(database);
  const core::group_record record =
      controller == nullptr ? core::group_record() : controller->Record();
  if (origin.instance == settings_.self) {
    router_.OnOutcome(origin.ticket, outcome, record.term, record.primary, now);
    return;
  }
  actions_.ReplyToPeer(origin.instance,
                       {origin.ticket, outcome, record.term, record.primary});
}

const core::database_settings* instance_decider::SettingsOf(
    core::database_id database) const {
  const std::shared_ptr<const core::configuration> current =
      configuration_.Current();
  return current == nullptr ? nullptr : current->Find(database);
}

group_controller* instance_decider::ControllerOf(core::database_id database) {
  return IsWatched(database) ? watched_.at(database).controller.get() : nullptr;
}

const std::vector<core::instance_id>& instance_decider::HoldersOf(
    core::backend_server_id server) {
  return holders_[server];
}

bool instance_decider::IsReachable(core::instance_id peer) const {
  return membership_.IsReachable(peer);
}

bool instance_decider::HasBeenHeard(core::instance_id peer) const {
  return membership_.HasBeenHeard(peer);
}

void instance_decider::SubmitLocally(std::uint64_t handle,
                                     const core::statement& work,
                                     core::slot_number slot,
                                     core::time_point now) {
  OnForwardedStatement(settings_.self, {handle, slot, work}, now);
}

}  // namespace plantaintiller::decisions
