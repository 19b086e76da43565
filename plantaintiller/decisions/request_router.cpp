#include "plantaintiller/decisions/request_router.h"

#include <algorithm>

namespace plantaintiller::decisions {

using core::effect_state;
using core::milliseconds;
using core::refusal_type;
using core::statement_kind;

namespace {
constexpr milliseconds kRetryAfterFailure{250};
}  // namespace

request_router::request_router(const router_settings& settings,
                               const injected_defects& defects,
                               core::instance_id self,
                               router_host& host,
                               instance_actions& actions,
                               std::uint64_t seed)
    : settings_(settings),
      defects_(defects),
      self_(self),
      host_(host),
      actions_(actions),
      random_(seed),
      requests_(settings.capacity) {}

bool request_router::IsPinned(const core::statement& work) {
  return core::IsInsideTransaction(work.kind);
}

bool request_router::IsRetryable(refusal_type type) {
  switch (type) {
    case refusal_type::kNoPrimary:
    case refusal_type::kNoEligibleServer:
    case refusal_type::kNoExecutor:
    case refusal_type::kConnectionLost:
    case refusal_type::kSuperseded:
    // Only the attempt's time limit has passed; the request may have time left.
    case refusal_type::kDeadlineExceeded:
      return true;
    default:
      return false;
  }
}

replica_success::read_kind request_router::ReadKindOf(
    const core::statement& work) {
  return work.max_staleness > milliseconds(0)
             ? replica_success::read_kind::kStaleAllowed
             : replica_success::read_kind::kCurrent;
}

void request_router::OnRequest(std::uint64_t ticket,
                               const core::statement& work,
                               core::time_point now) {
  refusal_type problem = refusal_type::kNone;
  milliseconds retry_after(0);
  if (host_.SettingsOf(work.database) == nullptr) {
    problem = refusal_type::kUnknownDatabase;
  } else if (now >= work.deadline) {
    problem = refusal_type::kDeadlineTooShort;
  } else if (requests_.Full()) {
    problem = refusal_type::kOverloaded;
    retry_after = kRetryAfterFailure;
  }
  if (problem != refusal_type::kNone) {
    actions_.AnswerCaller(ticket, RefuseUnstarted(problem, work, retry_after));
    return;
  }
  budget_.OnRequest();
  request item;
  item.ticket = ticket;
  item.work = work;
  item.may_have_run = work.repeated;
  const std::uint64_t handle = requests_.Add(std::move(item));
  Route(handle, *requests_.Find(handle), now);
}

core::slot_number request_router::PrimaryOf(core::database_id database) {
  const primary_hint& hint = hints_[database];
  const group_controller* controller = host_.ControllerOf(database);
  if (controller != nullptr && controller->Record().term >= hint.term) {
    return controller->Record().primary;
  }
  return hint.primary;
}

std::optional<core::instance_id> request_router::ChooseHolder(
    core::backend_server_id server) {
  const std::vector<core::instance_id>& holders = host_.HoldersOf(server);
  if (std::ranges::find(holders, self_) != holders.end()) {
    return self_;
  }
  std::vector<core::instance_id>::const_iterator first = holders.begin();
  if (holders.size() > 1) {
    // Spreads the load over the holders.
    first += static_cast<std::ptrdiff_t>(random_() % holders.size());
  }
  for (std::size_t n = 0; n < holders.size(); ++n) {
    if (host_.IsReachable(*first)) {
      return *first;
    }
    ++first;
    if (first == holders.end()) {
      first = holders.begin();
    }
  }
  return std::nullopt;
}

bool request_router::IsReplicaEligible(const request& item,
                                       core::slot_number slot,
                                       core::time_point now) {
  const core::backend_server_id server{item.work.database, slot};
  const group_controller* controller = host_.ControllerOf(item.work.database);
  if (controller != nullptr) {
    if (!controller->IsAlive(slot, now)) {
      return false;
    }
    const std::optional<core::duration> age =
        controller->Tracker().EstimatedAge(slot, now);
    const bool too_old = item.work.max_staleness > milliseconds(0) &&
                         (!age.has_value() || *age > item.work.max_staleness);
    if (too_old) {
      return false;
    }
  }
  if (success_.SuccessRate(server, ReadKindOf(item.work)) >=
      settings_.min_success_rate) {
    return true;
  }
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  return uniform(random_) < settings_.exploration_rate;
}

std::optional<core::slot_number> request_router::ChooseReplica(
    const request& item,
    core::time_point now) {
  const core::database_settings& settings =
      *host_.SettingsOf(item.work.database);
  const core::slot_number primary = PrimaryOf(item.work.database);
  std::optional<core::slot_number> chosen;
  bool chosen_is_near = false;
  std::uint64_t ties = 0;
  for (core::slot_number slot = 0; slot < settings.Slots(); ++slot) {
    const core::backend_server_settings& server = settings.servers[slot];
    const bool leaving = server.leaving && !defects_.use_leaving_server;
    if (slot == primary || leaving || item.tried_replicas.Contains(slot)) {
      continue;
    }
    const bool near = server.zone == host_.Zone();
    if ((chosen.has_value() && chosen_is_near && !near) ||
        !IsReplicaEligible(item, slot, now)) {
      continue;
    }
    ties = near && !chosen_is_near ? 1 : ties + 1;
    // Chooses each of the equally near replicas with the same probability.
    if (ties == 1 || random_() % ties == 0) {
      chosen = slot;
      chosen_is_near = near;
    }
  }
  return chosen;
}

void request_router::Route(std::uint64_t handle,
                           request& item,
                           core::time_point now) {
  if (IsPinned(item.work) && !item.resolving) {
    Send(handle, item, 0, now);
    return;
  }
  const bool may_use_replica =
      settings_.use_replicas && item.work.kind == statement_kind::kRun &&
      item.work.access == core::access_kind::kRead && !item.avoid_replicas;
  if (may_use_replica) {
    const std::optional<core::slot_number> replica = ChooseReplica(item, now);
    if (replica.has_value()) {
      item.at_replica = true;
      Send(handle, item, *replica, now);
      return;
    }
  }
  item.at_replica = false;
  Send(handle, item, PrimaryOf(item.work.database), now);
}

void request_router::Send(std::uint64_t handle,
                          request& item,
                          core::slot_number slot,
                          core::time_point now) {
  const core::backend_server_id server{item.work.database, slot};
  std::optional<core::instance_id> executor;
  if (IsPinned(item.work) && !item.resolving) {
    executor = item.work.transaction.executor;
    if (*executor != self_ && !host_.IsReachable(*executor)) {
      executor.reset();
    }
  } else {
    executor = ChooseHolder(server);
  }
  if (!executor.has_value()) {
    item.at_replica = false;
    OnRefusal(handle, item,
              Refuse(refusal_type::kNoExecutor, effect_state::kNotRun,
                     kRetryAfterFailure),
              now);
    return;
  }
  item.state = phase::kRunning;
  item.slot = slot;
  item.executor = *executor;
  item.attempts += 1;
  core::statement work = item.work;
  if (item.resolving) {
    work.kind = statement_kind::kResolve;
    work.transaction = core::transaction_id();
  }
  const bool write = work.access == core::access_kind::kWrite;
  if (write) {
    work.deadline = std::min({work.deadline, now + settings_.attempt_timeout,
                              now + (work.deadline - now) * 3 / 5});
  }
  const decision_kind kind = item.resolving    ? decision_kind::kResolveOutcome
                             : write           ? decision_kind::kRouteWrite
                             : item.at_replica ? decision_kind::kRouteReplica
                                               : decision_kind::kRoutePrimary;
  actions_.LogDecision({kind, server, *executor, 0});
  if (*executor == self_) {
    host_.SubmitLocally(handle, work, slot, now);
  } else {
    actions_.ForwardStatement(*executor, {handle, slot, work});
  }
}

void request_router::OnOutcome(std::uint64_t handle,
                               const core::statement_outcome& outcome,
                               core::term_number known_term,
                               core::slot_number known_primary,
                               core::time_point now) {
  request* item = requests_.Find(handle);
  if (item == nullptr || item->state != phase::kRunning) {
    return;
  }
  primary_hint& hint = hints_[item->work.database];
  if (known_term > hint.term) {
    hint = {known_term, known_primary};
    if (group_controller* controller =
            host_.ControllerOf(item->work.database)) {
      controller->OnTermSeen(known_term);
    }
  }
  if (item->at_replica) {
    const bool overloaded = outcome.refusal == refusal_type::kOverloaded;
    success_.OnRead({item->work.database, item->slot}, ReadKindOf(item->work),
                    outcome.Succeeded() || overloaded);
  }
  if (outcome.Succeeded()) {
    Answer(handle, outcome);
    return;
  }
  OnRefusal(handle, *item, outcome, now);
}

bool request_router::CanRetryLater(const request& item,
                                   refusal_type refusal,
                                   core::time_point now) {
  // A new instance may not have heard from the holder of a transaction yet. If
  // a holder that was heard is no longer reachable, the transaction is lost
  // with it.
  const bool awaits_holder =
      refusal == refusal_type::kNoExecutor &&
      !host_.HasBeenHeard(item.work.transaction.executor);
  const bool may_repeat = !IsPinned(item.work) || awaits_holder;
  const bool has_time = now + settings_.min_retry_delay < item.work.deadline;
  if (!IsRetryable(refusal) || !may_repeat || !has_time ||
      pending_retries_ >= settings_.max_pending_retries) {
    return false;
  }
  // Retries that wait for a change of primary are bounded by
  // `max_pending_retries`, all others by the budget.
  const bool waits_for_primary = refusal == refusal_type::kNoPrimary ||
                                 refusal == refusal_type::kSuperseded;
  return waits_for_primary || budget_.TryConsume();
}

void request_router::OnRefusal(std::uint64_t handle,
                               request& item,
                               const core::statement_outcome& outcome,
                               core::time_point now) {
  const bool unknown = outcome.effect == effect_state::kOutcomeUnknown;
  item.may_have_run = item.may_have_run || unknown;
  item.last_refusal = outcome.refusal;
  if (outcome.refusal == refusal_type::kCancelled) {
    // The tombstone is confirmed: no attempt took effect, and none will.
    item.may_have_run = false;
    Answer(handle, outcome);
    return;
  }
  const bool write = item.work.access == core::access_kind::kWrite;
  if (write && item.may_have_run) {
    OnWriteOutcomeUnknown(handle, item, outcome, now);
    return;
  }
  if (!write && item.at_replica && !IsPinned(item.work) &&
      IsRetryable(outcome.refusal)) {
    // Another replica may be able to answer; after two attempts at replicas,
    // the request goes to the primary.
    item.avoid_replicas = !item.tried_replicas.Empty();
    item.tried_replicas = item.tried_replicas.With(item.slot);
    Route(handle, item, now);
    return;
  }
  if (!CanRetryLater(item, outcome.refusal, now)) {
    Answer(handle, outcome);
    return;
  }
  // By then any replica, including those tried before, may be able to answer.
  item.avoid_replicas = false;
  item.tried_replicas = core::server_set();
  ScheduleRetry(item, now);
}

bool request_router::ShouldCancelWrite(const request& item,
                                       core::time_point now) const {
  const core::duration total_time = item.work.deadline - item.work.arrived;
  return now - item.work.arrived >=
         total_time * settings_.retry_window_percent / 100;
}

void request_router::OnWriteOutcomeUnknown(
    std::uint64_t handle,
    request& item,
    const core::statement_outcome& outcome,
    core::time_point now) {
  if (outcome.refusal == refusal_type::kRequestIdReused) {
    Answer(handle, outcome);
    return;
  }
  const bool has_time = now + settings_.min_retry_delay < item.work.deadline &&
                        pending_retries_ < settings_.max_pending_retries;
  const bool may_continue = outcome.refusal != refusal_type::kOverloaded;
  const bool repeatable = item.work.has_key || item.work.idempotent;
  if (!repeatable || !has_time || !may_continue) {
    AnswerRefusal(handle, outcome.refusal, kRetryAfterFailure);
    return;
  }
  // The statement can no longer succeed, or there is not enough time for it.
  // The original may still be in flight, so it is cancelled first.
  const bool failed = outcome.refusal == refusal_type::kStatementFailed;
  item.resolving =
      item.work.has_key && (item.resolving || failed || IsPinned(item.work) ||
                            ShouldCancelWrite(item, now));
  ScheduleRetry(item, now);
}

void request_router::ScheduleRetry(request& item, core::time_point now) {
  const int doublings = std::min(item.attempts, 4);
  const milliseconds ceiling = std::min(
      settings_.min_retry_delay * (1 << doublings), settings_.max_retry_delay);
  std::uniform_int_distribution<std::int64_t> jitter(
      settings_.min_retry_delay.count(), ceiling.count());
  item.state = phase::kAwaitingRetry;
  item.retry_at = now + milliseconds(jitter(random_));
  pending_retries_ += 1;
}

void request_router::Answer(std::uint64_t handle,
                            core::statement_outcome outcome) {
  const request* item = requests_.Find(handle);
  const bool is_effect_known = outcome.Succeeded() ||
                               outcome.refusal == refusal_type::kCancelled ||
                               outcome.effect == effect_state::kRolledBack;
  if (!is_effect_known) {
    outcome.effect = item->may_have_run ? effect_state::kOutcomeUnknown
                                        : effect_state::kNotRun;
  }
  const std::uint64_t ticket = item->ticket;
  if (item->state == phase::kAwaitingRetry &&
      item->retry_at != core::time_point()) {
    pending_retries_ -= 1;
  }
  requests_.Remove(handle);
  actions_.AnswerCaller(ticket, outcome);
}

void request_router::AnswerRefusal(std::uint64_t handle,
                                   refusal_type type,
                                   milliseconds retry_after) {
  Answer(handle, Refuse(type, effect_state::kNotRun, retry_after));
}

void request_router::OnForwardLost(std::uint64_t handle, core::time_point now) {
  OnOutcome(handle,
            Refuse(refusal_type::kConnectionLost, effect_state::kOutcomeUnknown,
                   kRetryAfterFailure),
            0, 0, now);
}

void request_router::OnPeerLost(core::instance_id peer, core::time_point now) {
  requests_.ForEach([&](std::uint64_t handle, request& item) {
    if (item.state == phase::kRunning && item.executor == peer) {
      OnForwardLost(handle, now);
    }
  });
}

void request_router::OnTick(core::time_point now) {
  requests_.ForEach([&](std::uint64_t handle, request& item) {
    if (now >= item.work.deadline) {
      // A running attempt may still take effect.
      item.may_have_run = item.may_have_run || item.state == phase::kRunning;
      const bool has_last_refusal = item.state == phase::kAwaitingRetry &&
                                    item.last_refusal != refusal_type::kNone;
      AnswerRefusal(handle,
                    has_last_refusal ? item.last_refusal
                                     : refusal_type::kDeadlineExceeded,
                    kRetryAfterFailure);
      return;
    }
    if (item.state == phase::kAwaitingRetry && now >= item.retry_at) {
      pending_retries_ -= 1;
      item.retry_at = core::time_point();
      Route(handle, item, now);
    }
  });
}

}  // namespace plantaintiller::decisions
