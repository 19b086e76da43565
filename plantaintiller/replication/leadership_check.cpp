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
/// Rounds in which a commit may reach a settled server: it usually has arrived
/// one round trip after its acknowledgement.
constexpr int kMaxCommitRounds = 3;
/// If the last confirmed commit is older than this, none is expected to arrive
/// within the time of a round.
constexpr core::milliseconds kCommitExpected{1000};

}  // namespace

leadership_check::leadership_check(leadership_check_host& host,
                                   group_state& group,
                                   const injected_check_defects& defects)
    : host_(host), group_(group), defects_(defects) {}

void leadership_check::Request(const std::string& server,
                               leadership_check_listener& listener,
                               std::optional<acknowledged_commit> commit) {
  if (defects_.join_running_round && running_) {
    current_.push_back({server, &listener, round_started_, commit});
    return;
  }
  waiting_.push_back({server, &listener, host_.Now(), commit});
  if (!running_) {
    StartRound();
  }
}

void leadership_check::Cancel(leadership_check_listener& listener) {
  const auto is_same = [&listener](const auto& each) {
    return each.listener == &listener;
  };
  std::erase_if(waiting_, is_same);
  std::erase_if(current_, is_same);
  std::erase_if(ended_, is_same);
}

void leadership_check::OnCommitConfirmed(const std::string& server,
                                         core::time_point sent) {
  last_commit_ = std::max(last_commit_, sent);
  if (server == group_.Leader()) {
    const leadership_evidence evidence =
        leadership_evidence::FromCommit(server, sent);
    Confirm(evidence, current_);
    // The answers of a round are older than the commits that wait for the next.
    std::vector<request> commits;
    std::erase_if(waiting_, [&commits](const request& each) {
      if (each.commit.has_value()) {
        commits.push_back(each);
      }
      return each.commit.has_value();
    });
    Confirm(evidence, waiting_);
    waiting_.insert(waiting_.end(), commits.begin(), commits.end());
    NotifyEnded();
  }
}

bool leadership_check::IsHopeless() const {
  const core::time_point now = host_.Now();
  return now - failed_at_ < kUnprovenPause &&
         now - last_commit_ > kCommitExpected;
}

std::optional<leadership_result> leadership_check::ResultWithoutAsking() const {
  if (leader_.empty()) {
    return leadership_result::kLeaderChanged;
  }
  // A server that does not answer delays only requests that need all of them.
  if (others_.empty() || (IsHopeless() && !HasProvingCommit())) {
    return leadership_result::kUnproven;
  }
  return std::nullopt;
}

bool leadership_check::HasProvingCommit() const {
  return std::any_of(
      current_.begin(), current_.end(), [this](const request& each) {
        return each.server == leader_ && each.commit.has_value() &&
               each.commit->proves_leadership;
      });
}

void leadership_check::StartRound() {
  running_ = true;
  round_ += 1;
  round_started_ = host_.Now();
  current_ = std::exchange(waiting_, {});
  leader_ = group_.Leader();
  answers_.clear();
  resolving_ = false;
  others_ = group_.PossibleLeaders();
  unasked_result_ = ResultWithoutAsking();
  if (unasked_result_.has_value() || defects_.trust_leader) {
    // The listeners are called from the timer, never during `Request`.
    host_.SetCheckTimer(group_.Name(), core::milliseconds(0));
    return;
  }
  host_.SetCheckTimer(group_.Name(), kRoundLimit);
  for (const std::string& each : others_) {
    Query(each);
  }
  receivers_.clear();
  if (std::none_of(current_.begin(), current_.end(), [](const request& each) {
        return each.commit.has_value();
      })) {
    return;
  }
  for (const auto& [id, each] : group_.Servers()) {
    const bool is_asked =
        std::find(others_.begin(), others_.end(), id) != others_.end();
    if (id != leader_ && !is_asked && group_.IsSettled(id, host_.Now())) {
      receivers_.push_back(id);
      Query(id);
    }
  }
  for (const auto& [id, removed] : group_.RemovedServers()) {
    if (!group_.Servers().contains(id) && group_.IsSettled(id, host_.Now())) {
      receivers_.push_back(id);
      Query(id);
    }
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
  const bool confirms_unasked =
      defects_.confirms_unasked && !IsHopeless() && unasked_result_.has_value();
  if (defects_.trust_leader || confirms_unasked) {
    Confirm(leadership_evidence::FromCommit(leader_, round_started_), current_);
  }
  EndRound(unasked_result_.value_or(leadership_result::kUnproven));
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
  NotifyEnded();
}

void leadership_check::ResolveTerm() {
  if (!resolving_) {
    resolving_ = true;
    Query(leader_);
    host_.SetCheckTimer(group_.Name(), kRoundLimit);
  }
}

bool leadership_check::IsTermOutdated() const {
  const core::term_number term = group_.ConfirmedLeaderTerm();
  return std::any_of(
      others_.begin(), others_.end(), [&](const std::string& server) {
        const auto found = answers_.find(server);
        return found != answers_.end() && found->second.has_value() &&
               found->second->term > term;
      });
}

std::optional<leadership_evidence> leadership_check::GatheredEvidence() const {
  const core::term_number term = group_.ConfirmedLeaderTerm();
  if (defects_.ask_one_replica) {
    for (const auto& [server, status] : answers_) {
      if (server != leader_ && status.has_value() &&
          status->held_term <= term) {
        auto evidence = leadership_evidence::FromAnswers(
            leader_, term, {server}, round_started_, answers_);
        if (evidence.has_value()) {
          return evidence;
        }
      }
    }
  }
  return leadership_evidence::FromAnswers(leader_, term, others_,
                                          round_started_, answers_);
}

void leadership_check::Evaluate() {
  if (group_.Leader() != leader_) {
    EndRound(leadership_result::kLeaderChanged);
    return;
  }
  ConfirmReceived();
  if (current_.empty()) {
    EndRound(leadership_result::kUnproven);
    return;
  }
  const std::optional<leadership_evidence> evidence = GatheredEvidence();
  if (evidence.has_value()) {
    Confirm(*evidence, current_);
    if (AwaitsReceiver()) {
      return;
    }
    EndRound(leadership_result::kLeaderChanged);
    return;
  }
  if (!IsTermOutdated()) {
    return;
  }
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
}

void leadership_check::Confirm(const leadership_evidence& evidence,
                               std::vector<request>& requests) {
  const auto take = [&](const request& each) {
    const bool confirmed =
        evidence.Confirms(each.server, each.requested) &&
        (!each.commit.has_value() || IsReceived(each.commit->position));
    if (confirmed) {
      ended_.push_back({each.listener, leadership_result::kConfirmed});
    }
    return confirmed;
  };
  std::erase_if(requests, take);
}

void leadership_check::ConfirmReceived() {
  std::erase_if(current_, [this](const request& each) {
    const bool confirmed = each.server == leader_ && each.commit.has_value() &&
                           each.commit->proves_leadership &&
                           IsReceived(each.commit->position);
    if (confirmed) {
      ended_.push_back({each.listener, leadership_result::kConfirmed});
    }
    return confirmed;
  });
}

bool leadership_check::IsReceived(core::log_position commit) const {
  const core::term_number term = group_.ConfirmedLeaderTerm();
  return std::any_of(answers_.begin(), answers_.end(), [&](const auto& each) {
    const std::optional<sessions::server_status>& status = each.second;
    // A log of a later term may lack the commit at the same offset.
    return each.first != leader_ && status.has_value() && !status->is_primary &&
           status->term <= term &&
           status->received.entry_term == commit.entry_term &&
           status->received.offset >= commit.offset &&
           group_.IsSettled(each.first, host_.Now());
  });
}

bool leadership_check::AwaitsReceiver() const {
  const bool is_pending = std::any_of(
      receivers_.begin(), receivers_.end(),
      [this](const std::string& each) { return !answers_.contains(each); });
  return is_pending && std::any_of(current_.begin(), current_.end(),
                                   [this](const request& each) {
                                     return each.commit.has_value() &&
                                            each.server == leader_;
                                   });
}

void leadership_check::EndRound(leadership_result failure) {
  if (group_.Leader() != leader_) {
    failure = leadership_result::kLeaderChanged;
  }
  if (failure != leadership_result::kUnproven) {
    failed_at_ = {};
  } else if (!unasked_result_.has_value() && !current_.empty() &&
             !GatheredEvidence().has_value()) {
    failed_at_ = host_.Now();
  }
  running_ = false;
  for (request& each : std::exchange(current_, {})) {
    if (each.commit.has_value() && each.server == leader_ &&
        leader_ == group_.Leader() && !unasked_result_.has_value()) {
      // The leader is the same, but no settled server has the commit yet.
      if (++each.rounds < kMaxCommitRounds) {
        waiting_.push_back(each);
      } else {
        ended_.push_back({each.listener, leadership_result::kUnproven});
      }
      continue;
    }
    // The leader may have changed between the request and the round.
    ended_.push_back({each.listener, each.server == leader_
                                         ? failure
                                         : leadership_result::kLeaderChanged});
  }
  NotifyEnded();
  if (!running_ && !waiting_.empty()) {
    StartRound();
  }
}

void leadership_check::NotifyEnded() {
  while (!ended_.empty()) {
    const ended_request next = ended_.front();
    ended_.pop_front();
    next.listener->OnLeadershipChecked(next.result);
  }
}

}  // namespace plantaintiller::replication
