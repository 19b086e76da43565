#include "plantaintiller/gateway/leader_controller.h"

#include <xxhash.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>
#include <utility>

#include "plantaintiller/gateway/claim_codec.h"
#include "plantaintiller/gateway/member_codec.h"
#include "plantaintiller/gateway/send_server_command.h"

namespace plantaintiller::gateway {

namespace {

using boost::system::error_code;

/// Time-out of a command to a server: a new connection and a round trip between
/// regions.
constexpr core::milliseconds kCommandTimeout{250};
/// Pause between status requests to a suspected leader.
constexpr core::milliseconds kProbePause{120};
/// Instances delay the start of a change within this time by a hash of their
/// names, so that in most cases only one makes a claim. A claim takes two calls
/// to the store.
constexpr core::milliseconds kStartJitter{240};
/// The same for each live instance, for reasons that all instances see at once,
/// such as a group without a leader: about the time in which a claim is made
/// and announced, divided by the few that may claim before they hear of it.
/// With 240 ms, 300 instances made thousands of claims after a common restart.
constexpr core::milliseconds kStartJitterPerInstance{8};
/// How long this instance waits for a change that another one announced.
constexpr core::milliseconds kPeerChangeWait{2500};
/// Pause after the end of a change, whether completed or abandoned, before the
/// group's next one.
constexpr core::milliseconds kRestartPause{400};

/// Pause between demotions of a former leader: the interval at which the list
/// is read.
constexpr core::milliseconds kDemotionPause{1000};

/// Stands for a row that was not written by an instance. Each claim is a
/// transaction of the store, so that its number is no lower than any token; the
/// age is told by the time for which the row is seen.
replication::group_claim UnreadableClaim(store::row_version version) {
  replication::group_claim claim;
  claim.token = store::NumberWithinEra(version);
  claim.holder = "unreadable";
  claim.claimed_at = core::milliseconds::max();
  return claim;
}

struct monitored_group {
  monitored_group(boost::asio::io_context& context,
                  replication::group_state& state,
                  connection_pool& connections,
                  replication::change_host& host,
                  const replication::change_settings& settings)
      : group(state),
        pool(connections),
        change(host, state, settings),
        change_timer(context),
        start_timer(context),
        probe_timer(context) {}

  replication::group_state& group;
  connection_pool& pool;
  replication::primary_change change;
  boost::asio::steady_timer change_timer;
  boost::asio::steady_timer start_timer;
  boost::asio::steady_timer probe_timer;
  bool start_armed = false;
  bool probing = false;
  core::time_point earliest_start;
  core::time_point next_demotion;
};

}  // namespace

class leader_controller::implementation
    : public replication::change_host,
      public std::enable_shared_from_this<leader_controller::implementation> {
 public:
  implementation(boost::asio::io_context& context,
                 const gateway_settings& settings,
                 const leader_controller_dependencies& dependencies,
                 leader_controller_listener& listener)
      : context_(context),
        dependencies_(dependencies),
        listener_(listener),
        monitor_(monitor_settings_),
        random_(std::random_device()()) {
    // The random part makes a restarted instance a different holder.
    change_settings_.holder =
        settings.instance + "-" + std::to_string(random_() % 1000000);
    change_settings_.fencing = settings.fencing;
  }

  void Add(replication::group_state& group, connection_pool& pool) {
    groups_.emplace(group.Name(),
                    std::make_unique<monitored_group>(context_, group, pool,
                                                      *this, change_settings_));
  }
  void Evaluate(const std::string& name);
  void OnPeerChangingLeader(const std::string& name);
  bool IsChanging(const std::string& name) const {
    const auto found = groups_.find(name);
    return found != groups_.end() && found->second->change.HasClaim();
  }
  void Stop() {
    stopped_ = true;
    for (auto& [name, each] : groups_) {
      each->change_timer.cancel();
      each->start_timer.cancel();
      each->probe_timer.cancel();
    }
  }

  // replication::change_host
  core::time_point Now() const override { return core::clock::now(); }
  core::duration SuspendedTime() const override {
    return core::SuspendedTime();
  }
  void ReadClaim(const std::string& group,
                 std::function<void(std::optional<replication::group_claim>,
                                    core::milliseconds)> done) override;
  void WriteClaim(const std::string& group,
                  const replication::group_claim& claim,
                  std::function<void(store::call_status, store::row_version)>
                      done) override;
  void SendCommand(const std::string& group,
                   const std::string& server,
                   replication::server_command order,
                   core::term_number term,
                   std::function<void(std::optional<sessions::server_status>)>
                       done) override;
  void Promote(const std::string& group,
               const std::string& server,
               std::uint64_t token,
               core::milliseconds valid_for,
               std::function<void(store::promotion_status)> done) override;
  void SetTimer(const std::string& group, core::milliseconds pause) override;
  std::uint64_t DrawNonce() override {
    // The nonce is stored as a JSON number, which is exact only up to 2^53.
    return random_() >> 12U;
  }
  void RequestList() override { listener_.OnListNeeded(); }
  void OnChangeClaimed(const std::string& group) override {
    if (monitored_group* each = Find(group)) {
      each->group.OnChangeAnnounced(Now());
    }
    listener_.OnLeaderChange(group);
  }
  void OnChangeDone(const std::string& group,
                    const std::string& leader,
                    core::term_number term) override;
  void LogChange(const std::string& group,
                 const char* event,
                 const std::string& detail) override {
    log_line(dependencies_.log, "groups", event)
        .With("group", group)
        .With("detail", detail);
  }

 private:
  /// Called with the recorded members of a group when its claim is read.
  void OnMembers(const std::string& group, const std::string& row);
  /// Demotes servers that are listed as leader although another one leads a
  /// later term.
  void DemoteFormerLeaders(monitored_group& each);
  void ArmStart(monitored_group& each, replication::change_reason reason);
  void Probe(monitored_group& each);
  monitored_group* Find(const std::string& name) {
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : found->second.get();
  }

  boost::asio::io_context& context_;
  leader_controller_dependencies dependencies_;
  leader_controller_listener& listener_;
  replication::change_settings change_settings_;
  replication::leader_monitor_settings monitor_settings_;
  replication::leader_monitor monitor_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<monitored_group>> groups_;
  bool stopped_ = false;
};

void leader_controller::implementation::Evaluate(const std::string& name) {
  monitored_group* each = Find(name);
  if (each == nullptr || stopped_ || each->change.IsActive()) {
    return;
  }
  const core::time_point now = core::clock::now();
  DemoteFormerLeaders(*each);
  if (const auto reason = monitor_.ChangeNeeded(each->group, now)) {
    ArmStart(*each, *reason);
  } else if (replication::leader_monitor::IsSuspected(each->group)) {
    Probe(*each);
  }
}

void leader_controller::implementation::DemoteFormerLeaders(
    monitored_group& each) {
  const core::term_number term = each.group.ConfirmedLeaderTerm();
  const core::time_point now = core::clock::now();
  if (term == 0 || now < each.next_demotion) {
    return;
  }
  for (const auto& [id, listed] : each.group.Servers()) {
    if (!listed.entry.reports_leader || id == each.group.Leader()) {
      continue;
    }
    each.next_demotion = now + kDemotionPause;
    log_line(dependencies_.log, "groups", "demote")
        .With("group", each.group.Name())
        .With("server", id)
        .With("term", static_cast<std::int64_t>(term));
    // A server that leads this term or a later one ignores the command.
    SendCommand(each.group.Name(), id, replication::server_command::kDemote,
                term, [](std::optional<sessions::server_status>) {});
  }
}

void leader_controller::implementation::ArmStart(
    monitored_group& each,
    replication::change_reason reason) {
  if (each.start_armed) {
    return;
  }
  each.start_armed = true;
  const std::string key = change_settings_.holder + each.group.Name();
  core::milliseconds jitter = kStartJitter;
  if (reason != replication::change_reason::kUnresponsive &&
      reason != replication::change_reason::kCommitsStalled) {
    jitter = std::max(jitter,
                      kStartJitterPerInstance *
                          static_cast<std::int64_t>(listener_.LiveInstances()));
  }
  const core::milliseconds delay(
      static_cast<std::int64_t>(XXH3_64bits(key.data(), key.size()) %
                                static_cast<std::uint64_t>(jitter.count())));
  each.start_timer.expires_at(
      std::max(core::clock::now() + delay, each.earliest_start));
  each.start_timer.async_wait(
      [self = shared_from_this(), &each](error_code cancelled) {
        each.start_armed = false;
        if (cancelled || self->stopped_) {
          return;
        }
        const core::time_point now = core::clock::now();
        const auto reason = self->monitor_.ChangeNeeded(each.group, now);
        if (reason.has_value() && now < each.earliest_start) {
          self->ArmStart(each, *reason);
          return;
        }
        if (reason.has_value() && !each.change.IsActive()) {
          each.change.Start(*reason);
          self->listener_.OnLeaderChange(each.group.Name());
        }
      });
}

void leader_controller::implementation::Probe(monitored_group& each) {
  if (each.probing) {
    return;
  }
  each.probing = true;
  const std::string leader = each.group.Leader();
  const core::time_point sent = core::clock::now();
  SendCommand(
      each.group.Name(), leader, replication::server_command::kStatus, 0,
      [self = shared_from_this(), &each, leader,
       sent](std::optional<sessions::server_status> status) {
        const core::time_point now = core::clock::now();
        if (status.has_value()) {
          each.group.OnSuccess(leader);
        } else {
          each.group.OnUnresponsive(leader, sent, now);
        }
        each.probe_timer.expires_after(kProbePause);
        each.probe_timer.async_wait([self, &each](error_code cancelled) {
          each.probing = false;
          if (!cancelled) {
            self->Evaluate(each.group.Name());
          }
        });
      });
}

void leader_controller::implementation::OnPeerChangingLeader(
    const std::string& name) {
  if (monitored_group* each = Find(name)) {
    each->earliest_start = core::clock::now() + kPeerChangeWait;
    each->group.OnChangeAnnounced(core::clock::now());
  }
}

void leader_controller::implementation::ReadClaim(
    const std::string& group,
    std::function<void(std::optional<replication::group_claim>,
                       core::milliseconds)> done) {
  dependencies_.rows.Read(
      kClaimTable, group, kClaimKey,
      [self = shared_from_this(), group,
       done = std::move(done)](const store::rows_answer& answer) {
        if (answer.status != store::call_status::kDone) {
          done(std::nullopt, core::milliseconds(0));
          return;
        }
        replication::group_claim claim;
        claim.era = store::EraOf(answer.newest_version);
        for (const store::row& each : answer.rows) {
          if (each.key == kMembersKey) {
            self->OnMembers(group, each.value);
          }
          if (each.key != kClaimKey) {
            continue;
          }
          auto decoded = DecodeClaim(each.value);
          if (!decoded.has_value()) {
            log_line(self->dependencies_.log, "groups", "claim_unreadable")
                .With("group", group);
          }
          const std::uint64_t era = claim.era;
          claim = decoded.value_or(UnreadableClaim(each.version));
          claim.era = era;
          claim.version = each.version;
        }
        done(claim, answer.now);
      });
}

void leader_controller::implementation::OnMembers(const std::string& group,
                                                  const std::string& row) {
  monitored_group* each = Find(group);
  const auto members = DecodeMembers(group, row);
  if (each == nullptr || !members.has_value()) {
    log_line(dependencies_.log, "groups", "members_unreadable")
        .With("group", group);
    return;
  }
  for (const replication::server_entry& member : *members) {
    each->group.OnRecordedMember(member, core::clock::now());
  }
}

void leader_controller::implementation::WriteClaim(
    const std::string& group,
    const replication::group_claim& claim,
    std::function<void(store::call_status, store::row_version)> done) {
  store::row_transaction change;
  store::row row;
  row.table = kClaimTable;
  row.part = group;
  row.key = kClaimKey;
  row.version = claim.version;
  row.value = EncodeClaim(claim);
  change.expected.push_back(row);
  change.writes.push_back(row);
  dependencies_.rows.Commit(
      change, [done = std::move(done)](const store::rows_answer& answer) {
        done(answer.status, answer.newest_version);
      });
}

void leader_controller::implementation::SendCommand(
    const std::string& group,
    const std::string& server,
    replication::server_command order,
    core::term_number term,
    std::function<void(std::optional<sessions::server_status>)> done) {
  monitored_group* each = Find(group);
  if (each == nullptr) {
    boost::asio::post(context_,
                      [done = std::move(done)] { done(std::nullopt); });
    return;
  }
  std::string bytes;
  switch (order) {
    case replication::server_command::kStatus:
      dependencies_.servers.AppendStatus(bytes);
      break;
    case replication::server_command::kHold:
      dependencies_.servers.AppendHold(bytes, term);
      break;
    case replication::server_command::kResume:
      dependencies_.servers.AppendResume(bytes);
      break;
    case replication::server_command::kDemote:
      dependencies_.servers.AppendDemote(bytes, term);
      break;
  }
  SendServerCommand(
      context_, each->pool, server, std::move(bytes), kCommandTimeout,
      // A hold may only be ended once: another holder may have placed the next.
      order == replication::server_command::kResume ? answer_use::kIgnored
                                                    : answer_use::kDecides,
      [self = shared_from_this(),
       done = std::move(done)](std::optional<sessions::server_reply> reply) {
        done(reply.has_value() ? self->dependencies_.status.Read(*reply)
                               : std::nullopt);
      });
}

void leader_controller::implementation::Promote(
    const std::string& group,
    const std::string& server,
    std::uint64_t token,
    core::milliseconds valid_for,
    std::function<void(store::promotion_status)> done) {
  const core::time_point ordered = core::clock::now();
  dependencies_.promotions.Promote(
      {group, server, change_settings_.holder, token, valid_for},
      [self = shared_from_this(), group, server, token, ordered,
       done = std::move(done)](store::promotion_result result) {
        const auto took = core::ToMilliseconds(core::clock::now() - ordered);
        log_line(self->dependencies_.log, "groups", "promotion")
            .With("group", group)
            .With("server", server)
            .With("token", static_cast<std::int64_t>(token))
            .With("result", store::PromotionStatusName(result.status))
            .With("queued_ms", result.queued.count())
            .With("took_ms", took.count());
        self->listener_.OnPromotionCall(result.status);
        done(result.status);
      });
}

void leader_controller::implementation::SetTimer(const std::string& group,
                                                 core::milliseconds pause) {
  monitored_group* each = Find(group);
  if (each == nullptr) {
    return;
  }
  each->change_timer.expires_after(pause);
  each->change_timer.async_wait(
      [self = shared_from_this(), each](error_code cancelled) {
        if (!cancelled && !self->stopped_) {
          each->change.OnTimer();
        }
      });
}

void leader_controller::implementation::OnChangeDone(const std::string& group,
                                                     const std::string& leader,
                                                     core::term_number term) {
  monitored_group* each = Find(group);
  if (each == nullptr) {
    return;
  }
  log_line(dependencies_.log, "groups", "leader")
      .With("group", group)
      .With("server", leader)
      .With("term", static_cast<std::int64_t>(term));
  each->earliest_start = core::clock::now() + kRestartPause;
  each->group.OnSuccess(leader);
  each->pool.OnGroupChanged();
  listener_.OnLeaderChange(group);
  boost::asio::post(
      context_, [self = shared_from_this(), group] { self->Evaluate(group); });
}

leader_controller::leader_controller(
    boost::asio::io_context& context,
    const gateway_settings& settings,
    const leader_controller_dependencies& dependencies,
    leader_controller_listener& listener)
    : implementation_(std::make_shared<implementation>(context,
                                                       settings,
                                                       dependencies,
                                                       listener)) {}

leader_controller::~leader_controller() {
  implementation_->Stop();
}

void leader_controller::Add(replication::group_state& group,
                            connection_pool& pool) {
  implementation_->Add(group, pool);
}

void leader_controller::Evaluate(const std::string& group) {
  implementation_->Evaluate(group);
}

void leader_controller::OnPeerChangingLeader(const std::string& group) {
  implementation_->OnPeerChangingLeader(group);
}

bool leader_controller::IsChanging(const std::string& group) const {
  return implementation_->IsChanging(group);
}

void leader_controller::Stop() {
  implementation_->Stop();
}

}  // namespace plantaintiller::gateway
