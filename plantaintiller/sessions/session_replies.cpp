// Servers' answers to the statements of a session. The rest of the class is in
// session_engine.cpp.

#include <algorithm>
#include <utility>

#include "plantaintiller/admission/group_admission.h"
#include "plantaintiller/sessions/session_engine.h"

namespace plantaintiller::sessions {

namespace {

bool IsNotRun(failure_code code) {
  return code == failure_code::kBusy || code == failure_code::kAborted ||
         code == failure_code::kLagging || code == failure_code::kReadOnly ||
         code == failure_code::kWrongServer ||
         code == failure_code::kTooManyConnections ||
         code == failure_code::kNoStatement;
}

/// @return the outcome of a request that a server answered with a failure. Only
/// some failures are faults of the server.
balancing::request_outcome OutcomeOf(failure_code code) {
  switch (code) {
    case failure_code::kBusy:
      return balancing::request_outcome::kBusy;
    case failure_code::kFailed:
    case failure_code::kTimeout:
    case failure_code::kWrongServer:
    case failure_code::kOther:
      return balancing::request_outcome::kFailed;
    default:
      return balancing::request_outcome::kRefused;
  }
}

}  // namespace

void session_engine::OnReply(server_reply reply) {
  if (outstanding_.empty()) {
    return;
  }
  const command_kind role = outstanding_.front();
  outstanding_.pop_front();
  switch (role) {
    case command_kind::kSetting:
      OnSetUpAnswer(reply);
      break;
    case command_kind::kBegin:
    case command_kind::kBeginReadOnly:
      if (!reply.succeeded) {
        begin_failed_ = true;
        begin_failure_ = reply.failure;
        begin_failure_unclear_ = reply.may_be_repeated;
      } else if (reply.position.has_value() && !reply.may_be_repeated) {
        proved_position_ = reply.position;
      }
      break;
    case command_kind::kRollback:
      break;
    case command_kind::kStatement:
    case command_kind::kCommit:
      OnStatementReply(reply);
      return;
    case command_kind::kStart:
    case command_kind::kStatus:
      // Not sent by sessions.
      return;
  }
  if (phase_ == phase::kSettingUp && outstanding_.empty()) {
    OnSetUpInTransaction(reply.state);
    return;
  }
  if (phase_ != phase::kBeginning) {
    return;
  }
  if (outstanding_.empty()) {
    OnBeginAnswered();
  } else if (role == command_kind::kRollback && begin_failed_) {
    // The read behind it may still run; its answer is not used.
    OnBeginAnswered();
  } else if (role == command_kind::kRollback) {
    phase_ = phase::kRunning;
    host_.SetTimer(sent_ + route_->statement_timeout);
  }
}

void session_engine::OnBeginAnswered() {
  if (replication::group_state* answering = host_.Group(route_->group)) {
    answering->OnSuccess(server_);
  }
  if (begin_failed_) {
    OnBeginRefused();
    return;
  }
  if (check_requested_ && !check_result_.has_value()) {
    // `OnLeadershipChecked` follows.
    return;
  }
  replication::group_state* group = host_.Group(route_->group);
  if (group != nullptr && proved_position_.has_value() && check_requested_) {
    group->Proofs().OnProof(sent_, *proved_position_);
    group->OnLeaderSeen(server_, proved_position_->entry_term, host_.Now());
  }
  if (refusal_reason_ != nullptr) {
    // Only the test of the connection, or BEGIN, was sent.
    ReleaseConnection(HasTransaction() ? release_kind::kRollBack
                                       : release_kind::kClean);
    RefuseUnsent();
    return;
  }
  if (HasTransaction()) {
    transaction_ = transaction::kOpen;
    SendWithPermit();
    return;
  }
  if (!HasAccess()) {
    // A configuration has withdrawn the key during the test of the connection.
    ReleaseConnection(release_kind::kClean);
    RefuseAccess();
    return;
  }
  SendRequest();
}

void session_engine::OnBeginRefused() {
  RecordOutcome(OutcomeOf(begin_failure_), sent_);
  RecordServerFailure(begin_failure_);
  const bool belongs_to_begin = begin_failure_ == failure_code::kReadOnly ||
                                begin_failure_ == failure_code::kLagging;
  if (set_up_.IsUnclear() && !belongs_to_begin) {
    connection_->State().is_known = false;
  }
  // Refused set-up does not keep the server from running BEGIN behind it.
  const bool may_have_begun =
      !outstanding_.empty() || (HasTransaction() && set_up_.Refusal());
  ReleaseConnection(begin_failure_unclear_ ? release_kind::kBroken
                    : may_have_begun       ? release_kind::kRollBack
                                           : release_kind::kClean);
  Retry(FailureName(begin_failure_), !NeedsLeader());
}

void session_engine::OnSetUpAnswer(const server_reply& reply) {
  set_up_.OnAnswer(reply, connection_->State());
  if (!reply.succeeded) {
    begin_failed_ = true;
    begin_failure_ = reply.failure;
    LogRequest("set_up_refused", FailureName(reply.failure));
    host_.CountEvent("set_up_refusals");
  }
}

void session_engine::OnSetUpInTransaction(session_state state) {
  const std::optional<failure_code> refusal = set_up_.Refusal();
  if (!refusal.has_value() && refusal_reason_ != nullptr) {
    RefuseUnsent();
    return;
  }
  if (!refusal.has_value()) {
    OnPermit();
    return;
  }
  host_.ReleasePermit(*connection_, false);
  RecordOutcome(OutcomeOf(*refusal), sent_);
  RecordServerFailure(*refusal);
  if (connection_->State().is_known && CanRetryInTransaction(*refusal, state)) {
    PauseThenRetry(settings_.busy_pause);
    return;
  }
  ReleaseConnection(release_kind::kRollBack);
  FailTransaction(FailureName(*refusal));
}

bool session_engine::CanRetryInTransaction(failure_code code,
                                           session_state state) const {
  return code == failure_code::kBusy &&
         state == session_state::kInTransaction && refusal_reason_ == nullptr &&
         host_.Now() + settings_.busy_pause < deadline_;
}

void session_engine::OnStatementReply(const server_reply& reply) {
  if (HasTransaction()) {
    host_.ReleasePermit(*connection_, reply.succeeded && !current_writes_);
  }
  replication::group_state* group = host_.Group(route_->group);
  if (group != nullptr) {
    group->OnSuccess(server_);
  }
  if (group != nullptr && (current_writes_ || IsCommit())) {
    group->OnWriteOutcome(server_, true);
  }
  if (reply.succeeded && (reply.receipt.empty() || reply.receipt == "-")) {
    // This is not the answer to the statement: an earlier answer was lost.
    OnConnectionLost();
    return;
  }
  RecordOutcome(reply.succeeded ? balancing::request_outcome::kAnswered
                                : OutcomeOf(reply.failure),
                sent_);
  if (NeedsCheck(reply)) {
    kept_reply_ = reply;
    phase_ = phase::kCheckingLeader;
    if (checked_group_.empty()) {
      RequestLeadershipCheck(ConfirmedCommit(reply));
    }
    return;
  }
  if (reply.succeeded) {
    OnSuccess(reply);
  } else {
    OnFailure(reply);
  }
}

void session_engine::OnSuccess(const server_reply& reply) {
  replication::group_state* group = host_.Group(route_->group);
  const bool committed = CommitsWrites();
  if (committed && reply.position.has_value()) {
    last_commit_ = std::max(last_commit_, *reply.position);
  }
  // A commit whose leader was checked only after its answer proves nothing
  // about the time at which it was sent unless a replica has confirmed it.
  const bool proves_leadership =
      committed ? group != nullptr && group->CommitsProveLeadership()
                : check_requested_ && !HasTransaction();
  if (proves_leadership && group != nullptr && reply.position.has_value()) {
    group->Proofs().OnProof(sent_, *reply.position);
    group->OnLeaderSeen(server_, reply.position->entry_term, host_.Now());
    if (committed) {
      host_.OnCommitConfirmed(route_->group, server_, sent_);
    }
  }
  const bool at_leader = group != nullptr && group->Leader() == server_;
  if (admission::group_admission* control = Admission()) {
    control->OnSuccess();
  }
  transaction_answered_ = HasTransaction();
  host_.CountStatement(&*route_, at_leader, host_.Now() - arrived_, nullptr);
  LogRequest("answer", "ok");
  if (IsCommit()) {
    transaction_ = transaction::kNone;
  }
  if (!HasTransaction()) {
    ReleaseConnection(release_kind::kClean);
  }
  FinishSuccess(reply, State());
}

void session_engine::RecordServerFailure(failure_code code) {
  replication::group_state* group = host_.Group(route_->group);
  if (group == nullptr) {
    return;
  }
  switch (code) {
    case failure_code::kReadOnly:
      group->OnNotLeader(server_, host_.Now());
      host_.OnNotLeader(route_->group, server_);
      break;
    case failure_code::kLagging:
      group->OnLagging(server_,
                       requested_position_.value_or(core::log_position{}),
                       host_.Now());
      break;
    case failure_code::kBusy:
      group->OnBusy(server_, host_.Now());
      break;
    default:
      group->OnStatementFailed(server_, host_.Now());
      break;
  }
}

void session_engine::OnFailure(const server_reply& reply) {
  RecordServerFailure(reply.failure);
  const bool not_run = IsNotRun(reply.failure);
  if (reply.failure == failure_code::kNoStatement && connection_ != nullptr) {
    connection_->State().prepared.clear();
  }
  if (not_run && CanRestartTransaction()) {
    RestartTransaction(FailureName(reply.failure), release_kind::kRollBack);
    return;
  }
  if (HasTransaction()) {
    if (CanRetryInTransaction(reply.failure, reply.state)) {
      PauseThenRetry(settings_.busy_pause);
      return;
    }
    if (IsCommit()) {
      OnCommitFailure(reply, not_run);
      return;
    }
    ReleaseConnection(release_kind::kRollBack);
    FailTransaction(FailureName(reply.failure));
    return;
  }
  ReleaseConnection(release_kind::kClean);
  if (not_run || !current_writes_) {
    Retry(FailureName(reply.failure), !NeedsLeader());
    return;
  }
  AbandonRequest(reply.failure == failure_code::kFailed
                     ? failure_code::kFailed
                     : failure_code::kInDoubt,
                 FailureName(reply.failure));
}

void session_engine::OnCommitFailure(const server_reply& reply, bool not_run) {
  ReleaseConnection(release_kind::kRollBack);
  transaction_ = transaction::kNone;
  const bool nothing_kept = not_run || !transaction_wrote_;
  AbandonRequest(nothing_kept ? failure_code::kAborted : failure_code::kInDoubt,
                 FailureName(reply.failure));
}

void session_engine::RecordOutcome(balancing::request_outcome outcome,
                                   core::time_point sent) {
  replication::group_state* group = host_.Group(route_->group);
  balancing::load_balancer* balancer =
      group == nullptr ? nullptr : group->Balancer();
  if (balancer != nullptr) {
    const bool is_placed_read =
        HasTransaction() ? transaction_read_only_ && !IsCommit()
                         : !current_writes_ && !check_requested_ &&
                               !(phase_ == phase::kBeginning && NeedsLeader());
    balancer->OnOutcome(server_,
                        is_placed_read ? balancing::request_kind::kRead
                                       : balancing::request_kind::kLeaderWork,
                        outcome, sent, host_.Now());
  }
}

void session_engine::ReportUnresponsive(core::time_point sent,
                                        balancing::request_outcome outcome) {
  replication::group_state* group =
      route_.has_value() ? host_.Group(route_->group) : nullptr;
  if (group != nullptr) {
    RecordOutcome(outcome, sent);
    group->OnUnresponsive(server_, sent, host_.Now());
    host_.OnServerUnresponsive(route_->group, server_);
  }
}

}  // namespace plantaintiller::sessions
