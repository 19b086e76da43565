// Attempts of a session to run a statement: connections, permits and the
// commands that are sent. The rest of the class is in session_engine.cpp.

#include <algorithm>
#include <utility>

#include "plantaintiller/admission/group_admission.h"
#include "plantaintiller/sessions/session_engine.h"

namespace plantaintiller::sessions {

void session_engine::StartAttempt() {
  if (!HasAccess()) {
    RefuseAccess();
    return;
  }
  if (std::exchange(attempt_sent_, false) && !AdmitOperation()) {
    return;
  }
  attempts_ += 1;
  connection_requirements need = Requirements();
  requested_account_ = need.account;
  const core::time_point now = host_.Now();
  const core::time_point overload_check = std::max(
      arrived_ + route_->latency_objective / settings_.overload_divisor,
      now + settings_.busy_pause);
  const bool awaits_leader = need.leader && AwaitsLeader();
  admission::group_admission* control = Admission();
  if (control != nullptr && attempts_ == 1 && !awaits_leader) {
    const admission::admission_decision decision = control->Decide(need, now);
    if (!decision.admitted) {
      AbandonRequest(failure_code::kBusy, "overloaded");
      return;
    }
    need.predicted_wait = decision.predicted_wait;
  }
  phase_ = phase::kAcquiring;
  host_.SetTimer(std::max(now, awaits_leader || control != nullptr
                                   ? WaitDeadline()
                                   : std::min(overload_check, WaitDeadline())));
  host_.Acquire(need);
}

bool session_engine::IsOverloaded() const {
  replication::group_state* group = host_.Group(route_->group);
  if (group == nullptr) {
    return false;
  }
  const core::time_point now = host_.Now();
  if (!NeedsLeader()) {
    return group->AreSaturated(
        group->ReadOrder(excluded_, now, PositionForRead()), now);
  }
  return !group->Leader().empty() &&
         group->AreSaturated({group->Leader()}, now);
}

bool session_engine::AwaitsLeader() const {
  const core::duration unavailable = LeaderUnavailableTime();
  return unavailable > core::duration(0) &&
         unavailable < settings_.leader_wait_limit;
}

core::duration session_engine::LeaderUnavailableTime() const {
  replication::group_state* group = host_.Group(route_->group);
  return group == nullptr ? core::duration(0)
                          : group->LeaderUnavailableFor(host_.Now());
}

core::time_point session_engine::WaitDeadline() const {
  if (!NeedsLeader()) {
    return std::min(deadline_, arrived_ + route_->latency_objective);
  }
  if (AwaitsLeader()) {
    return deadline_;
  }
  // The end of a change of primary that takes this long cannot be predicted.
  if (LeaderUnavailableTime() >= settings_.leader_wait_limit) {
    return arrived_;
  }
  return std::min(deadline_, arrived_ + route_->latency_objective);
}

bool session_engine::AppendSetUp(std::string& out) {
  const prepared_statement* statement =
      current_.kind == statement_kind::kExecute ? &prepared_.at(current_.name)
                                                : nullptr;
  const std::size_t commands = set_up_.Append(
      host_.Servers(), connection_->State(), values_, statement, out);
  outstanding_.assign(commands, command_kind::kSetting);
  if (commands > 0) {
    host_.CountEvent("set_ups");
  }
  return commands > 0;
}

void session_engine::OnConnection(server_connection& connection) {
  connection_ = &connection;
  server_ = connection.Server();
  if (!HasAccess()) {
    ReleaseConnection(release_kind::kClean);
    RefuseAccess();
    return;
  }
  if (requested_account_ != access_.Account()) {
    // A configuration has changed the session's account meanwhile.
    ReleaseConnection(release_kind::kClean);
    if (AdmitOperation()) {
      StartAttempt();
    }
    return;
  }
  std::string out;
  const bool needs_set_up = AppendSetUp(out);
  begin_failed_ = false;
  begin_failure_unclear_ = false;
  proved_position_.reset();
  check_requested_ = false;
  check_result_.reset();
  kept_reply_.reset();
  const std::optional<core::log_position> position = PositionForRead();
  if (HasTransaction()) {
    const bool at_replica = transaction_read_only_ && position.has_value();
    SendBegin(std::move(out), true, at_replica,
              at_replica ? position : std::nullopt);
    return;
  }
  const bool silent = host_.Now() - connection.LastReceived() >
                      settings_.max_silence_before_write;
  const bool needs_test = current_writes_ && silent;
  if (needs_set_up && !needs_test) {
    host_.CountEvent("set_up_waits");
  }
  if (needs_set_up || needs_test) {
    // The empty transaction also tells the answers to set-up from repetitions
    // of earlier ones, which look the same.
    const bool at_replica = !current_writes_ && position.has_value();
    SendBegin(std::move(out), false, at_replica,
              at_replica ? position : std::nullopt);
    return;
  }
  SendRequest();
}

void session_engine::SendRequest() {
  const std::optional<core::log_position> position = PositionForRead();
  if (!current_writes_ && !position.has_value()) {
    SendLeaderRead();
    return;
  }
  SendStatement(current_writes_ ? std::nullopt : position);
}

void session_engine::SendBegin(std::string out,
                               bool keep_open,
                               bool read_only,
                               std::optional<core::log_position> at_least) {
  requested_position_ = at_least;
  host_.Servers().AppendBegin(out, read_only, at_least);
  outstanding_.push_back(read_only ? command_kind::kBeginReadOnly
                                   : command_kind::kBegin);
  if (!keep_open) {
    host_.Servers().AppendRollback(out);
    outstanding_.push_back(command_kind::kRollback);
  }
  phase_ = phase::kBeginning;
  sent_ = host_.Now();
  attempt_sent_ |= keep_open;
  host_.SetTimer(sent_ + settings_.proof_timeout);
  SendCommands(out);
  // Before a write the transaction only tests the connection. A read-only one
  // also succeeds at a server that is no longer the leader, and proves nothing.
  if (keep_open && !read_only) {
    RequestLeadershipCheck();
  }
}

void session_engine::SendCommands(const std::string& bytes) {
  connection_->Send(bytes, {outstanding_.begin(), outstanding_.end()});
}

void session_engine::SendWithPermit() {
  if (!host_.AcquirePermit(*connection_)) {
    phase_ = phase::kAwaitingPermit;
    host_.SetTimer(deadline_);
    return;
  }
  OnPermit();
}

void session_engine::OnPermit() {
  if (!HasAccess()) {
    RefuseAccess();
    return;
  }
  if (requested_account_ != access_.Account()) {
    // The connection belongs to the account that the transaction began under.
    FailTransaction("account_changed");
    return;
  }
  std::string out;
  if (AppendSetUp(out)) {
    host_.CountEvent("set_up_waits");
    phase_ = phase::kSettingUp;
    sent_ = host_.Now();
    host_.SetTimer(sent_ + route_->statement_timeout);
    SendCommands(out);
    return;
  }
  SendStatement(std::nullopt);
}

void session_engine::SendStatement(std::optional<core::log_position> at_least) {
  requested_position_ = at_least;
  std::string out;
  AppendCurrent(out, at_least);
  outstanding_.push_back(IsCommit() ? command_kind::kCommit
                                    : command_kind::kStatement);
  if (current_writes_ && HasTransaction()) {
    transaction_wrote_ = true;
  }
  phase_ = phase::kRunning;
  sent_ = host_.Now();
  attempt_sent_ = true;
  // The time-out starts when the statement is sent, because aborting work that
  // the server has begun would only waste it.
  host_.SetTimer(sent_ + route_->statement_timeout);
  LogRequest("sent", current_writes_ ? "write" : "read");
  SendCommands(out);
}

void session_engine::AppendCurrent(std::string& out,
                                   std::optional<core::log_position> at_least) {
  if (current_.kind == statement_kind::kExecute) {
    host_.Servers().AppendExecute(
        out, current_, prepared_.at(current_.name).server_name, at_least);
  } else {
    host_.Servers().AppendStatement(out, current_, at_least);
  }
}

}  // namespace plantaintiller::sessions
