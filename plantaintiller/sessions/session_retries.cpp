// Retries, time-outs and the ends of the requests of a session. The rest of the
// class is in session_engine.cpp.

#include <algorithm>
#include <utility>

#include "plantaintiller/admission/group_admission.h"
#include "plantaintiller/sessions/session_engine.h"

namespace plantaintiller::sessions {

void session_engine::OnConnectionLost() {
  ReportUnresponsive(phase_ == phase::kIdle ? host_.Now() : sent_,
                     balancing::request_outcome::kLost);
  ReleaseConnection(release_kind::kBroken);
  switch (phase_) {
    case phase::kIdle:
      transaction_ = transaction::kLost;
      last_reason_ = "connection_lost";
      return;
    case phase::kBeginning:
      Retry("connection_lost", !NeedsLeader());
      return;
    case phase::kRunning:
      break;
    case phase::kCheckingLeader:
      // The answer has arrived.
      return;
    default:
      // The session was pausing inside a transaction.
      FailTransaction("connection_lost");
      return;
  }
  if (IsCommit()) {
    transaction_ = transaction::kNone;
    AbandonRequest(
        transaction_wrote_ ? failure_code::kInDoubt : failure_code::kAborted,
        "connection_lost");
  } else if (CanRestartTransaction()) {
    RestartTransaction("connection_lost", release_kind::kBroken);
  } else if (HasTransaction()) {
    FailTransaction("connection_lost");
  } else if (current_writes_) {
    AbandonRequest(failure_code::kInDoubt, "connection_lost");
  } else {
    Retry("connection_lost", !NeedsLeader());
  }
}

void session_engine::Retry(const char* reason, bool exclude) {
  last_reason_ = reason;
  LogRequest("retry", reason);
  if (refusal_reason_ != nullptr) {
    RefuseUnsent();
    return;
  }
  if (attempts_ >= settings_.max_attempts || host_.Now() >= WaitDeadline()) {
    AbandonRequest(failure_code::kBusy, reason);
    return;
  }
  if (!TakeRetry(exclude)) {
    AbandonRequest(failure_code::kBusy, "retry_budget");
    return;
  }
  if (!exclude) {
    if (HasOtherLeader()) {
      excluded_.push_back(server_);
      StartAttempt();
      return;
    }
    PauseThenRetry(settings_.busy_pause);
    return;
  }
  excluded_.push_back(server_);
  replication::group_state* group = host_.Group(route_->group);
  if (group == nullptr ||
      group->ReadOrder(excluded_, host_.Now(), PositionForRead()).empty()) {
    excluded_.clear();
    PauseThenRetry(settings_.busy_pause);
    return;
  }
  StartAttempt();
}

bool session_engine::CanRestartTransaction() const {
  const replication::group_state* group = host_.Group(route_->group);
  return group != nullptr && group->Balancer() != nullptr && HasTransaction() &&
         transaction_read_only_ && !transaction_answered_ && !IsCommit() &&
         !current_writes_ && !NeedsLeader();
}

void session_engine::RestartTransaction(const char* reason, release_kind kind) {
  ReleaseConnection(kind);
  transaction_ = transaction::kDeferred;
  Retry(reason, true);
}

bool session_engine::HasOtherLeader() const {
  const replication::group_state* group = host_.Group(route_->group);
  if (group == nullptr || group->Balancer() == nullptr) {
    return false;
  }
  // Two servers that each name the other one would use up all attempts.
  const std::string& leader = group->Leader();
  return !leader.empty() && leader != server_ &&
         std::find(excluded_.begin(), excluded_.end(), leader) ==
             excluded_.end();
}

void session_engine::PauseThenRetry(core::milliseconds pause) {
  phase_ = phase::kAwaitingRetry;
  host_.SetTimer(std::min(host_.Now() + pause, deadline_));
}

void session_engine::OnTimer() {
  switch (phase_) {
    case phase::kIdle:
      if (transaction_ == transaction::kOpen) {
        AbandonTransaction("idle");
      }
      return;
    case phase::kAcquiring:
      if (AwaitsLeader() && host_.Now() < deadline_) {
        host_.SetTimer(deadline_);
        return;
      }
      if (admission::group_admission* control = Admission();
          control != nullptr && MayWaitBeyondObjective(*control)) {
        // Decided on again, because a server may hang.
        host_.SetTimer(std::min(host_.Now() + route_->latency_objective,
                                control->LastStart(Requirements())));
        return;
      }
      if (host_.Now() < WaitDeadline() && !IsOverloaded()) {
        // Slots are free and only a connection is missing, which is being
        // opened.
        host_.SetTimer(WaitDeadline());
        return;
      }
      host_.CancelAcquire();
      AbandonRequest(failure_code::kBusy,
                     IsOverloaded() ? "overloaded" : last_reason_);
      return;
    case phase::kAwaitingRetry:
      if (host_.Now() >= deadline_) {
        if (IsCommit() && connection_ != nullptr) {
          ReleaseConnection(release_kind::kRollBack);
          transaction_ = transaction::kNone;
          AbandonRequest(failure_code::kAborted, last_reason_);
        } else {
          AbandonRequest(failure_code::kBusy, last_reason_);
        }
      } else if (connection_ != nullptr) {
        SendWithPermit();
      } else {
        StartAttempt();
      }
      return;
    case phase::kAwaitingPermit:
      // The statement was not sent.
      ReleaseConnection(release_kind::kRollBack);
      FailTransaction("no_turn");
      return;
    case phase::kCheckingLeader:
      CancelLeadershipCheck();
      check_result_ = replication::leadership_result::kUnproven;
      OnLeaderNotConfirmed();
      return;
    case phase::kBeginning:
      if (outstanding_.empty() && !checked_group_.empty()) {
        CancelLeadershipCheck();
        check_result_ = replication::leadership_result::kUnproven;
        OnLeaderNotConfirmed();
        return;
      }
      ReportUnresponsive(sent_, balancing::request_outcome::kTimedOut);
      ReleaseConnection(release_kind::kBroken);
      Retry("proof_timeout", !NeedsLeader());
      return;
    case phase::kSettingUp:
      ReportUnresponsive(sent_, balancing::request_outcome::kTimedOut);
      ReleaseConnection(release_kind::kBroken);
      FailTransaction("timeout");
      return;
    case phase::kRunning:
      OnRunningTimeout();
      return;
  }
}

void session_engine::OnRunningTimeout() {
  replication::group_state* group = host_.Group(route_->group);
  if (group != nullptr && (current_writes_ || IsCommit())) {
    group->OnWriteOutcome(server_, false);
  }
  ReportUnresponsive(sent_, balancing::request_outcome::kTimedOut);
  ReleaseConnection(release_kind::kBroken);
  if (IsCommit()) {
    transaction_ = transaction::kNone;
    AbandonRequest(
        transaction_wrote_ ? failure_code::kInDoubt : failure_code::kAborted,
        "timeout");
  } else if (HasTransaction()) {
    FailTransaction("timeout");
  } else {
    AbandonRequest(
        current_writes_ ? failure_code::kInDoubt : failure_code::kTimeout,
        "timeout");
  }
}

void session_engine::RefuseFurtherWork(const char* reason) {
  refusal_reason_ = reason;
  switch (phase_) {
    case phase::kIdle:
      AbandonTransaction(reason);
      return;
    case phase::kAcquiring:
      host_.CancelAcquire();
      RefuseUnsent();
      return;
    case phase::kAwaitingRetry:
    case phase::kAwaitingPermit:
      RefuseUnsent();
      return;
    case phase::kBeginning:
    case phase::kSettingUp:
    case phase::kRunning:
    case phase::kCheckingLeader:
      return;
  }
}

void session_engine::RefuseUnsent() {
  AbandonRequest(failure_code::kBusy, refusal_reason_);
}

void session_engine::AbandonTransaction(const char* reason) {
  if (!HasTransaction()) {
    return;
  }
  ReleaseConnection(release_kind::kRollBack);
  if (transaction_ != transaction::kFailed) {
    transaction_ = transaction::kLost;
    last_reason_ = reason;
  }
}

void session_engine::AbandonRequest(failure_code code, const char* reason) {
  if (HasTransaction()) {
    FailTransaction(reason);
    return;
  }
  const bool not_run =
      code == failure_code::kBusy || code == failure_code::kAborted;
  FinishFailure(code, not_run ? WithRetryAfter(reason) : reason,
                session_state::kIdle);
}

std::string session_engine::WithRetryAfter(const char* reason) {
  const bool unproven =
      check_result_ == replication::leadership_result::kUnproven;
  sends_caller_elsewhere_ |= unproven;
  admission::group_admission* control = Admission();
  const core::milliseconds pause =
      unproven || LeaderUnavailableTime() > core::duration(0)
          ? settings_.leader_retry_after
      : control != nullptr
          ? AnnounceReturn(*control, reason)
          : route_->latency_objective / settings_.overload_divisor;
  return std::string(reason) +
         " retry-after-ms=" + std::to_string(pause.count());
}

void session_engine::FailTransaction(const char* reason) {
  ReleaseConnection(release_kind::kRollBack);
  // A transaction leaves no effect before its commit was sent.
  transaction_ = IsCommit() ? transaction::kNone : transaction::kFailed;
  FinishFailure(failure_code::kAborted, WithRetryAfter(reason), State());
}

void session_engine::FinishFailure(failure_code code,
                                   const std::string& text,
                                   session_state state) {
  host_.CountStatement(route_.has_value() ? &*route_ : nullptr, false,
                       host_.Now() - arrived_, FailureName(code));
  LogRequest("refuse", std::string(FailureName(code)) + " " + text);
  std::string out;
  host_.Callers().AppendFailure(out, code, text);
  host_.Callers().AppendReady(out, state, std::nullopt);
  EndRequest();
  host_.Reply(out);
  SendCallerElsewhere();
}

void session_engine::FinishSuccess(const server_reply& reply,
                                   session_state state) {
  std::string out;
  for (const std::string& row : reply.rows) {
    host_.Callers().AppendRow(out, row);
  }
  host_.Callers().AppendSuccess(out, reply.receipt);
  host_.Callers().AppendReady(out, state, reply.position);
  EndRequest();
  host_.Reply(out);
  SendCallerElsewhere();
}

void session_engine::SendCallerElsewhere() {
  if (!sends_caller_elsewhere_ || State() != session_state::kIdle) {
    return;
  }
  LogRequest("close", "leader_unproven");
  host_.EndIdle(failure_code::kBusy, "leader_unproven");
}

void session_engine::EndRequest() {
  phase_ = phase::kIdle;
  outstanding_.clear();
  if (transaction_ == transaction::kOpen) {
    host_.SetTimer(host_.Now() + host_.Routes().transaction_idle_timeout);
  } else {
    host_.ClearTimer();
  }
  if (refusal_reason_ != nullptr) {
    AbandonTransaction(refusal_reason_);
  }
}

void session_engine::ReleaseConnection(release_kind kind) {
  if (!kept_reply_.has_value()) {
    CancelLeadershipCheck();
  }
  if (connection_ == nullptr) {
    return;
  }
  server_connection* connection = connection_;
  connection_ = nullptr;
  if (std::find(outstanding_.begin(), outstanding_.end(),
                command_kind::kSetting) != outstanding_.end()) {
    // Nobody sees whether the set-up succeeds.
    connection->State().is_known = false;
  }
  outstanding_.clear();
  if (phase_ == phase::kAwaitingPermit) {
    host_.CancelPermit(*connection);
  }
  connection->Release(kind);
}

}  // namespace plantaintiller::sessions
