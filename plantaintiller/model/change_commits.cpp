// Commits of the simulated group, their replication and their acknowledgement.

#include <algorithm>

#include "plantaintiller/model/change_simulation.h"

namespace plantaintiller::model {

using core::milliseconds;

namespace {

/// Time for which a client waits for a commit.
constexpr milliseconds kCommitTimeout{1500};

bool HasWrite(const change_server& server, int write, std::size_t size) {
  return server.log.size() >= size && server.log[size - 1].write == write;
}

}  // namespace

void change_simulation::Commit() {
  queue.ScheduleAfter(settings.commit_interval, [this] { Commit(); });
  for (change_server& each : servers) {
    if (each.is_leader && each.alive) {
      CommitAt(each);
    }
  }
}

void change_simulation::CommitAt(change_server& leader) {
  const auto waiting = std::count_if(
      unconfirmed_writes.begin(), unconfirmed_writes.end(),
      [&](const auto& each) { return each.second.leader == leader.id; });
  change_instance* sender =
      settings.membership_changes ? DrawSender(leader.id) : nullptr;
  if (waiting > 3 || (settings.membership_changes && sender == nullptr)) {
    if (settings.membership_changes) {
      // A replica that receives again gets what it has missed.
      SendLog(leader);
    }
    return;
  }
  const int write = next_write++;
  leader.log.push_back({leader.term, write});
  unconfirmed_writes[write] = {write,       leader.id,   leader.log.size(),
                               leader.term, queue.Now(), sender};
  if (settings.membership_changes) {
    queue.ScheduleAfter(kCommitTimeout,
                        [this, write] { OnCommitTimeout(write); });
  }
  SendLog(leader);
}

void change_simulation::SendLog(const change_server& leader) {
  for (const change_server& each : servers) {
    if (&each != &leader && !each.gone) {
      queue.ScheduleAfter(
          each.replication_lag + DrawLatency(),
          [this, from = leader.id, to = each.id] { Replicate(from, to); });
    }
  }
}

void change_simulation::Replicate(const std::string& from,
                                  const std::string& to) {
  change_server* leader = Find(from);
  change_server* replica = Find(to);
  const bool receives = leader->is_leader && leader->alive && replica->alive &&
                        !replica->is_leader && replica->held_term == 0 &&
                        replica->term == leader->term &&
                        replica->side == leader->side && leader == Leader();
  // While a replica receives nothing, earlier parts of the log wait as well.
  const bool is_deaf = settings.membership_changes && replica->deaf;
  if (!receives || is_deaf) {
    return;
  }
  replica->log = leader->log;
  std::vector<int> confirmed;
  for (const auto& [write, each] : unconfirmed_writes) {
    if (each.leader == from && HasWrite(*replica, write, each.size)) {
      confirmed.push_back(write);
    }
  }
  for (const int write : confirmed) {
    if (settings.membership_changes) {
      AnswerCommit(write, to);
    } else {
      Acknowledge(write, unconfirmed_writes[write].size);
      unconfirmed_writes.erase(write);
    }
  }
}

void change_simulation::Acknowledge(int write, std::size_t size) {
  acknowledged_in_order.emplace_back(write, size);
  acknowledged.insert(write);
  result.acknowledged += 1;
  result.longest_commit_gap =
      std::max(result.longest_commit_gap,
               core::ToMilliseconds(queue.Now() - last_acknowledged));
  last_acknowledged = queue.Now();
}

change_instance* change_simulation::DrawSender(const std::string& leader) {
  change_instance& drawn =
      *instances[static_cast<std::size_t>(DrawUpTo(settings.instances - 1))];
  const bool sends = !drawn.ended && !drawn.frozen &&
                     drawn.group.Leader() == leader && drawn.Reaches(leader);
  return sends ? &drawn : nullptr;
}

void change_simulation::OnCommitTimeout(int write) {
  const auto found = unconfirmed_writes.find(write);
  if (found == unconfirmed_writes.end()) {
    return;
  }
  const sent_commit commit = found->second;
  unconfirmed_writes.erase(found);
  Deliver(*commit.sender, [commit] {
    commit.sender->group.OnWriteOutcome(commit.leader, false);
  });
}

void change_simulation::AnswerCommit(int write, const std::string& replica) {
  const sent_commit commit = unconfirmed_writes[write];
  unconfirmed_writes.erase(write);
  queue.ScheduleAfter(DrawReadLatency(), [this, commit, replica] {
    if (!commit.sender->Reaches(commit.leader)) {
      return;
    }
    Deliver(*commit.sender, [commit, replica] {
      commit.sender->OnCommitAnswered(commit, replica);
    });
  });
}

void change_simulation::OnCommitPassedOn(const sent_commit& commit,
                                         const std::string& how) {
  const milliseconds age = core::ToMilliseconds(queue.Now() - commit.sent);
  passed_on[commit.write] =
      how + ", passed on by " + commit.sender->settings.holder + " at " +
      TimeOfRun() + " after " + std::to_string(age.count()) + " ms)";
  for (const change_server& each : servers) {
    if (each.is_leader && each.term > commit.term &&
        !HasWrite(each, commit.write, commit.size)) {
      ReportViolation("write " + std::to_string(commit.write) +
                      " is acknowledged but missing at " + each.id +
                      passed_on[commit.write]);
    }
  }
  Acknowledge(commit.write, commit.size);
}

}  // namespace plantaintiller::model
