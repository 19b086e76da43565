#include "plantaintiller/replication/primary_change.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::replication {

namespace {

/// Comparisons in a row in which the candidate may catch up with the leader.
constexpr int kMaxComparisonRounds = 12;

}  // namespace

const char* ReasonName(change_reason reason) {
  switch (reason) {
    case change_reason::kLeaving:
      return "leaving";
    case change_reason::kRemoved:
      return "gone";
    case change_reason::kUnresponsive:
      return "silent";
    case change_reason::kCommitsStalled:
      return "stuck";
    case change_reason::kNoLeader:
      return "no_leader";
    case change_reason::kUnsettled:
      return "unsettled";
  }
  return "no_leader";
}

primary_change::primary_change(change_host& host,
                               group_state& group,
                               const change_settings& settings)
    : host_(host), group_(group), settings_(settings) {}

void primary_change::Start(change_reason reason) {
  if (IsActive()) {
    return;
  }
  reason_ = reason;
  started_ = host_.Now();
  initial_leader_ = group_.LastLeader();
  old_leader_ = initial_leader_;
  leader_answered_ = false;
  // Another instance may have ended the outage that an earlier change was for.
  const core::time_point leader_seen =
      std::max(group_.LeaderSeenAt(), group_.Proofs().LastProofTime());
  if (blocked_since_ == core::time_point() || blocked_since_ < leader_seen) {
    blocked_since_ = started_;
  }
  candidate_.clear();
  holds_placed_ = false;
  promote_tries_ = 0;
  fence_tries_ = 0;
  recording_ = false;
  record_round_ += 1;
  releasing_holds_ = false;
  is_fenced_ = false;
  failed_rounds_ = 0;
  host_.LogChange(group_.Name(), "change_start",
                  std::string(ReasonName(reason)) + " " + old_leader_);
  Claim();
}

void primary_change::OnTimer() {
  switch (step_) {
    case step::kClaiming:
      Claim();
      return;
    case step::kQuerying:
    case step::kHolding:
      QueryServers(step::kQuerying);
      return;
    case step::kComparing:
      QueryServers(step::kComparing);
      return;
    case step::kRecording:
      return;
    case step::kPromoting:
      Promote();
      return;
    case step::kAwaitingPromotion:
      CheckPromotion();
      return;
    case step::kDemoting:
      DemoteOldLeader();
      return;
    case step::kFencing:
      Fence();
      return;
    case step::kAwaitingFence:
      QueryServers(step::kQuerying);
      return;
    case step::kIdle:
      if (IsPromotionOutstanding()) {
        Start(change_reason::kUnsettled);
      }
      return;
  }
}

void primary_change::QueryServers(step next) {
  step_ = next;
  group_.OnChangeAnnounced(host_.Now());
  answers_.clear();
  request_round_ += 1;
  const std::uint64_t round = request_round_;
  std::vector<std::string> servers;
  for (const auto& [id, each] : group_.Servers()) {
    // Waiting again for a leader that does not answer would only cost time.
    if (id != old_leader_ || next == step::kQuerying || leader_answered_) {
      servers.push_back(id);
    }
  }
  // A removed server may have come back and may confirm commits before the
  // list shows it.
  for (const auto& [id, removed] : group_.RemovedServers()) {
    if (group_.Find(id) == nullptr && id != old_leader_) {
      servers.push_back(id);
    }
  }
  pending_answers_ = static_cast<int>(servers.size());
  if (servers.empty()) {
    RetryOrAbandon("no_servers");
    return;
  }
  for (const std::string& id : servers) {
    // The hold is repeated in each query, because a server that has restarted
    // is no longer held.
    const bool hold = step_ != step::kQuerying && id != candidate_ &&
                      id != old_leader_ &&
                      !settings_.injected_defects.skip_holds;
    host_.SendCommand(
        group_.Name(), id,
        hold ? server_command::kHold : server_command::kStatus, hold_term_,
        [this, round, id](std::optional<sessions::server_status> status) {
          OnAnswer(round, id, status);
        });
  }
}

void primary_change::OnAnswer(std::uint64_t round,
                              const std::string& server,
                              std::optional<sessions::server_status> status) {
  if (round != request_round_) {
    return;
  }
  answers_[server].status = status;
  pending_answers_ -= 1;
  if (pending_answers_ == 0) {
    OnAllAnswered();
  }
}

const sessions::server_status* primary_change::StatusOf(
    const std::string& server) const {
  const auto found = answers_.find(server);
  return found == answers_.end() || !found->second.status.has_value()
             ? nullptr
             : &*found->second.status;
}

bool primary_change::LeaderAnswers() const {
  const sessions::server_status* status = StatusOf(old_leader_);
  return status != nullptr && status->is_primary;
}

void primary_change::OnAllAnswered() {
  switch (step_) {
    case step::kQuerying:
      ChooseCandidate();
      return;
    case step::kHolding:
      holds_placed_ = true;
      leader_position_after_holds_.reset();
      Compare();
      return;
    case step::kComparing:
      Compare();
      return;
    default:
      return;
  }
}

void primary_change::UpdateOldLeader() {
  core::term_number newest = group_.LeaderTerm();
  for (const auto& [id, answer] : answers_) {
    if (answer.status.has_value()) {
      newest = std::max(newest, answer.status->term);
    }
  }
  std::string primary;
  for (const auto& [id, answer] : answers_) {
    if (!answer.status.has_value() || !answer.status->is_primary) {
      continue;
    }
    if (answer.status->term == newest) {
      primary = id;
    } else if (!settings_.injected_defects.skip_demotion) {
      // A former leader goes on until it is demoted or reaches the new one.
      host_.SendCommand(group_.Name(), id, server_command::kDemote, newest,
                        [](std::optional<sessions::server_status>) {});
    }
  }
  leader_answered_ = !primary.empty();
  if (leader_answered_) {
    old_leader_ = primary;
  } else if (StatusOf(old_leader_) != nullptr) {
    // The former leader has become a replica, so the group has no leader.
    old_leader_.clear();
  }
}

std::string primary_change::LongestLog(bool with_draining) const {
  std::string best;
  for (const auto& [id, answer] : answers_) {
    const auto listed = group_.Servers().find(id);
    if (!answer.status.has_value() || answer.status->is_primary ||
        listed == group_.Servers().end() ||
        (listed->second.entry.draining && !with_draining)) {
      continue;
    }
    const auto rank = [this](const std::string& server) {
      return std::pair(
          StatusOf(server)->received,
          -static_cast<int>(group_.Servers().at(server).zone_distance));
    };
    if (best.empty() || rank(id) > rank(best)) {
      best = id;
    }
  }
  return best;
}

std::string primary_change::BestCandidate() const {
  std::string staying = LongestLog(false);
  if (leader_answered_) {
    return staying;
  }
  std::string any = LongestLog(true);
  const bool draining_has_more =
      !any.empty() && (staying.empty() ||
                       StatusOf(any)->received > StatusOf(staying)->received);
  return draining_has_more ? any : staying;
}

bool primary_change::IsCandidateHeld() const {
  // While another promotion may still be carried out, commits that its server
  // lacks must not be confirmed.
  const bool is_other_outstanding = std::any_of(
      orders_.ByServer().begin(), orders_.ByServer().end(),
      [this](const auto& each) {
        return each.first != candidate_ && each.first != old_leader_;
      });
  return leader_answered_ && StatusOf(candidate_)->held_term > 0 &&
         !is_other_outstanding;
}

void primary_change::ChooseCandidate() {
  core::term_number newest = 0;
  for (const auto& [id, answer] : answers_) {
    if (answer.status.has_value()) {
      newest = std::max(newest, answer.status->term);
    }
  }
  UpdateOldLeader();
  ForgetLateOrders();
  const group_state::server* leader = group_.Find(old_leader_);
  const bool at_fault = old_leader_ == initial_leader_ &&
                        (reason_ == change_reason::kCommitsStalled ||
                         reason_ == change_reason::kRemoved);
  const bool leader_stays = leader_answered_ && leader != nullptr &&
                            !leader->entry.draining && !at_fault;
  // The promotion of a leader in such a term has ended the holds.
  const bool holds_ended =
      leader_stays && StatusOf(old_leader_)->term >= hold_term_;
  const bool releases_unfenced =
      releasing_holds_ && settings_.fencing && !is_fenced_;
  if (IsOutstandingSilent()) {
    RetryOrAbandon("candidate_silent");
    return;
  }
  if (NeedsFence() || (releases_unfenced && leader_answered_)) {
    Fence();
    return;
  }
  // Commits that an outstanding candidate lacks would be lost if it is promoted
  // while the leader goes on.
  const bool goes_on =
      IsPromotionOutstanding() && IntactOutstandingCandidate().has_value();
  if (leader_stays && !goes_on && (!holds_placed_ || holds_ended)) {
    // The leader that seemed unresponsive answers as leader, or another server
    // has become the leader.
    group_.OnLeaderSeen(old_leader_, StatusOf(old_leader_)->term, host_.Now());
    Finish(old_leader_);
    return;
  }
  if (releases_unfenced) {
    Abandon("leader_lost");
    return;
  }
  if (releasing_holds_) {
    ReleaseHolds();
    return;
  }
  std::string best = BestCandidate();
  if (best.empty()) {
    RetryOrAbandon("no_candidate");
    return;
  }
  if (const auto outstanding = IntactOutstandingCandidate();
      outstanding.has_value() && IsPromotionOutstanding()) {
    best = *outstanding;
  }
  if (MustAwaitOrders(best)) {
    AwaitOrders();
    return;
  }
  candidate_ = best;
  promote_tries_ = 0;
  comparison_rounds_ = 0;
  hold_term_ = newest + 1;
  if (IsReplicaUnknown(answers_[best].status->received)) {
    // Holding the other replicas now would stop commits without need.
    RetryOrAbandon("replica_unknown");
    return;
  }
  if (IsCandidateHeld()) {
    if (!MayEndHolds()) {
      // The candidate may be held by the next holder.
      ClaimAgain("claim_aged");
      return;
    }
    host_.LogChange(group_.Name(), "resume", candidate_);
    host_.SendCommand(group_.Name(), candidate_, server_command::kResume, 0,
                      [](std::optional<sessions::server_status>) {});
  }
  host_.RequestList();
  QueryServers(step::kHolding);
  Record(candidate_);
}

void primary_change::ClaimAgain(const char* reason) {
  host_.LogChange(group_.Name(), "change_wait", reason);
  nonce_ = 0;
  is_fenced_ = false;
  failed_rounds_ = 0;
  Claim();
}

bool primary_change::MayConfirm(const std::string& server) const {
  return server != candidate_ && server != old_leader_;
}

bool primary_change::HasAllCommitsOf(const std::string& missing,
                                     core::log_position candidate) const {
  if (settings_.injected_defects.ignore_unknown_replicas) {
    return true;
  }
  const std::optional<core::time_point> removed_since =
      group_.RemovedSince(missing);
  const bool may_confirm_now =
      group_.Find(missing) != nullptr && StatusOf(missing) == nullptr;
  if (!removed_since.has_value() || may_confirm_now) {
    return false;
  }
  // The leader's status or a leadership proof from after the removal suffices:
  // commits acknowledged before the removal are at or before that position, and
  // later ones were confirmed by other replicas.
  if (const sessions::server_status* leader = StatusOf(old_leader_)) {
    if (leader->received <= candidate) {
      return true;
    }
  }
  // An entry also lapses if the server only fails to reach the store. It then
  // goes on confirming commits, so that a proof says nothing of later ones.
  const bool may_go_on = group_.Find(missing) == nullptr &&
                         !group_.RemovedServers().at(missing).entry.draining;
  if (may_go_on &&
      host_.Now() - blocked_since_ <= settings_.crashed_leader_wait) {
    return false;
  }
  const std::optional<core::log_position> proved =
      group_.Proofs().MinPositionSince(*removed_since);
  return proved.has_value() && *proved <= candidate;
}

bool primary_change::HasAllLeaderCommits(core::log_position candidate) const {
  if (leader_answered_) {
    // Commits acknowledged before the holds are at or before the leader's
    // position after them; later commits are confirmed by the candidate alone.
    return leader_position_after_holds_.has_value() &&
           *leader_position_after_holds_ <= candidate;
  }
  if (HasDemotedLeadersLog()) {
    return true;
  }
  const core::duration blocked_time = host_.Now() - blocked_since_;
  const std::optional<core::log_position> acknowledged_position =
      group_.Proofs().LastPositionBefore(group_.Proofs().LastProofTime() -
                                         settings_.assumed_acknowledged_age);
  // A server that restarted empty lacks whatever the group ever committed.
  const bool is_empty = candidate.offset == 0 &&
                        !settings_.injected_defects.ignore_unknown_replicas;
  if (is_empty || (acknowledged_position.has_value() &&
                   *acknowledged_position > candidate)) {
    // Only the crashed leader has these commits.
    return blocked_time > settings_.crashed_leader_wait;
  }
  const bool has_recent_proof =
      blocked_since_ - group_.Proofs().LastProofTime() <
      settings_.recent_proof_age;
  return has_recent_proof || blocked_time > settings_.outdated_instance_delay;
}

bool primary_change::HasDemotedLeadersLog() const {
  if (!demoted_.has_value()) {
    return false;
  }
  const core::term_number term = demoted_->status.term;
  const sessions::server_status* demoted = StatusOf(demoted_->server);
  const sessions::server_status* candidate = StatusOf(candidate_);
  // A replica of an earlier term may have to drop commits of its own.
  if (demoted == nullptr || demoted->term != term ||
      demoted->received < demoted_->status.received || candidate == nullptr ||
      candidate->term != term || candidate->received < demoted->received) {
    return false;
  }
  return group_.LeaderTerm() <= term && !orders_.HasOther(candidate_) &&
         std::none_of(answers_.begin(), answers_.end(),
                      [term](const auto& each) {
                        return each.second.status.has_value() &&
                               (each.second.status->is_primary ||
                                each.second.status->term > term);
                      });
}

bool primary_change::IsReplicaUnknown(core::log_position candidate) const {
  if (HasDemotedLeadersLog()) {
    return false;
  }
  const auto unknown = [this, candidate](const std::string& id, bool answered) {
    return MayConfirm(id) && !answered && !HasAllCommitsOf(id, candidate);
  };
  const bool waited =
      host_.Now() - blocked_since_ > settings_.crashed_leader_wait;
  for (const auto& [id, answer] : answers_) {
    // An empty log means a restart, which loses the commits that the replica
    // confirmed before.
    const bool emptied = answer.status.has_value() && !leader_answered_ &&
                         answer.status->received.offset == 0 &&
                         candidate.offset > 0 && !waited &&
                         !settings_.injected_defects.ignore_unknown_replicas;
    if (unknown(id, answer.status.has_value()) || (MayConfirm(id) && emptied)) {
      return true;
    }
  }
  for (const auto& [id, removed] : group_.RemovedServers()) {
    // A restarted replica has lost commits that it alone may have confirmed.
    // One that is not listed and answers still has its log.
    const bool answers_unlisted =
        group_.Find(id) == nullptr && StatusOf(id) != nullptr;
    if (unknown(id, answers_unlisted)) {
      return true;
    }
  }
  return false;
}

void primary_change::Compare() {
  const sessions::server_status* candidate = StatusOf(candidate_);
  const sessions::server_status* leader = StatusOf(old_leader_);
  if (leader_answered_ && leader != nullptr &&
      !leader_position_after_holds_.has_value() && step_ == step::kComparing) {
    leader_position_after_holds_ = leader->received;
  }
  if (candidate == nullptr) {
    RetryOrAbandon("candidate_lost");
    return;
  }
  if (candidate->is_primary) {
    // An earlier promotion was carried out.
    promoted_ = host_.Now();
    CheckPromotion();
    return;
  }
  for (const auto& [id, answer] : answers_) {
    if (!MayConfirm(id) || !answer.status.has_value()) {
      continue;
    }
    if (answer.status->held_term < hold_term_ &&
        !settings_.injected_defects.skip_holds) {
      RetryOrAbandon("hold_lost");
      return;
    }
    if (answer.status->received > candidate->received &&
        !settings_.injected_defects.skip_comparison) {
      // The leader may still send the missing commits; otherwise the retry
      // chooses the replica with the longest log.
      RetryOrAbandon("candidate_behind");
      return;
    }
  }
  if (IsReplicaUnknown(candidate->received)) {
    RetryOrAbandon("replica_unknown");
    return;
  }
  if (!HasAllLeaderCommits(candidate->received) &&
      !settings_.injected_defects.skip_comparison) {
    if (leader_answered_ && ++comparison_rounds_ <= kMaxComparisonRounds) {
      // The candidate usually has caught up one round trip later.
      QueryServers(step::kComparing);
      return;
    }
    RetryOrAbandon("candidate_lacks");
    return;
  }
  if (IsListNewer()) {
    QueryServers(step::kComparing);
    return;
  }
  if (!group_.IsListCurrent(host_.Now(), host_.SuspendedTime())) {
    // A server that has joined since may have confirmed commits.
    if (host_.Now() - started_ > settings_.preparation_limit) {
      RetryOrAbandon("list_outdated");
      return;
    }
    host_.RequestList();
    step_ = step::kComparing;
    host_.SetTimer(group_.Name(), settings_.list_pause);
    return;
  }
  if (leader_answered_ && MayUnheldServerConfirm() &&
      !settings_.injected_defects.skip_demotion) {
    DemoteOldLeader();
    return;
  }
  Promote();
}

}  // namespace plantaintiller::replication
