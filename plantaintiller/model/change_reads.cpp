// The work of an instance at the leader. The calls of its change and its check
// are in change_instance.cpp.

#include <utility>

#include "plantaintiller/model/change_instance.h"
#include "plantaintiller/model/change_simulation.h"

namespace plantaintiller::model {

using core::milliseconds;

namespace {

/// Time after which the answer to a commit does not prove the leadership.
constexpr milliseconds kLongestProvingCommit{150};

}  // namespace

void change_instance::CheckLeader() {
  const std::string leader = group.Leader();
  if (!leader.empty()) {
    change_server* server = simulated_world.Find(leader);
    const bool answers = server != nullptr && server->alive && Reaches(leader);
    if (!answers) {
      group.OnUnresponsive(leader, Now(), Now());
    } else if (server->is_leader) {
      group.OnSuccess(leader);
      StartRead(leader);
    } else {
      group.OnNotLeader(leader, Now());
    }
  }
  const auto reason = monitor.ChangeNeeded(group, Now());
  if (reason.has_value() && !change->IsActive() && Now() >= earliest_change) {
    earliest_change = Now() + milliseconds(400);
    change->Start(*reason);
  }
}

void change_instance::StartRead(const std::string& leader) {
  const auto read = std::make_shared<leader_read>(*this, leader);
  reads_.push_back(read);
  check->Request(leader, *read);
  simulated_world.queue.ScheduleAfter(simulated_world.DrawReadLatency(),
                                      [read] { read->OnRun(); });
  // Every check has ended by then.
  simulated_world.queue.ScheduleAfter(milliseconds(2000), [this, read] {
    check->Cancel(*read);
    std::erase(reads_, read);
  });
}

change_instance::leader_read::leader_read(change_instance& owner,
                                          std::string server)
    : owner_(owner),
      server_(std::move(server)),
      sent_(owner.Now()),
      acknowledged_(owner.simulated_world.acknowledged_in_order.size()) {}

void change_instance::leader_read::OnRun() {
  const change_server* server = owner_.simulated_world.Find(server_);
  if (server == nullptr || !server->alive || !owner_.Reaches(server_)) {
    return;
  }
  has_run_ = true;
  position_ = server->Position();
  is_complete_ = owner_.simulated_world.HasCommits(*server, acknowledged_);
  UseAnswer();
}

void change_instance::leader_read::OnLeadershipChecked(
    replication::leadership_result result) {
  is_confirmed_ = result == replication::leadership_result::kConfirmed;
  UseAnswer();
}

void change_instance::leader_read::UseAnswer() {
  if (!has_run_ || !is_confirmed_) {
    return;
  }
  owner_.simulated_world.result.reads += 1;
  if (!is_complete_) {
    owner_.simulated_world.ReportViolation("stale read at " + server_ + " by " +
                                           owner_.settings.holder);
  }
  owner_.group.Proofs().OnProof(sent_, position_);
}

void change_instance::OnCommitAnswered(const sent_commit& commit,
                                       const std::string& replica) {
  group.OnSuccess(commit.leader);
  group.OnWriteOutcome(commit.leader, true);
  std::string how = " (confirmed by " + replica;
  const bool proves_leadership = Now() - commit.sent <= kLongestProvingCommit &&
                                 !group.IsLeadershipInDoubt(Now()) &&
                                 group.Leader() == commit.leader;
  if (simulated_world.settings.instance_defects.pass_on_unchecked) {
    PassOn(commit, how + ", unchecked");
    return;
  }
  how += proves_leadership ? ", proves its leader" : ", leader in doubt";
  const auto pending = std::make_shared<commit_check>(*this, commit, how);
  commit_checks_.push_back(pending);
  check->Request(
      commit.leader, *pending,
      replication::acknowledged_commit{commit.Position(), proves_leadership});
  // Every check has ended by then.
  simulated_world.queue.ScheduleAfter(milliseconds(2000), [this, pending] {
    check->Cancel(*pending);
    std::erase(commit_checks_, pending);
  });
}

void change_instance::commit_check::OnLeadershipChecked(
    replication::leadership_result result) {
  if (result == replication::leadership_result::kConfirmed) {
    owner_.PassOn(commit_, how_);
  }
}

void change_instance::PassOn(const sent_commit& commit,
                             const std::string& how) {
  group.Proofs().OnProof(commit.sent, commit.Position());
  group.OnLeaderSeen(commit.leader, commit.term, Now());
  check->OnCommitConfirmed(commit.leader, commit.sent);
  recorder.OnCommitConfirmed(commit.sent);
  simulated_world.OnCommitPassedOn(commit, how);
}

}  // namespace plantaintiller::model
