// Requests of a session that only the leader may answer, and the checks that it
// is the leader. The rest of the class is in session_engine.cpp.

#include <algorithm>
#include <utility>

#include "plantaintiller/sessions/session_engine.h"

namespace plantaintiller::sessions {

void session_engine::SendLeaderRead() {
  std::string out;
  host_.Servers().AppendBegin(out, false, std::nullopt);
  outstanding_.push_back(command_kind::kBegin);
  host_.Servers().AppendRollback(out);
  outstanding_.push_back(command_kind::kRollback);
  // A leader that restarted empty lacks the newest proved position.
  replication::group_state* group = host_.Group(route_->group);
  std::optional<core::log_position> position =
      group == nullptr ? std::nullopt : group->Proofs().NewestPosition();
  if (position.has_value() &&
      route_->kind == core::consistency::kReadYourWrites) {
    position = std::max(*position, last_commit_);
  }
  requested_position_ = position;
  AppendCurrent(out, position);
  outstanding_.push_back(IsCommit() ? command_kind::kCommit
                                    : command_kind::kStatement);
  phase_ = phase::kBeginning;
  sent_ = host_.Now();
  attempt_sent_ = true;
  host_.SetTimer(sent_ + settings_.proof_timeout);
  LogRequest("sent", "read");
  SendCommands(out);
  RequestLeadershipCheck();
}

void session_engine::RequestLeadershipCheck(
    std::optional<replication::acknowledged_commit> commit) {
  check_requested_ = true;
  check_result_.reset();
  checked_group_ = route_->group;
  host_.RequestLeadershipCheck(checked_group_, server_, commit, *this);
}

void session_engine::CancelLeadershipCheck() {
  if (!checked_group_.empty()) {
    host_.CancelLeadershipCheck(std::exchange(checked_group_, ""), *this);
  }
}

void session_engine::OnLeadershipChecked(
    replication::leadership_result result) {
  checked_group_.clear();
  check_result_ = result;
  if (result == replication::leadership_result::kConfirmed) {
    if (phase_ == phase::kCheckingLeader) {
      server_reply reply = std::move(*std::exchange(kept_reply_, std::nullopt));
      OnSuccess(reply);
    } else if (phase_ == phase::kBeginning && outstanding_.empty()) {
      OnBeginAnswered();
    }
    return;
  }
  if (phase_ == phase::kCheckingLeader || phase_ == phase::kBeginning ||
      phase_ == phase::kRunning) {
    OnLeaderNotConfirmed();
  }
}

bool session_engine::NeedsCheck(const server_reply& reply) const {
  if (!reply.succeeded) {
    return false;
  }
  if (check_requested_ && !HasTransaction()) {
    return !check_result_.has_value();
  }
  return CommitsWrites();
}

std::optional<replication::acknowledged_commit> session_engine::ConfirmedCommit(
    const server_reply& reply) const {
  const replication::group_state* group = host_.Group(route_->group);
  if (!CommitsWrites() || !reply.position.has_value() || group == nullptr ||
      !group->CommitsProveLeadership()) {
    return std::nullopt;
  }
  const bool proves_leadership =
      host_.Now() - sent_ <= settings_.longest_proving_commit &&
      !group->IsLeadershipInDoubt(host_.Now()) &&
      // No other server has become the leader since it was sent.
      group->Leader() == server_;
  return replication::acknowledged_commit{*reply.position, proves_leadership};
}

void session_engine::OnLeaderNotConfirmed() {
  const bool changed =
      *check_result_ == replication::leadership_result::kLeaderChanged;
  const char* reason = changed ? "leader_changed" : "leader_unproven";
  const bool committed = kept_reply_.has_value() &&
                         (IsCommit() || (current_writes_ && !HasTransaction()));
  kept_reply_.reset();
  if (committed) {
    LogRequest("commit_unconfirmed", reason);
    // The former leader may have committed it after it was replaced.
    ReleaseConnection(release_kind::kClean);
    transaction_ = transaction::kNone;
    AbandonRequest(failure_code::kInDoubt, reason);
    return;
  }
  ReleaseConnection(release_kind::kRollBack);
  if (changed) {
    Retry(reason, false);
    return;
  }
  last_reason_ = reason;
  AbandonRequest(failure_code::kBusy, reason);
}

}  // namespace plantaintiller::sessions
