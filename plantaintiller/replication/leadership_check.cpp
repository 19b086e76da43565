#include "plantaintiller/replication/leadership_check.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::replication {

namespace {

/// Time-out of a round: a new connection and a round trip between regions.
constexpr core::milliseconds kRoundLimit{250};
/// For how long requests fail at once after a round without a result, so that
/// callers of an instance that is cut off are refused without a wait.
constexpr core::milliseconds kUnprovenPause{200};
/// If the last confirmed commit is older than this, none is expected to arrive
/// within the time of a round.
constexpr core::milliseconds kCommitExpected{1000};

}  // namespace

leadership_check::leadership_check(leadership_check_host& host,
                                   group_state& group,
                                   const injected_check_defects& defects)
    : host_(host), group_(group), defects_(defects) {}

void leadership_check::Request(const std::string& server,
                               leadership_check_listener& listener) {
  const request added{server, &listener, host_.Now()};
  if (defects_.join_running_round && running_) {
    current_.push_back(added);
    return;
  }
  waiting_.push_back(added);
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

void leadership_check::OnCommitConfirmed(const std::string& server,
                                         core::time_point sent) {
  last_commit_ = std::max(last_commit_, sent);
  if (server != group_.Leader()) {
    return;
  }
  std::vector<leadership_check_listener*> confirmed;
  const auto take = [&](const request& each) {
    const bool proved = each.server == server && each.requested <= sent;
    if (proved) {
      confirmed.push_back(each.listener);
    }
    return proved;
  };
  std::erase_if(current_, take);
  std::erase_if(waiting_, take);
  for (leadership_check_listener* each : confirmed) {
    each->OnLeadershipChecked(leadership_result::kConfirmed);
  }
}

bool leadership_check::IsHopeless() const {
  const core::time_point now = host_.Now();
  return now - failed_at_ < kUnprovenPause &&
         now - last_commit_ > kCommitExpected;
}

void leadership_check::StartRound() {
  running_ = true;
  round_ += 1;
  current_ = std::exchange(waiting_, {});
  leader_ = group_.Leader();
  answers_.clear();
  resolving_ = false;
  others_ = group_.PossibleLeaders();
  if (leader_.empty() || IsHopeless() || others_.empty() ||
      defects_.trust_leader) {
    // The result follows from the timer, never during `Request`.
    others_.clear();
    host_.SetCheckTimer(group_.Name(), core::milliseconds(0));
    return;
  }
  host_.SetCheckTimer(group_.Name(), kRoundLimit);
  for (const std::string& each : others_) {
    Query(each);
  }
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
  if (!others_.empty()) {
    EndRound(leadership_result::kUnproven);
  } else if (leader_.empty()) {
    EndRound(leadership_result::kLeaderChanged);
  } else {
    EndRound(IsHopeless() ? leadership_result::kUnproven
                          : leadership_result::kConfirmed);
  }
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
  std::size_t replicas = 0;
  bool is_term_outdated = false;
  for (const std::string& server : others_) {
    const auto found = answers_.find(server);
    if (found == answers_.end() || !found->second.has_value()) {
      continue;
    }
    const sessions::server_status& status = *found->second;
    is_term_outdated = is_term_outdated || status.term > term;
    // A primary of an earlier term is a former leader that goes on.
    if (status.term < term || (status.term == term && !status.is_primary)) {
      replicas += 1;
      if (defects_.ask_one_replica && status.held_term <= term) {
        EndRound(leadership_result::kConfirmed);
        return;
      }
    }
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
  } else if (replicas == others_.size()) {
    EndRound(leadership_result::kConfirmed);
  }
}

void leadership_check::EndRound(leadership_result result) {
  if (group_.Leader() != leader_) {
    result = leadership_result::kLeaderChanged;
  }
  if (result != leadership_result::kUnproven) {
    failed_at_ = {};
  } else if (!others_.empty()) {
    failed_at_ = host_.Now();
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
