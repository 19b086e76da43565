// The second half of a change of primary: demotion, promotion, fences and the
// release of holds. The first half is in primary_change.cpp.

#include <algorithm>
#include <utility>

#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::replication {

namespace {

/// Rounds that may fail before an outstanding candidate that has everything is
/// given up for a fence.
constexpr int kMaxCandidateRounds = 3;
/// Calls for one promotion before its preparation is repeated.
constexpr int kMaxPromoteTries = 6;
/// Checks for the new leader between two rounds of holds. The holds are
/// repeated because a server that comes back can confirm commits immediately.
constexpr int kChecksPerHold = 1;
/// Checks for the new leader between two demotions of a leader that did not
/// answer.
constexpr int kChecksPerDemotion = 3;
/// Pause between checks whether the candidate is the leader: a tenth of the
/// shortest promotion of the users' databases.
constexpr core::milliseconds kPromotionCheckPause{30};

}  // namespace

bool primary_change::MayUnheldServerConfirm() const {
  const auto is_unheld = [this](const std::string& id) {
    const sessions::server_status* status = StatusOf(id);
    return MayConfirm(id) &&
           (status == nullptr || status->held_term < hold_term_);
  };
  return std::any_of(group_.Servers().begin(), group_.Servers().end(),
                     [&](const auto& each) { return is_unheld(each.first); }) ||
         std::any_of(group_.RemovedServers().begin(),
                     group_.RemovedServers().end(), [&](const auto& each) {
                       // One that was draining has left for good.
                       return !each.second.entry.draining &&
                              is_unheld(each.first);
                     });
}

void primary_change::DemoteOldLeader() {
  step_ = step::kDemoting;
  if (const sessions::server_status* status = StatusOf(old_leader_)) {
    // Kept now, because the answer to the demotion may be lost.
    demoted_ = {old_leader_, *status};
  }
  host_.LogChange(group_.Name(), "demote", old_leader_);
  const std::uint64_t round = ++request_round_;
  host_.SendCommand(
      group_.Name(), old_leader_, server_command::kDemote, hold_term_,
      [this, round](std::optional<sessions::server_status> status) {
        if (round == request_round_ && step_ == step::kDemoting) {
          OnDemoted(status);
        }
      });
}

void primary_change::OnDemoted(std::optional<sessions::server_status> status) {
  const sessions::server_status* candidate = StatusOf(candidate_);
  if (!status.has_value() || status->is_primary || candidate == nullptr) {
    RetryOrAbandon("not_demoted");
    return;
  }
  if (status->received > candidate->received) {
    // The old leader has commits that it can no longer send.
    RetryOrAbandon("demoted_ahead");
    return;
  }
  Promote();
}

bool primary_change::IsClaimValid() const {
  if (settings_.injected_defects.ignore_claim_age) {
    return true;
  }
  return OrderTimeLeft() > settings_.delivery_time;
}

bool primary_change::MayEndHolds() const {
  return ClaimAge() + settings_.command_lifetime < settings_.claim_validity;
}

core::duration primary_change::ClaimAge() const {
  return host_.Now() - claim_read_.at + host_.SuspendedTime() -
         claim_read_.suspended;
}

core::milliseconds primary_change::OrderTimeLeft() const {
  if (settings_.injected_defects.ignore_claim_age) {
    return settings_.claim_validity;
  }
  return core::ToMilliseconds(settings_.claim_validity -
                              settings_.longest_promotion - ClaimAge());
}

std::string primary_change::DescribeMembers() const {
  std::string text;
  const auto append = [&](const std::string& id, const char* listing) {
    text += ' ' + id + listing;
    const sessions::server_status* status = StatusOf(id);
    if (status == nullptr) {
      text += ":silent";
      return;
    }
    text += (status->is_primary ? ":primary:" : ":replica:") +
            std::to_string(status->term) + ':' +
            std::to_string(status->received.entry_term) + '.' +
            std::to_string(status->received.offset) + ":held" +
            std::to_string(status->held_term);
  };
  for (const auto& [id, listed] : group_.Servers()) {
    append(id, listed.entry.draining ? "(draining)" : "");
  }
  for (const auto& [id, removed] : group_.RemovedServers()) {
    if (!group_.Servers().contains(id)) {
      append(id, removed.entry.draining ? "(left)" : "(unlisted)");
    }
  }
  return text;
}

void primary_change::Promote() {
  if (!IsRecorded(candidate_)) {
    step_ = step::kRecording;
    Record(candidate_);
    return;
  }
  if (!IsClaimValid()) {
    ClaimAgain("claim_aged");
    return;
  }
  if (MustAwaitOrders(candidate_)) {
    AwaitOrders();
    return;
  }
  step_ = step::kPromoting;
  promote_tries_ += 1;
  promotion_checks_ = 0;
  host_.LogChange(group_.Name(), "promote",
                  candidate_ + " token " + std::to_string(token_) + " members" +
                      DescribeMembers());
  orders_.OnGiven(candidate_, token_, host_.Now(), OrderLifetime());
  candidate_position_ = StatusOf(candidate_)->received;
  const std::uint64_t round = ++request_round_;
  host_.Promote(group_.Name(), candidate_, token_, OrderTimeLeft(),
                [this, round](store::promotion_status status) {
                  if (round == request_round_ && step_ == step::kPromoting) {
                    OnPromoted(status);
                  }
                });
}

void primary_change::OnPromoted(store::promotion_status status) {
  switch (status) {
    case store::promotion_status::kAccepted:
      if (settings_.fencing) {
        orders_.Clear();
      }
      promoted_ = host_.Now();
      orders_.OnAccepted(candidate_, token_,
                         promoted_ + settings_.longest_promotion);
      step_ = step::kAwaitingPromotion;
      host_.SetTimer(group_.Name(), kPromotionCheckPause);
      return;
    case store::promotion_status::kSuperseded:
      orders_.OnRefused(candidate_, token_);
      Abandon("superseded");
      return;
    case store::promotion_status::kRefused:
      orders_.OnRefused(candidate_, token_);
      if (promote_tries_ >= kMaxPromoteTries) {
        RetryOrAbandon("promotion_refused");
        return;
      }
      // The holds are checked again before the call is repeated.
      step_ = step::kComparing;
      host_.SetTimer(group_.Name(), settings_.retry_pause);
      return;
    case store::promotion_status::kUnknown:
      // The call may be carried out seconds later, when the candidate has
      // restarted with an empty log. The next call is made under a higher
      // token; once accepted, it fences this one off.
      orders_.OnUnanswered(candidate_, token_);
      ClaimAgain("promotion_unanswered");
      return;
  }
}

bool primary_change::IsListNewer() const {
  return std::any_of(group_.Servers().begin(), group_.Servers().end(),
                     [this](const auto& each) {
                       return MayConfirm(each.first) &&
                              !answers_.contains(each.first);
                     });
}

void primary_change::HoldReplicas() {
  std::set<std::string> servers;
  for (const auto& [id, answer] : answers_) {
    servers.insert(id);
  }
  for (const auto& [id, listed] : group_.Servers()) {
    servers.insert(id);
  }
  for (const std::string& id : servers) {
    if (MayConfirm(id) && !settings_.injected_defects.skip_holds) {
      host_.SendCommand(group_.Name(), id, server_command::kHold, hold_term_,
                        [](std::optional<sessions::server_status>) {});
    }
  }
  if (!old_leader_.empty() && !leader_answered_ &&
      promotion_checks_ % kChecksPerDemotion == 1 &&
      !settings_.injected_defects.skip_demotion) {
    // A crashed leader that comes back could have commits confirmed by a server
    // that has restarted since it was held.
    host_.SendCommand(group_.Name(), old_leader_, server_command::kDemote,
                      hold_term_,
                      [](std::optional<sessions::server_status>) {});
  }
}

void primary_change::CheckPromotion() {
  step_ = step::kAwaitingPromotion;
  group_.OnChangeAnnounced(host_.Now());
  if (host_.Now() - promoted_ > settings_.promotion_limit) {
    Abandon("promotion_time");
    return;
  }
  // A server that restarts during the promotion is no longer held.
  if (promotion_checks_++ % kChecksPerHold == 0) {
    HoldReplicas();
    host_.RequestList();
  }
  const std::uint64_t round = ++request_round_;
  host_.SendCommand(
      group_.Name(), candidate_, server_command::kStatus, 0,
      [this, round](std::optional<sessions::server_status> status) {
        if (round != request_round_ || step_ != step::kAwaitingPromotion) {
          return;
        }
        if (status.has_value() && status->is_primary) {
          group_.OnLeaderSeen(candidate_, status->term, host_.Now());
          orders_.OnLeads(candidate_);
          if (!old_leader_.empty() && old_leader_ != candidate_ &&
              !settings_.injected_defects.skip_demotion) {
            host_.SendCommand(group_.Name(), old_leader_,
                              server_command::kDemote, status->term,
                              [](std::optional<sessions::server_status>) {});
          }
          Finish(candidate_);
          return;
        }
        host_.SetTimer(group_.Name(), kPromotionCheckPause);
      });
}

void primary_change::RetryOrAbandon(const std::string& reason) {
  host_.LogChange(group_.Name(), "change_wait",
                  reason + " members" + DescribeMembers());
  failed_rounds_ += 1;
  if (host_.Now() - started_ > settings_.preparation_limit) {
    if (holds_placed_ && LeaderAnswers() && !releasing_holds_) {
      releasing_holds_ = true;
      if (settings_.fencing) {
        Fence();
      } else if (orders_.IsEmpty()) {
        ReleaseHolds();
      } else {
        Abandon(reason);
      }
    } else {
      Abandon(reason);
    }
    return;
  }
  step_ = step::kQuerying;
  host_.SetTimer(group_.Name(), settings_.retry_pause);
}

bool primary_change::IsPromotionOutstanding() const {
  // A promotion of the present leader changes nothing.
  return leader_answered_ ? orders_.HasOther(old_leader_) : !orders_.IsEmpty();
}

void primary_change::ForgetLateOrders() {
  if (settings_.fencing) {
    return;
  }
  orders_.Expire(host_.Now());
}

core::duration primary_change::OrderLifetime() const {
  return settings_.late_promotion_limit + settings_.longest_promotion;
}

void primary_change::AwaitOrders() {
  std::string text = "order_outstanding";
  for (const auto& [server, orders] : orders_.ByServer()) {
    for (const promotion_orders::order& each : orders) {
      text += ' ' + server + ':' + std::to_string(each.token) + ':' +
              std::to_string(
                  core::ToMilliseconds(each.until - host_.Now()).count()) +
              "ms";
    }
  }
  RetryOrAbandon(text);
}

bool primary_change::MustAwaitOrders(const std::string& candidate) const {
  return !settings_.fencing && orders_.HasOther(candidate) &&
         !settings_.injected_defects.forget_orders;
}

std::optional<std::string> primary_change::IntactOutstandingCandidate() const {
  if (settings_.fencing && failed_rounds_ > kMaxCandidateRounds) {
    return std::nullopt;
  }
  for (const auto& [server, orders] : orders_.ByServer()) {
    if (IsIntact(server)) {
      return server;
    }
  }
  return std::nullopt;
}

bool primary_change::IsIntact(const std::string& server) const {
  const sessions::server_status* status = StatusOf(server);
  const group_state::server* listed = group_.Find(server);
  const bool intact =
      status != nullptr && listed != nullptr &&
      (!listed->entry.draining || !settings_.fencing) && !status->is_primary &&
      (server != candidate_ || status->received >= candidate_position_);
  // A server that is behind catches up with a leader that answers.
  return intact &&
         ((leader_answered_ && !settings_.fencing) ||
          std::none_of(answers_.begin(), answers_.end(), [&](const auto& each) {
            return each.first != old_leader_ &&
                   each.second.status.has_value() &&
                   each.second.status->received > status->received;
          }));
}

bool primary_change::IsOutstandingSilent() const {
  return settings_.fencing && leader_answered_ && failed_rounds_ == 0 &&
         !IntactOutstandingCandidate().has_value() &&
         std::any_of(orders_.ByServer().begin(), orders_.ByServer().end(),
                     [this](const auto& each) {
                       return each.first != old_leader_ &&
                              group_.Find(each.first) != nullptr &&
                              StatusOf(each.first) == nullptr;
                     });
}

bool primary_change::NeedsFence() const {
  return settings_.fencing && leader_answered_ && IsPromotionOutstanding() &&
         !IntactOutstandingCandidate().has_value() &&
         fence_tries_ < kMaxPromoteTries;
}

void primary_change::Fence() {
  step_ = step::kFencing;
  if (!IsRecorded(old_leader_)) {
    Record(old_leader_);
    return;
  }
  if (++fence_tries_ > kMaxPromoteTries) {
    Abandon("fence");
    return;
  }
  if (!IsClaimValid()) {
    ClaimAgain("claim_aged");
    return;
  }
  // Promoting the current leader changes only the newest accepted token, so
  // that no earlier call can be carried out any more. Its status is asked again
  // first, because an earlier call may just have been carried out.
  const std::uint64_t round = ++request_round_;
  host_.SendCommand(
      group_.Name(), old_leader_, server_command::kStatus, 0,
      [this, round](std::optional<sessions::server_status> status) {
        if (round != request_round_ || step_ != step::kFencing) {
          return;
        }
        if (!status.has_value() || !status->is_primary) {
          RetryOrAbandon("leader_lost");
          return;
        }
        host_.LogChange(group_.Name(), "fence",
                        old_leader_ + " token " + std::to_string(token_) +
                            " members" + DescribeMembers());
        orders_.OnGiven(old_leader_, token_, host_.Now(), OrderLifetime());
        host_.Promote(
            group_.Name(), old_leader_, token_, OrderTimeLeft(),
            [this, round](store::promotion_status result) {
              if (round == request_round_ && step_ == step::kFencing) {
                OnFenced(result);
              }
            });
      });
}

void primary_change::OnFenced(store::promotion_status status) {
  switch (status) {
    case store::promotion_status::kAccepted:
      orders_.Clear();
      is_fenced_ = true;
      step_ = step::kAwaitingFence;
      host_.SetTimer(group_.Name(), settings_.longest_promotion);
      return;
    case store::promotion_status::kSuperseded:
      Abandon("superseded");
      return;
    case store::promotion_status::kRefused:
      host_.SetTimer(group_.Name(), settings_.retry_pause);
      return;
    case store::promotion_status::kUnknown:
      ClaimAgain("fence_unanswered");
      return;
  }
}

void primary_change::ReleaseHolds() {
  if (!MayEndHolds()) {
    ClaimAgain("claim_aged");
    return;
  }
  if (!settings_.fencing && !orders_.IsEmpty()) {
    Abandon("outstanding");
    return;
  }
  for (const auto& [id, answer] : answers_) {
    if (id != old_leader_) {
      host_.SendCommand(group_.Name(), id, server_command::kResume, 0,
                        [](std::optional<sessions::server_status>) {});
    }
  }
  holds_placed_ = false;
  // The commands may arrive late. Until the claim lapses nobody else holds.
  keeps_claim_ = true;
  Abandon("lifted");
}

void primary_change::SettleClaim() {
  // Without fencing a promotion of the present leader does harm later, once
  // another server leads.
  const bool is_outstanding =
      settings_.fencing ? IsPromotionOutstanding() : !orders_.IsEmpty();
  const bool keeps_claim = std::exchange(keeps_claim_, false);
  if (is_outstanding || keeps_claim || claim_.token != token_ ||
      claim_.settled || token_ == 0) {
    return;
  }
  orders_.Clear();
  claim_.settled = true;
  claim_.candidates.reset();
  const group_claim& settled = claim_;
  host_.WriteClaim(group_.Name(), settled,
                   [](store::call_status, store::row_version) {});
}

void primary_change::Abandon(const std::string& reason) {
  host_.LogChange(group_.Name(), "change_end", reason);
  Finish("");
}

void primary_change::Finish(const std::string& leader) {
  step_ = step::kIdle;
  if (!leader.empty()) {
    blocked_since_ = {};
  }
  ForgetLateOrders();
  SettleClaim();
  recording_ = false;
  record_round_ += 1;
  request_round_ += 1;
  nonce_ = 0;
  if (settings_.fencing && IsPromotionOutstanding()) {
    host_.SetTimer(group_.Name(), settings_.settle_pause);
  }
  host_.OnChangeDone(group_.Name(), leader, group_.LeaderTerm());
}

}  // namespace plantaintiller::replication
