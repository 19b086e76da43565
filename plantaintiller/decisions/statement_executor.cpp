#include "plantaintiller/decisions/statement_executor.h"

#include <algorithm>

namespace plantaintiller::decisions {

namespace {

using core::effect_state;
using core::milliseconds;
using core::refusal_type;
using core::statement_kind;

constexpr milliseconds kShortRetryDelay{50};
constexpr milliseconds kLongRetryDelay{250};
/// Age of a replica's data beyond which a read does not wait for the replica to
/// catch up.
constexpr milliseconds kMaxCatchUpAge{400};

attempt_kind AttemptFor(const core::statement& work) {
  switch (work.kind) {
    case statement_kind::kRun:
      return work.access == core::access_kind::kRead ? attempt_kind::kRead
                                                     : attempt_kind::kWrite;
    case statement_kind::kResolve:
      return attempt_kind::kTombstone;
    case statement_kind::kBegin:
      return attempt_kind::kBegin;
    case statement_kind::kInTransaction:
      return attempt_kind::kInTransaction;
    case statement_kind::kCommit:
      return attempt_kind::kCommit;
    case statement_kind::kRollback:
      return attempt_kind::kRollback;
  }
  return attempt_kind::kRead;
}

}  // namespace

statement_executor::statement_executor(core::instance_id self,
                                       std::uint64_t incarnation,
                                       const executor_settings& settings,
                                       const injected_defects& defects,
                                       instance_actions& actions,
                                       executor_listener& listener)
    : self_(self),
      incarnation_(incarnation),
      settings_(settings),
      defects_(defects),
      actions_(actions),
      listener_(listener),
      statements_(settings.capacity),
      transactions_(settings.max_transactions) {}

statement_executor::~statement_executor() = default;

bool statement_executor::IsWrite(attempt_kind kind) {
  return kind == attempt_kind::kWrite || kind == attempt_kind::kTombstone ||
         kind == attempt_kind::kCommit;
}

void statement_executor::SetConnections(core::backend_server_id server,
                                        int connections,
                                        core::time_point now) {
  const auto found = pools_.find(server);
  if (found == pools_.end()) {
    if (connections > 0) {
      pools_.try_emplace(server, connections, settings_.queue_capacity);
    }
    return;
  }
  backend_pool& pool = found->second;
  if (pool.Limit() == connections) {
    return;
  }
  for (const std::uint32_t idle : pool.SetLimit(connections)) {
    actions_.CloseConnection(server, idle);
  }
  if (connections > 0) {
    Dispatch(server, now);
    return;
  }
  while (const std::optional<std::uint64_t> handle = pool.PopAny()) {
    Finish(*handle,
           Refuse(refusal_type::kNoExecutor, effect_state::kNotRun,
                  kShortRetryDelay),
           now);
  }
}

void statement_executor::SetCloseTime(core::backend_server_id server,
                                      core::time_point at) {
  if (backend_pool* pool = PoolOf(server); pool != nullptr) {
    pool->SetCloseTime(at);
  }
}

int statement_executor::Connections(core::backend_server_id server) const {
  const auto found = pools_.find(server);
  return found == pools_.end() ? 0 : found->second.Limit();
}

backend_pool* statement_executor::PoolOf(core::backend_server_id server) {
  const auto found = pools_.find(server);
  return found == pools_.end() ? nullptr : &found->second;
}

group_controller* statement_executor::ControllerOf(core::database_id database) {
  const auto found = controllers_.find(database);
  return found == controllers_.end() ? nullptr : found->second;
}

void statement_executor::Submit(const work_origin& origin,
                                const core::statement& work,
                                core::slot_number slot,
                                group_controller& controller,
                                core::time_point now) {
  controllers_[work.database] = &controller;
  work_item item;
  item.origin = origin;
  item.work = work;
  item.slot = slot;
  item.kind = AttemptFor(work);
  item.started_at = now;
  if (core::IsInsideTransaction(work.kind)) {
    SubmitInTransaction(std::move(item), now);
    return;
  }
  const core::backend_server_id server{work.database, slot};
  backend_pool* pool = PoolOf(server);
  if (pool == nullptr || !pool->IsOpen(now)) {
    ReportRefusal(item, refusal_type::kNoExecutor, kShortRetryDelay, now);
    return;
  }
  if (!CheckTarget(item, controller, now) || !Admit(*pool, item, now)) {
    return;
  }
  Dispatch(server, now);
}

bool statement_executor::CheckTarget(const work_item& item,
                                     const group_controller& controller,
                                     core::time_point now) {
  const core::group_record& record = controller.Record();
  const bool needs_primary = item.kind != attempt_kind::kRead;
  refusal_type problem = refusal_type::kNone;
  if (record.term == 0) {
    problem = refusal_type::kNoPrimary;
  } else if (needs_primary && item.slot != record.primary) {
    problem = refusal_type::kSuperseded;
  } else if (needs_primary && !controller.IsPrimaryReady()) {
    problem = refusal_type::kNoPrimary;
  }
  if (problem == refusal_type::kNone) {
    return true;
  }
  ReportRefusal(item, problem, kLongRetryDelay, now);
  return false;
}

void statement_executor::ReportRefusal(const work_item& item,
                                       refusal_type type,
                                       milliseconds retry_after,
                                       core::time_point now) {
  core::statement_outcome outcome =
      Refuse(type, effect_state::kNotRun, retry_after);
  outcome.server = {item.work.database, item.slot};
  listener_.OnExecuted(item.origin, outcome, now);
}

bool statement_executor::Admit(backend_pool& pool,
                               const work_item& item,
                               core::time_point now) {
  const core::request_class priority = item.work.priority;
  const core::duration wait = pool.ExpectedWait(priority);
  refusal_type problem = refusal_type::kNone;
  const bool begins = item.kind == attempt_kind::kBegin;
  if (now >= item.work.deadline) {
    problem = refusal_type::kDeadlineExceeded;
  } else if (begins &&
             !pool.CanOpenTransaction(settings_.transaction_percent)) {
    problem = refusal_type::kOverloaded;
  } else if (statements_.Full() || now + wait > item.work.deadline) {
    problem = refusal_type::kOverloaded;
  }
  if (problem == refusal_type::kNone) {
    const std::uint64_t handle = statements_.Add(item);
    if (pool.Push(priority, handle)) {
      if (begins) {
        pool.OnTransactionOpening();
      }
      return true;
    }
    statements_.Remove(handle);
    problem = refusal_type::kOverloaded;
  }
  const milliseconds retry_after =
      std::max(kShortRetryDelay, core::ToMilliseconds(wait));
  ReportRefusal(item, problem, retry_after, now);
  return false;
}

void statement_executor::Dispatch(core::backend_server_id server,
                                  core::time_point now) {
  backend_pool* pool = PoolOf(server);
  if (pool == nullptr) {
    return;
  }
  while (const std::optional<backend_pool::started_work> next =
             pool->StartNext(now)) {
    work_item* item = statements_.Find(next->handle);
    item->holds_connection = true;
    Start(next->handle, *item, next->connection, now);
  }
}

void statement_executor::Start(std::uint64_t handle,
                               work_item& item,
                               std::uint32_t connection,
                               core::time_point now) {
  const group_controller& controller = *controllers_[item.work.database];
  item.state = work_state::kRunning;
  item.connection = connection;
  item.term = controller.Record().term;
  item.started_at = now;
  attempt work;
  work.id = handle;
  work.server = {item.work.database, item.slot};
  work.connection = connection;
  work.kind = item.kind;
  work.term = item.term;
  work.work = item.work;
  if (defects_.write_without_key) {
    work.work.has_key = false;
  }
  actions_.RunAttempt(work);
}

void statement_executor::ReleaseConnection(work_item& item,
                                           bool close,
                                           core::time_point now) {
  if (!item.holds_connection) {
    return;
  }
  item.holds_connection = false;
  const core::backend_server_id server{item.work.database, item.slot};
  ReturnToPool(server, item.connection, item.work.priority, close);
  if (!close) {
    PoolOf(server)->RecordServiceTime(now - item.started_at);
  }
}

void statement_executor::ReturnToPool(core::backend_server_id server,
                                      std::uint32_t connection,
                                      core::request_class priority,
                                      bool close) {
  const bool beyond_limit = PoolOf(server)->Release(connection, priority);
  if (close || beyond_limit) {
    actions_.CloseConnection(server, connection);
  }
}

void statement_executor::OnAttemptResult(const attempt_result& result,
                                         core::time_point now) {
  work_item* item = statements_.Find(result.id);
  if (item == nullptr || item->state != work_state::kRunning) {
    return;
  }
  group_controller& controller = *ControllerOf(item->work.database);
  item->status = result.status;
  item->observed_state = result.state;
  item->result = result.result;
  const core::backend_server_id server = result.server;
  const bool lost = result.status == attempt_status::kConnectionLost ||
                    result.status == attempt_status::kNotSent;
  const bool refused = result.status == attempt_status::kTooManyConnections;
  if (!lost && !refused) {
    controller.OnState(item->slot, result.state, item->started_at, now);
  }
  if (item->kind == attempt_kind::kBegin) {
    OpenTransaction(result.id, *item, now);
    Dispatch(server, now);
    return;
  }
  if (item->work.transaction.number != 0) {
    const std::uint64_t number = item->work.transaction.number;
    open_transaction* open = transactions_.Find(number);
    if (open != nullptr) {
      open->busy = false;
      open->last_used = now;
      const bool done = result.status == attempt_status::kDone;
      const bool ends = item->kind == attempt_kind::kCommit ||
                        item->kind == attempt_kind::kRollback;
      if (ends || !done) {
        CloseTransaction(number, ends && done, now);
      }
    }
  }
  if (refused && item->holds_connection) {
    PoolOf(server)->Pause(item->connection, now + settings_.connection_pause);
  }
  ReleaseConnection(*item, lost || refused, now);
  item->state = work_state::kAwaitingConfirmation;
  if (!TryFinish(result.id, *item, controller, now)) {
    waiting_[server.database].push_back(result.id);
    controller.OnConfirmationNeeded(item->observed_state.position.offset, now);
  }
  Dispatch(server, now);
}

core::statement_outcome statement_executor::MakeOutcome(
    const work_item& item) const {
  core::statement_outcome outcome;
  outcome.server = {item.work.database, item.slot};
  outcome.term = item.observed_state.adopted_term;
  outcome.at_primary = item.observed_state.is_primary;
  outcome.position = item.observed_state.position;
  outcome.result = item.result;
  outcome.transaction = item.work.transaction;
  return outcome;
}

bool statement_executor::CoversToken(const work_item& item) const {
  if (defects_.ignore_token) {
    return true;
  }
  if (defects_.compare_offset_only) {
    return item.observed_state.position.offset >= item.work.token.offset;
  }
  if (defects_.compare_adopted_term) {
    return core::log_position{item.observed_state.adopted_term,
                              item.observed_state.position.offset} >=
           item.work.token;
  }
  return item.observed_state.position >= item.work.token;
}

refusal_type statement_executor::RefusalForUncoveredToken(
    const work_item& item,
    bool at_primary) const {
  if (!at_primary) {
    return refusal_type::kNoEligibleServer;
  }
  // A token of a later term than the primary's shows that this instance's
  // record is outdated. A token of the same term is beyond the end of the log.
  return item.work.token.entry_term > item.observed_state.adopted_term
             ? refusal_type::kSuperseded
             : refusal_type::kTokenFromFuture;
}

// Finishes a statement if its outcome can already be decided. Returns false if
// its answer must wait for further reports.
bool statement_executor::TryFinish(std::uint64_t handle,
                                   work_item& item,
                                   group_controller& controller,
                                   core::time_point now) {
  switch (item.status) {
    case attempt_status::kWrongTerm:
      Finish(handle,
             Refuse(refusal_type::kSuperseded, effect_state::kNotRun,
                    kLongRetryDelay),
             now);
      return true;
    case attempt_status::kTooManyConnections:
    case attempt_status::kNotSent:
      Finish(handle,
             Refuse(refusal_type::kConnectionLost, effect_state::kNotRun,
                    kShortRetryDelay),
             now);
      return true;
    case attempt_status::kConnectionLost:
      Finish(handle,
             Refuse(refusal_type::kConnectionLost, EffectIfLost(item.kind),
                    kShortRetryDelay),
             now);
      return true;
    case attempt_status::kStatementFailed: {
      const bool at_replica = item.kind == attempt_kind::kRead &&
                              item.slot != controller.Record().primary;
      if (at_replica) {
        // A lagging replica may not have the objects that the statement uses
        // yet.
        Finish(handle,
               Refuse(refusal_type::kNoEligibleServer,
                      effect_state::kOutcomeUnknown, kLongRetryDelay),
               now);
        return true;
      }
      core::statement_outcome failed = MakeOutcome(item);
      failed.refusal = refusal_type::kStatementFailed;
      failed.effect = effect_state::kRolledBack;
      Finish(handle, failed, now);
      return true;
    }
    case attempt_status::kDone:
    case attempt_status::kAlreadyDone:
    case attempt_status::kTombstoned:
    case attempt_status::kKeyReused:
      break;
  }
  const bool write = IsWrite(item.kind);
  const bool in_transaction = item.kind == attempt_kind::kInTransaction ||
                              item.kind == attempt_kind::kRollback;
  const bool skip_confirmation =
      in_transaction || (write && defects_.acknowledge_unconfirmed) ||
      (item.kind == attempt_kind::kTombstone && defects_.unconfirmed_tombstone);
  if (skip_confirmation) {
    FinishConfirmed(handle, item, now);
    return true;
  }
  const confirmation_tracker& tracker = controller.Tracker();
  const bool any_term =
      defects_.ignore_term || (!write && defects_.read_any_term);
  if (item.observed_state.adopted_term != controller.Record().term &&
      !any_term) {
    // The term ended before the position was confirmed in it.
    Finish(handle,
           Refuse(refusal_type::kSuperseded, effect_state::kOutcomeUnknown,
                  kShortRetryDelay),
           now);
    return true;
  }
  if (!write) {
    return TryFinishRead(handle, item, controller, now);
  }
  const core::term_number observed_term =
      defects_.ignore_term ? controller.Record().term
                           : item.observed_state.adopted_term;
  if (!tracker.IsConfirmed(observed_term,
                           item.observed_state.position.offset)) {
    return false;
  }
  FinishConfirmed(handle, item, now);
  return true;
}

// Checks whether the answer of a read covers the token, is fresh enough and is
// confirmed, in this order.
bool statement_executor::TryFinishRead(std::uint64_t handle,
                                       work_item& item,
                                       group_controller& controller,
                                       core::time_point now) {
  const confirmation_tracker& tracker = controller.Tracker();
  const bool at_primary = item.slot == controller.Record().primary;
  if (!CoversToken(item)) {
    const bool may_catch_up =
        !at_primary &&
        item.work.token.entry_term <= item.observed_state.adopted_term;
    if (may_catch_up) {
      return WaitForCatchUp(handle, item, controller, item.work.token.offset,
                            now);
    }
    Finish(handle,
           Refuse(RefusalForUncoveredToken(item, at_primary),
                  effect_state::kOutcomeUnknown, kLongRetryDelay),
           now);
    return true;
  }
  const core::time_point since = item.work.arrived - item.work.max_staleness;
  const std::uint64_t offset = item.observed_state.position.offset;
  // The primary holds every write acknowledged in its term, so at the primary
  // only the term's validity at `since` must be checked.
  const bool fresh = at_primary ? tracker.ValidatedUntil() >= since
                                : tracker.ProvesFreshness(offset, since);
  if (!fresh && !defects_.trust_replica_age) {
    const std::optional<std::uint64_t> fresh_offset =
        at_primary ? std::nullopt : tracker.FreshOffset(since);
    if (fresh_offset.has_value() && *fresh_offset > offset) {
      return WaitForCatchUp(handle, item, controller, *fresh_offset, now);
    }
    return false;
  }
  const core::term_number observed_term =
      defects_.ignore_term ? controller.Record().term
                           : item.observed_state.adopted_term;
  if (!defects_.read_any_term && !tracker.IsConfirmed(observed_term, offset)) {
    return false;
  }
  FinishConfirmed(handle, item, now);
  return true;
}

// Schedules a read to run again once its replica has reached an offset. Returns
// true if its answer no longer has to wait for reports.
bool statement_executor::WaitForCatchUp(std::uint64_t handle,
                                        work_item& item,
                                        group_controller& controller,
                                        std::uint64_t offset,
                                        core::time_point now) {
  if (item.state != work_state::kCatchingUp &&
      item.catch_up_until == core::time_point()) {
    item.catch_up_until = now + settings_.catch_up_timeout;
  }
  const std::optional<core::duration> age =
      controller.Tracker().EstimatedAge(item.slot, now);
  const bool too_old = !age.has_value() || *age > kMaxCatchUpAge;
  if (now >= item.catch_up_until || too_old) {
    Finish(handle,
           Refuse(refusal_type::kNoEligibleServer,
                  effect_state::kOutcomeUnknown, kLongRetryDelay),
           now);
    return true;
  }
  item.state = work_state::kCatchingUp;
  item.needed_offset = offset;
  return RetryAfterCatchUp(handle, item, controller, now);
}

// Queues a read whose replica has caught up, or refuses it once its wait limit
// has passed. Returns false if it must keep waiting.
bool statement_executor::RetryAfterCatchUp(std::uint64_t handle,
                                           work_item& item,
                                           group_controller& controller,
                                           core::time_point now) {
  const std::optional<std::uint64_t> offset =
      controller.Tracker().ReportedOffset(item.slot);
  const core::backend_server_id server{item.work.database, item.slot};
  backend_pool* pool = PoolOf(server);
  const bool reached = offset.has_value() && *offset >= item.needed_offset;
  const bool can_run = pool != nullptr && pool->IsOpen(now);
  if (now < item.catch_up_until && !reached) {
    return false;
  }
  if (reached && can_run && pool->Push(item.work.priority, handle)) {
    item.state = work_state::kQueued;
    Dispatch(server, now);
    return true;
  }
  Finish(handle,
         Refuse(refusal_type::kNoEligibleServer, effect_state::kOutcomeUnknown,
                kLongRetryDelay),
         now);
  return true;
}

std::uint64_t statement_executor::CatchUpOffset(
    core::backend_server_id server) const {
  std::uint64_t needed = 0;
  const auto found = waiting_.find(server.database);
  if (found == waiting_.end()) {
    return needed;
  }
  for (const std::uint64_t handle : found->second) {
    const work_item* item = statements_.Find(handle);
    if (item != nullptr && item->state == work_state::kCatchingUp &&
        item->slot == server.slot) {
      needed = std::max(needed, item->needed_offset);
    }
  }
  return needed;
}

void statement_executor::FinishConfirmed(std::uint64_t handle,
                                         const work_item& item,
                                         core::time_point now) {
  core::statement_outcome outcome = MakeOutcome(item);
  const bool tombstone = item.kind == attempt_kind::kTombstone;
  if (item.status == attempt_status::kAlreadyDone) {
    outcome.already_done = true;
  } else if (item.status == attempt_status::kKeyReused) {
    outcome.refusal = refusal_type::kRequestIdReused;
  } else if (item.status == attempt_status::kTombstoned || tombstone) {
    outcome.refusal = refusal_type::kCancelled;
  }
  Finish(handle, outcome, now);
}

void statement_executor::Finish(std::uint64_t handle,
                                core::statement_outcome outcome,
                                core::time_point now) {
  work_item* item = statements_.Find(handle);
  outcome.server = {item->work.database, item->slot};
  if (item->kind == attempt_kind::kBegin && !outcome.Succeeded()) {
    PoolOf(outcome.server)->OnTransactionEnded();
  }
  work_origin origin = item->origin;
  if (defects_.answer_oldest_request) {
    // Pairs answers with requests by order instead of by identity.
    core::time_point oldest = core::time_point::max();
    statements_.ForEach([&](std::uint64_t, work_item& other) {
      if (other.state != work_state::kQueued && other.started_at < oldest &&
          other.kind == item->kind) {
        oldest = other.started_at;
        origin = other.origin;
      }
    });
  }
  statements_.Remove(handle);
  listener_.OnExecuted(origin, outcome, now);
}

void statement_executor::OnControllerChanged(group_controller& controller,
                                             core::time_point now) {
  const auto found = waiting_.find(controller.Database());
  if (found == waiting_.end()) {
    return;
  }
  std::erase_if(found->second, [&](std::uint64_t handle) {
    work_item* item = statements_.Find(handle);
    if (item == nullptr) {
      return true;
    }
    return item->state == work_state::kCatchingUp
               ? RetryAfterCatchUp(handle, *item, controller, now)
               : TryFinish(handle, *item, controller, now);
  });
}

void statement_executor::OnTick(core::time_point now) {
  statements_.ForEach([&](std::uint64_t handle, work_item& item) {
    if (now >= item.work.deadline) {
      ExpireStatement(handle, item, now);
    }
  });
  EndIdleTransactions(now);
  for (auto& [server, pool] : pools_) {
    Dispatch(server, now);
  }
}

effect_state statement_executor::EffectIfLost(attempt_kind kind) const {
  if (defects_.not_run_without_tombstone) {
    return effect_state::kNotRun;
  }
  // A transaction whose connection is closed before its commit is rolled back.
  const bool before_commit =
      kind == attempt_kind::kInTransaction || kind == attempt_kind::kRollback;
  return before_commit ? effect_state::kRolledBack
                       : effect_state::kOutcomeUnknown;
}

void statement_executor::ExpireStatement(std::uint64_t handle,
                                         work_item& item,
                                         core::time_point now) {
  const core::backend_server_id server{item.work.database, item.slot};
  effect_state effect = effect_state::kNotRun;
  if (item.state == work_state::kQueued) {
    if (backend_pool* pool = PoolOf(server); pool != nullptr) {
      pool->Erase(item.work.priority, handle);
    }
  } else {
    effect = EffectIfLost(item.kind);
  }
  if (item.state == work_state::kRunning) {
    const std::uint64_t number = item.work.transaction.number;
    if (number != 0) {
      CloseTransaction(number, false, now);
    }
    ReleaseConnection(item, !defects_.reuse_busy_connection, now);
  }
  Finish(handle,
         Refuse(refusal_type::kDeadlineExceeded, effect, kShortRetryDelay),
         now);
}

void statement_executor::SubmitInTransaction(work_item item,
                                             core::time_point now) {
  const std::uint64_t number = item.work.transaction.number;
  open_transaction* open = transactions_.Find(number);
  refusal_type problem = refusal_type::kNone;
  const bool of_this_process =
      item.work.transaction.executor == self_ &&
      item.work.transaction.incarnation == incarnation_;
  if (!of_this_process || open == nullptr ||
      open->server.database != item.work.database) {
    problem = refusal_type::kTransactionUnknown;
  } else if (open->busy) {
    problem = refusal_type::kTransactionBusy;
  } else if (statements_.Full()) {
    problem = refusal_type::kOverloaded;
  }
  if (problem != refusal_type::kNone) {
    ReportRefusal(item, problem, milliseconds(0), now);
    return;
  }
  open->busy = true;
  open->last_used = now;
  item.slot = open->server.slot;
  const std::uint32_t connection = open->connection;
  const core::term_number term = open->term;
  const std::uint64_t handle = statements_.Add(std::move(item));
  work_item* added = statements_.Find(handle);
  added->state = work_state::kRunning;
  added->connection = connection;
  added->term = term;
  attempt work;
  work.id = handle;
  work.server = {added->work.database, added->slot};
  work.connection = connection;
  work.kind = added->kind;
  work.term = term;
  work.work = added->work;
  actions_.RunAttempt(work);
}

void statement_executor::OpenTransaction(std::uint64_t handle,
                                         work_item& item,
                                         core::time_point now) {
  if (item.status != attempt_status::kDone || transactions_.Full()) {
    const bool server_full = item.status == attempt_status::kDone;
    ReleaseConnection(item, true, now);
    Finish(handle,
           Refuse(server_full ? refusal_type::kOverloaded
                              : refusal_type::kNoPrimary,
                  effect_state::kNotRun, kLongRetryDelay),
           now);
    return;
  }
  open_transaction open;
  open.server = {item.work.database, item.slot};
  open.priority = item.work.priority;
  open.connection = item.connection;
  open.term = item.term;
  open.last_used = now;
  // The transaction keeps the connection of the statement that opened it.
  item.holds_connection = false;
  core::statement_outcome outcome = MakeOutcome(item);
  outcome.transaction = {self_, incarnation_, transactions_.Add(open)};
  Finish(handle, outcome, now);
}

void statement_executor::CloseTransaction(std::uint64_t number,
                                          bool clean,
                                          core::time_point now) {
  const open_transaction* open = transactions_.Find(number);
  if (open == nullptr) {
    return;
  }
  const open_transaction closed = *open;
  transactions_.Remove(number);
  PoolOf(closed.server)->OnTransactionEnded();
  // Closing a connection makes the server roll back its open transaction.
  ReturnToPool(closed.server, closed.connection, closed.priority, !clean);
  Dispatch(closed.server, now);
}

void statement_executor::EndIdleTransactions(core::time_point now) {
  transactions_.ForEach([&](std::uint64_t number, open_transaction& open) {
    if (!open.busy &&
        now - open.last_used >= settings_.transaction_idle_timeout) {
      CloseTransaction(number, false, now);
    }
  });
}

bool statement_executor::HasPendingAnswers(core::database_id database) const {
  const auto found = waiting_.find(database);
  return found != waiting_.end() && !found->second.empty();
}

std::uint64_t statement_executor::NeededOffset(
    core::database_id database) const {
  std::uint64_t needed = 0;
  const auto found = waiting_.find(database);
  if (found == waiting_.end()) {
    return needed;
  }
  for (const std::uint64_t handle : found->second) {
    const work_item* item = statements_.Find(handle);
    if (item != nullptr) {
      needed = std::max(needed, item->observed_state.position.offset);
    }
  }
  return needed;
}

core::time_point statement_executor::NeededFreshness(
    core::database_id database) const {
  core::time_point needed = core::time_point::min();
  const auto found = waiting_.find(database);
  if (found == waiting_.end()) {
    return needed;
  }
  for (const std::uint64_t handle : found->second) {
    const work_item* item = statements_.Find(handle);
    if (item != nullptr && !IsWrite(item->kind)) {
      needed = std::max(needed, item->work.arrived - item->work.max_staleness);
    }
  }
  return needed;
}

std::size_t statement_executor::Unfinished() const {
  return statements_.Size() + transactions_.Size();
}

}  // namespace plantaintiller::decisions
