#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/model/change_instance.h"
#include "plantaintiller/model/change_server.h"
#include "plantaintiller/model/change_world.h"
#include "plantaintiller/model/event_queue.h"

namespace plantaintiller::model {

/// Simulates the servers of a group, the store, the promotions and the faults.
class change_simulation {
 public:
  change_simulation(const change_world_settings& run_settings,
                    std::uint64_t seed);
  change_world_result Run();

  int DrawUpTo(int limit) {
    return std::uniform_int_distribution<int>(0, limit)(random);
  }
  bool DrawPercent(int percent) { return DrawUpTo(99) < percent; }
  core::milliseconds DrawLatency() {
    return core::milliseconds(1 + DrawUpTo(8));
  }
  /// Latency of a read or of a query for a leadership check. It has a random
  /// sequence of its own, so that reads do not change the other events.
  core::milliseconds DrawReadLatency() {
    return core::milliseconds(
        1 + std::uniform_int_distribution<int>(0, 8)(read_random));
  }
  change_server* Find(const std::string& id);
  /// @return the leader of the newest term among the live servers.
  change_server* Leader();
  /// Runs a timer's or an answer's task at an instance: after the lag of its
  /// process, once it is no longer frozen.
  void Deliver(change_instance& to, std::function<void()> task);
  /// Time from which a task is due until a process runs it. Without it no time
  /// would pass between a decision and a timer of 0 ms that depends on it.
  core::milliseconds DrawProcessLag();

  void RunWhenAwake(change_instance& to, std::function<void()> task);
  /// Lets an instance look at the leader, or read the list, again and again.
  void CheckLeaderRepeatedly(change_instance& each);
  void ReadListRepeatedly(change_instance& each);

  void Commit();
  void CommitAt(change_server& leader);
  /// Sends the leader's log to the servers that receive.
  void SendLog(const change_server& leader);
  void Replicate(const std::string& from, const std::string& to);
  void ExecuteCommand(change_server& server,
                      replication::server_command command,
                      core::term_number term);
  void ExecutePromotion(
      const std::string& id,
      std::uint64_t token,
      const std::string& holder,
      const std::function<void(store::promotion_status)>& done);
  void CompletePromotion(const std::string& id);
  /// Makes servers that reach the newest leader follow it. A former leader does
  /// so after a second unless it is demoted before.
  void FollowNewestLeader();
  void FollowRepeatedly();
  void Follow(change_server& server, const change_server& leader);
  /// Checks the order in which tokens are sent where they are not checked by
  /// the platform.
  void OnPromotionSent(std::uint64_t token, const std::string& holder);
  /// @return whether a server has the newest of the first `count` acknowledged
  /// commits.
  bool HasCommits(const change_server& server, std::size_t count) const;
  void InjectRandomFault();
  void InjectPartition(core::milliseconds span);
  void HoldUpPromotions(core::milliseconds span);
  /// Replaces the store's row by its state of some seconds ago.
  void RestoreOlderStore();
  void Crash(change_server& server, core::milliseconds span, bool empty);
  void Acknowledge(int write, std::size_t size);

  /// @return an instance that sends a commit to a leader; null if there is none
  /// that can.
  change_instance* DrawSender(const std::string& leader);
  /// Called when a client no longer waits for a commit.
  void OnCommitTimeout(int write);
  /// Delivers the answer to a commit that a replica has confirmed.
  void AnswerCommit(int write, const std::string& replica);
  /// Called when an instance has passed on the answer to a commit.
  /// @param how description of the commit for a violation.
  void OnCommitPassedOn(const sent_commit& commit, const std::string& how);

  void InjectMembershipFault();
  /// Replaces a server as planned: a new one starts, the old one drains and
  /// leaves. Nothing if a replacement is in progress.
  void Replace(const std::string& old);
  void Leave(const std::string& id);
  /// Lets replicas that stay receive nothing for a while.
  void DeafenReplicas(core::milliseconds span);
  /// Ends the process of an instance and starts another one after a while.
  void RestartInstance(int number);
  void RestartInstancesInTurn();
  /// Called when an instance has claimed a change.
  void OnChangeClaimed();
  /// Delivers the announcement of a change to the other instances.
  void Announce(const change_instance& from);
  /// @return the entries of the list of servers.
  std::vector<replication::server_entry> ListedServers() const;
  void ReportViolation(const std::string& text);
  void LogFault(const std::string& text);
  void Trace(const std::string& text);
  /// @return the time since the start of the run.
  std::string TimeOfRun() const;

  const change_world_settings& settings;
  std::mt19937_64 random;
  std::mt19937_64 read_random;
  std::mt19937_64 lag_random;
  event_queue queue;
  std::vector<change_server> servers;
  std::vector<std::unique_ptr<change_instance>> instances;
  /// Instances whose processes have ended.
  std::vector<std::unique_ptr<change_instance>> ended_instances;
  /// Row of the store that names the members of the group.
  recorded_members members_row;
  bool is_replacing = false;
  replication::group_claim stored_claim;
  /// Earlier states of the row with the times at which they were written.
  std::vector<std::pair<core::time_point, replication::group_claim>>
      stored_claims;
  std::uint64_t store_era = 0;
  std::uint64_t highest_token = 0;
  std::map<std::uint64_t, std::string> token_holders;
  int lost_answer_percent = 0;
  /// Share of the promotions that are held up on their way to the platform.
  int held_promotion_percent = 0;
  int next_write = 1;
  std::map<int, sent_commit> unconfirmed_writes;
  std::set<int> acknowledged;
  /// How each acknowledged commit was confirmed and passed on.
  std::map<int, std::string> passed_on;
  /// Acknowledged commits with the sizes of the log up to them.
  std::vector<std::pair<int, std::size_t>> acknowledged_in_order;
  std::uint64_t highest_sent_token = 0;
  core::time_point last_acknowledged;
  change_world_result result;
};

}  // namespace plantaintiller::model
