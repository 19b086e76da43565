#include "plantaintiller/replication/leadership_check.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::replication {

namespace {

/// Pause before the next server is asked: two round trips between regions.
constexpr core::milliseconds kNextServerPause{40};
/// Time-out of a round: a new connection and a round trip between regions.
constexpr core::milliseconds kRoundLimit{250};
/// For how long requests fail at once after a round without a result, so that
/// callers of an instance that is cut off are refused without a wait.
constexpr core::milliseconds kUnprovenPause{200};
/// A server that is listed for a shorter time may have missed a hold: the list
/// is read once a second, and a promotion with its preparation takes longer
/// than this only if its holds are repeated.
constexpr core::milliseconds kRecentlyListed{5000};

}  // namespace

leadership_check::leadership_check(leadership_check_host& host,
                                   group_state& group,
                                   const injected_check_defects& defects)
    : host_(host), group_(group), defects_(defects) {}

void leadership_check::Request(const std::string& server,
                               leadership_check_listener& listener) {
  if (defects_.join_running_round && running_) {
    current_.push_back({server, &listener});
    return;
  }
  waiting_.push_back({server, &listener});
  if (!running_) {
    StartRound();
  }
}

void leadership_check::Cancel(leadership_check_listener& listener) {
  const auto is_same = [&listener](const request& each) {
    return each.listener == &listener;
  };
  std::erase_if(waiting_, is_same);
  std::erase_if(current_, is_same);
}

void leadership_check::StartRound() {
  running_ = true;
  round_ += 1;
  current_ = std::exchange(waiting_, {});
  leader_ = group_.Leader();
  answers_.clear();
  asked_ = 0;
  resolving_ = false;
  round_started_ = host_.Now();
  order_ = group_.OthersByDistance();
  const bool fails_at_once = leader_.empty() || host_.Now() < unproven_until_;
  if (fails_at_once || order_.empty() || defects_.trust_leader) {
    // The result follows from the timer, never during `Request`.
    order_.clear();
    host_.SetCheckTimer(group_.Name(), core::milliseconds(0));
    return;
  }
  AskNext();
}

void leadership_check::AskNext() {
  if (asked_ >= order_.size()) {
    return;
  }
  Query(order_[asked_++]);
  host_.SetCheckTimer(group_.Name(),
                      asked_ < order_.size() ? kNextServerPause : kRoundLimit);
}

void leadership_check::Query(const std::string& server) {
  queries_ += 1;
  const std::uint64_t round = round_;
  host_.QueryStatus(
      group_.Name(), server,
      [this, round, server](std::optional<sessions::server_status> status) {
        OnStatus(round, server, status);
      });
}

void leadership_check::OnTimer() {
  if (!running_) {
    return;
  }
  if (order_.empty()) {
    if (leader_.empty()) {
      EndRound(leadership_result::kLeaderChanged);
    } else if (host_.Now() < unproven_until_) {
      EndRound(leadership_result::kUnproven);
    } else {
      EndRound(leadership_result::kConfirmed);
    }
    return;
  }
  if (asked_ < order_.size()) {
    AskNext();
    return;
  }
  EndRound(leadership_result::kUnproven);
}

void leadership_check::OnStatus(std::uint64_t round,
                                const std::string& server,
                                std::optional<sessions::server_status> status) {
  if (round != round_ || !running_) {
    return;
  }
  answers_[server] = status;
  if (status.has_value() && status->is_primary) {
    const bool is_newer =
        server != leader_ && status->term > group_.LeaderTerm();
    if (is_newer || server == leader_) {
      group_.OnLeaderSeen(server, status->term, host_.Now());
    }
    if (is_newer) {
      host_.OnLeaderChanged(group_.Name());
    }
  }
  Evaluate();
}

bool leadership_check::IsRecent(const std::string& server) const {
  const auto found = group_.Servers().find(server);
  return found == group_.Servers().end() ||
         round_started_ - found->second.listed_since < kRecentlyListed;
}

void leadership_check::ResolveTerm() {
  if (!resolving_) {
    resolving_ = true;
    Query(leader_);
    host_.SetCheckTimer(group_.Name(), kRoundLimit);
  }
}

void leadership_check::Evaluate() {
  if (group_.Leader() != leader_) {
    EndRound(leadership_result::kLeaderChanged);
    return;
  }
  const core::term_number term = group_.ConfirmedLeaderTerm();
  bool all_are_replicas = true;
  bool is_term_outdated = false;
  for (const std::string& server : order_) {
    const auto found = answers_.find(server);
    if (found == answers_.end() || !found->second.has_value()) {
      all_are_replicas = false;
      continue;
    }
    const sessions::server_status& status = *found->second;
    if (status.term > term) {
      is_term_outdated = true;
      all_are_replicas = false;
      continue;
    }
    // A former leader that goes on cannot have been held.
    const bool held = status.held_term > term && !defects_.ignore_holds;
    if (status.is_primary) {
      all_are_replicas = false;
    } else if (!held && !IsRecent(server)) {
      EndRound(leadership_result::kConfirmed);
      return;
    }
  }
  if (all_are_replicas) {
    EndRound(leadership_result::kConfirmed);
    return;
  }
  if (is_term_outdated) {
    const auto own = answers_.find(leader_);
    if (own == answers_.end()) {
      ResolveTerm();
    } else if (!own->second.has_value()) {
      EndRound(leadership_result::kUnproven);
    } else {
      // The leader itself does not lead the later term.
      group_.OnNotLeader(leader_, host_.Now());
      host_.OnLeaderChanged(group_.Name());
      EndRound(leadership_result::kLeaderChanged);
    }
    return;
  }
  if (asked_ < order_.size()) {
    AskNext();
  } else if (answers_.size() >= order_.size()) {
    EndRound(leadership_result::kUnproven);
  }
}

void leadership_check::EndRound(leadership_result result) {
  if (group_.Leader() != leader_) {
    result = leadership_result::kLeaderChanged;
  }
  if (result == leadership_result::kUnproven &&
      host_.Now() >= unproven_until_) {
    unproven_until_ = host_.Now() + kUnprovenPause;
  }
  running_ = false;
  // A listener may cancel others or request another check.
  while (!current_.empty()) {
    const request next = std::move(current_.back());
    current_.pop_back();
    // The leader may have changed between the request and the round.
    next.listener->OnLeadershipChecked(
        next.server == leader_ ? result : leadership_result::kLeaderChanged);
  }
  if (!running_ && !waiting_.empty()) {
    StartRound();
  }
}

}  // namespace plantaintiller::replication
