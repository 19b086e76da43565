#include "plantaintiller/replication/primary_change.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::replication {

namespace {

/// Calls of one promotion without an answer before it is prepared anew.
constexpr int kMaxPromoteTries = 6;
/// Pause between questions whether the candidate leads: a tenth of the
/// shortest promotion of the users' databases.
constexpr core::milliseconds kFollowPause{30};

}  // namespace

const char* ReasonName(change_reason reason) {
  switch (reason) {
    case change_reason::kLeaving:
      return "leaving";
    case change_reason::kGone:
      return "gone";
    case change_reason::kSilent:
      return "silent";
    case change_reason::kStuck:
      return "stuck";
    case change_reason::kNone:
      return "no_leader";
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
  old_leader_ = group_.LastLeader();
  candidate_.clear();
  holds_ = false;
  promote_tries_ = 0;
  host_.NoteChange(group_.Name(), "change_start",
                   std::string(ReasonName(reason)) + " " + old_leader_);
  Claim();
}

void primary_change::OnTimer() {
  switch (step_) {
    case step::kClaiming:
      Claim();
      return;
    case step::kAsking:
    case step::kHolding:
    case step::kComparing:
      Ask(step::kAsking);
      return;
    case step::kPromoting:
      Promote();
      return;
    case step::kFollowing:
      Follow();
      return;
    case step::kLifting:
      Lift();
      return;
    case step::kIdle:
      return;
  }
}

void primary_change::Claim() {
  step_ = step::kClaiming;
  if (host_.Now() - started_ > settings_.preparation) {
    GiveUp("claim_time");
    return;
  }
  const std::uint64_t round = ++round_;
  host_.ReadClaim(group_.Name(),
                  [this, round](std::optional<group_claim> claim,
                                core::milliseconds store_now) {
                    if (round == round_ && step_ == step::kClaiming) {
                      OnClaim(std::move(claim), store_now);
                    }
                  });
}

void primary_change::OnClaim(std::optional<group_claim> claim,
                             core::milliseconds store_now) {
  if (!claim.has_value()) {
    host_.SetTimer(group_.Name(), settings_.retry_pause);
    return;
  }
  if (claim->nonce == nonce_ && nonce_ != 0) {
    // An earlier write without an answer was done after all.
    token_ = claim->token;
    Ask(step::kAsking);
    return;
  }
  const bool taken = claim->version > 0 &&
                     claim->holder != settings_.holder &&
                     store_now - claim->claimed_at < settings_.claim_time;
  if (taken) {
    GiveUp("claimed_by_another");
    return;
  }
  group_claim next = *claim;
  next.token = claim->token + 1;
  next.holder = settings_.holder;
  next.nonce = host_.DrawNonce();
  next.claimed_at = store_now;
  nonce_ = next.nonce;
  const std::uint64_t round = ++round_;
  host_.WriteClaim(group_.Name(), next,
                   [this, round, next](store::call_status status) {
                     if (round == round_ && step_ == step::kClaiming) {
                       OnClaimWritten(next, status);
                     }
                   });
}

void primary_change::OnClaimWritten(const group_claim& claim,
                                    store::call_status status) {
  if (status == store::call_status::kDone) {
    token_ = claim.token;
    host_.NoteChange(group_.Name(), "claimed",
                     "token " + std::to_string(token_));
    Ask(step::kAsking);
    return;
  }
  if (status == store::call_status::kConflict) {
    // The row was changed: by another, or by an earlier write of ours.
    host_.SetTimer(group_.Name(), core::milliseconds(0));
    return;
  }
  host_.SetTimer(group_.Name(), settings_.retry_pause);
}

void primary_change::Ask(step next) {
  step_ = next;
  answers_.clear();
  round_ += 1;
  const std::uint64_t round = round_;
  std::vector<std::string> servers;
  for (const auto& [id, each] : group_.Servers()) {
    // A leader that does not answer would only cost time again.
    if (id != old_leader_ || next == step::kAsking || leader_answered_) {
      servers.push_back(id);
    }
  }
  waiting_answers_ = static_cast<int>(servers.size());
  if (servers.empty()) {
    Again("no_servers");
    return;
  }
  for (const std::string& id : servers) {
    const bool hold =
        step_ == step::kHolding && id != candidate_ && id != old_leader_;
    host_.Order(
        group_.Name(), id, hold ? server_order::kHold : server_order::kStatus,
        hold_term_,
        [this, round, id](std::optional<sessions::server_status> status) {
          OnAnswer(round, id, status);
        });
  }
}

void primary_change::OnAnswer(std::uint64_t round,
                              const std::string& server,
                              std::optional<sessions::server_status> status) {
  if (round != round_) {
    return;
  }
  answers_[server].status = status;
  waiting_answers_ -= 1;
  if (waiting_answers_ == 0) {
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
    case step::kAsking:
      ChooseCandidate();
      return;
    case step::kHolding:
      holds_ = true;
      Compare();
      return;
    case step::kComparing:
      Compare();
      return;
    default:
      return;
  }
}

void primary_change::NoteLeader() {
  std::string leading;
  for (const auto& [id, answer] : answers_) {
    if (answer.status.has_value() && answer.status->is_primary) {
      leading = id;
    }
  }
  leader_answered_ = !leading.empty();
  if (leader_answered_) {
    old_leader_ = leading;
  } else if (StatusOf(old_leader_) != nullptr) {
    // The former leader is a replica by now: no server leads.
    old_leader_.clear();
  }
}

void primary_change::ChooseCandidate() {
  core::term_number newest = 0;
  for (const auto& [id, answer] : answers_) {
    if (answer.status.has_value()) {
      newest = std::max(newest, answer.status->term);
    }
  }
  NoteLeader();
  const group_state::server* leader = group_.Find(old_leader_);
  const bool leader_stays =
      leader_answered_ && leader != nullptr && !leader->entry.draining &&
      reason_ != change_reason::kStuck && reason_ != change_reason::kGone;
  if (leader_stays && !holds_) {
    // Whoever seemed silent leads after all, or another has taken over.
    group_.OnLeaderSeen(old_leader_, StatusOf(old_leader_)->term, host_.Now());
    Finish(old_leader_);
    return;
  }
  std::string best;
  for (const auto& [id, answer] : answers_) {
    const group_state::server* each = group_.Find(id);
    if (!answer.status.has_value() || answer.status->is_primary ||
        each == nullptr || each->entry.draining) {
      continue;
    }
    const bool better =
        best.empty() ||
        std::pair(answer.status->received, -static_cast<int>(each->away)) >
            std::pair(answers_[best].status->received,
                      -static_cast<int>(group_.Find(best)->away));
    if (better) {
      best = id;
    }
  }
  if (best.empty()) {
    Again("no_candidate");
    return;
  }
  candidate_ = best;
  hold_term_ = newest + 1;
  for (const auto& [id, answer] : answers_) {
    const bool unknown = !answer.status.has_value() && id != old_leader_ &&
                         !HasAllOf(id, answers_[best].status->received);
    if (unknown) {
      // Holding the others now would stop commits for nothing.
      Again("replica_unknown");
      return;
    }
  }
  Ask(step::kHolding);
}

bool primary_change::MayConfirm(const std::string& server) const {
  return server != candidate_ && server != old_leader_;
}

bool primary_change::HasAllOf(const std::string& missing,
                              core::log_position candidate) const {
  const std::optional<core::time_point> gone = group_.GoneSince(missing);
  if (!gone.has_value()) {
    return false;
  }
  // With the leader's own word after the loss, or a proof sent after it: what
  // was acknowledged before is within that position, and what came later was
  // confirmed by others.
  if (const sessions::server_status* leader = StatusOf(old_leader_)) {
    if (leader->received <= candidate) {
      return true;
    }
  }
  const std::optional<core::log_position> proved =
      group_.Proofs().PositionFor(*gone);
  return proved.has_value() && *proved <= candidate;
}

void primary_change::Compare() {
  const sessions::server_status* candidate = StatusOf(candidate_);
  if (candidate == nullptr) {
    Again("candidate_lost");
    return;
  }
  if (candidate->is_primary) {
    // An earlier order was carried out.
    promoted_ = host_.Now();
    Follow();
    return;
  }
  for (const auto& [id, answer] : answers_) {
    if (!MayConfirm(id)) {
      continue;
    }
    if (!answer.status.has_value()) {
      if (!HasAllOf(id, candidate->received)) {
        Again("replica_unknown");
        return;
      }
      continue;
    }
    if (answer.status->held_term < hold_term_) {
      Again("hold_lost");
      return;
    }
    if (answer.status->received > candidate->received) {
      // The leader may still send it; otherwise the longest log is chosen anew.
      Again("candidate_behind");
      return;
    }
  }
  for (const auto& [id, since] : group_.GoneServers()) {
    if (id != old_leader_ && !HasAllOf(id, candidate->received)) {
      Again("gone_replica_unknown");
      return;
    }
  }
  promote_tries_ = 0;
  Promote();
}

void primary_change::Promote() {
  step_ = step::kPromoting;
  promote_tries_ += 1;
  host_.NoteChange(group_.Name(), "promote",
                   candidate_ + " token " + std::to_string(token_));
  const std::uint64_t round = ++round_;
  host_.Promote(group_.Name(), candidate_, token_,
                [this, round](store::promotion_status status) {
                  if (round == round_ && step_ == step::kPromoting) {
                    OnPromoted(status);
                  }
                });
}

void primary_change::OnPromoted(store::promotion_status status) {
  switch (status) {
    case store::promotion_status::kAccepted:
      promoted_ = host_.Now();
      step_ = step::kFollowing;
      host_.SetTimer(group_.Name(), kFollowPause);
      return;
    case store::promotion_status::kSuperseded:
      GiveUp("superseded");
      return;
    case store::promotion_status::kRefused:
    case store::promotion_status::kUnknown:
      if (promote_tries_ >= kMaxPromoteTries) {
        Again("promotion_unanswered");
        return;
      }
      host_.SetTimer(group_.Name(), settings_.retry_pause);
      return;
  }
}

void primary_change::Follow() {
  step_ = step::kFollowing;
  if (host_.Now() - promoted_ > settings_.promotion) {
    GiveUp("promotion_time");
    return;
  }
  const std::uint64_t round = ++round_;
  host_.Order(
      group_.Name(), candidate_, server_order::kStatus, 0,
      [this, round](std::optional<sessions::server_status> status) {
        if (round != round_ || step_ != step::kFollowing) {
          return;
        }
        if (status.has_value() && status->is_primary) {
          group_.OnLeaderSeen(candidate_, status->term, host_.Now());
          Finish(candidate_);
          return;
        }
        host_.SetTimer(group_.Name(), kFollowPause);
      });
}

void primary_change::Again(const char* why) {
  host_.NoteChange(group_.Name(), "change_wait", why);
  if (host_.Now() - started_ > settings_.preparation) {
    if (holds_ && LeaderAnswers()) {
      promote_tries_ = 0;
      step_ = step::kLifting;
      Lift();
    } else {
      GiveUp(why);
    }
    return;
  }
  step_ = step::kAsking;
  host_.SetTimer(group_.Name(), settings_.retry_pause);
}

void primary_change::Lift() {
  step_ = step::kLifting;
  promote_tries_ += 1;
  if (promote_tries_ > kMaxPromoteTries) {
    GiveUp("lift");
    return;
  }
  // Accepted for the present leader, the call changes nothing but the newest
  // token: no earlier call can be carried out any more.
  const std::uint64_t round = ++round_;
  host_.Promote(
      group_.Name(), old_leader_, token_,
      [this, round](store::promotion_status status) {
        if (round != round_ || step_ != step::kLifting) {
          return;
        }
        if (status != store::promotion_status::kAccepted) {
          host_.SetTimer(group_.Name(), settings_.retry_pause);
          return;
        }
        for (const auto& [id, answer] : answers_) {
          if (id != old_leader_) {
            host_.Order(group_.Name(), id, server_order::kResume, 0,
                        [](std::optional<sessions::server_status>) {});
          }
        }
        holds_ = false;
        GiveUp("lifted");
      });
}

void primary_change::GiveUp(const char* why) {
  host_.NoteChange(group_.Name(), "change_end", why);
  Finish("");
}

void primary_change::Finish(const std::string& leader) {
  step_ = step::kIdle;
  round_ += 1;
  nonce_ = 0;
  host_.OnChangeDone(group_.Name(), leader, group_.LeaderTerm());
}

}  // namespace plantaintiller::replication
