#include <algorithm>

#include "plantaintiller/admission/group_admission.h"
#include "plantaintiller/sessions/session_engine.h"

namespace plantaintiller::sessions {

namespace {

/// How often callers come back with a refused operation.
constexpr int kMaxReturns = 2;

}  // namespace

connection_requirements session_engine::Requirements() const {
  connection_requirements need;
  need.group = route_->group;
  need.leader = NeedsLeader();
  need.transaction = HasTransaction();
  if (!need.leader) {
    need.position = PositionForRead();
  }
  need.excluded = excluded_;
  need.priority = route_->priority;
  need.objective_at = operation_since_ + route_->latency_objective;
  need.deadline_at = deadline_;
  need.time_limit = route_->statement_timeout;
  need.account = access_.Account();
  need.returning = returns_ > 0;
  return need;
}

admission::group_admission* session_engine::Admission() const {
  return settings_.deadline_admission && route_.has_value()
             ? host_.Admission(route_->group)
             : nullptr;
}

void session_engine::BeginOperation() {
  // A caller that comes back earlier than announced is a newcomer: places are
  // kept for the announced times only. One that is much later has given up.
  const bool returns = return_at_.has_value() && arrived_ >= *return_at_ &&
                       arrived_ <= *return_at_ + route_->latency_objective;
  if (returns) {
    returns_ += 1;
  } else {
    returns_ = 0;
    operation_since_ = arrived_;
  }
  if (return_at_.has_value() && arrived_ >= *return_at_) {
    return_at_.reset();
  }
}

bool session_engine::MayWaitBeyondObjective(
    admission::group_admission& control) const {
  if (LeaderUnavailableTime() >= settings_.leader_wait_limit && NeedsLeader()) {
    return false;
  }
  const connection_requirements need = Requirements();
  const core::time_point now = host_.Now();
  if (now >= control.LastStart(need)) {
    return false;
  }
  // With room and no progress, connections to the servers are missing.
  return control.HasRoom(need, now) ? control.LastEnded(need, now) >= arrived_
                                    : control.CanStillBeServed(need, now);
}

bool session_engine::TakeRetry(bool exclude) const {
  admission::group_admission* control = Admission();
  if (control == nullptr) {
    return true;
  }
  connection_requirements need = Requirements();
  if (exclude) {
    need.excluded.push_back(server_);
  }
  return control->TryRetry(need, host_.Now());
}

core::milliseconds session_engine::AnnounceReturn(
    admission::group_admission& control,
    const char* reason) {
  const connection_requirements need = Requirements();
  const core::time_point now = host_.Now();
  control.OnRefused(reason, need, now);
  const admission::return_time announced = control.RetryAfter(
      need, returns_ < kMaxReturns,
      route_->latency_objective / settings_.overload_divisor, now);
  return_at_.reset();
  if (announced.place_kept) {
    return_at_ = now + announced.pause;
  }
  return announced.pause;
}

}  // namespace plantaintiller::sessions
