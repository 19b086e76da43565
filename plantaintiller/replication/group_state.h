#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "plantaintiller/balancing/load_balancer.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/distance.h"
#include "plantaintiller/replication/leadership_proofs.h"
#include "plantaintiller/replication/statement_limiter.h"

namespace plantaintiller::replication {

/// A backend server as listed in the platform's directory.
struct server_entry {
  std::string id;
  std::string group;
  /// Address on which it listens, as HOST:PORT.
  std::string address;
  std::string zone;
  int slots = 1;
  bool draining = false;
  /// Whether the server reports that it is the leader of its group.
  bool reports_leader = false;
  /// Start time in Unix milliseconds. A new value means that the server has
  /// restarted and lost its state.
  std::int64_t born_ms = 0;
  friend bool operator==(const server_entry&, const server_entry&) = default;
};

/// @return a hash that is equal on all instances for equal lists.
std::uint64_t HashOf(const std::vector<server_entry>& servers);

/// State of one database group as known to this instance: its servers, which of
/// them is the leader, the load of each, and the leadership proofs that bound
/// the staleness of reads.
class group_state {
 public:
  /// A server with what this instance has observed about it.
  struct server {
    server_entry entry;
    distance zone_distance = distance::kSameZone;
    /// Connections to it that this instance uses now.
    int connections_in_use = 0;
    statement_limiter limiter;
    /// Whether a connection to it is open.
    bool connected = false;
    /// Until this time it is chosen for reads only if no other server is left.
    core::time_point avoid_until;
    /// Position that its log did not contain at the last request that needed
    /// one, and the time of that answer.
    core::log_position missing_position;
    core::time_point missing_position_at;
    /// Consecutive failures.
    int failures = 0;
    /// Time at which the request that failed first was sent.
    core::time_point first_failure_sent;
    /// Time since which it is listed; the epoch if it started long before this
    /// instance did, or was listed before and has not left while draining.
    core::time_point listed_since;
    /// Time since which it is not listed. An unlisted leader is kept for a
    /// while, as long as it answers, until another server is the leader.
    std::optional<core::time_point> unlisted_since;
    /// Time since which it is draining.
    std::optional<core::time_point> draining_since;
    /// Consecutive writes that were sent and not answered in time.
    int unanswered_writes = 0;
  };

  /// How long a removed server is remembered. A replica that can be reached at
  /// all is never further behind than this.
  static constexpr core::milliseconds kRemovedRetention{30000};

  /// How long a server that left the list while it did not drain counts as one
  /// that every instance knows: as above, less the time within which others may
  /// have seen it leave earlier.
  static constexpr core::milliseconds kRemovedMemberTrust{25000};

  /// Age of a list up to which a promotion may rely on it. Lists are read once
  /// a second.
  static constexpr core::milliseconds kMaxListAgeForChange{2000};
  /// Time after which a listed server is known to whoever changes the leader:
  /// the age of the list that a change may rely on, with a read and its answer.
  static constexpr core::milliseconds kSettlingTime{3000};
  /// Age from which on a server in the first list of an instance is settled: as
  /// above, and by how much clocks may differ.
  static constexpr core::milliseconds kSettledAge{15000};
  /// How long an announced change of the leader is expected to go on: a claim
  /// is valid for as long.
  static constexpr core::milliseconds kChangeNotice{2500};
  /// How long after an announcement the next one belongs to the same change: a
  /// claim is valid for half as long, and its holder pauses for as long again
  /// before it takes up an order without an answer.
  static constexpr core::milliseconds kChangeContinuation{5000};
  /// Age of the list from which on this instance may be cut off from the others
  /// and hear of no change: longer than the interval at which it hears of reads
  /// by others, in a large deployment.
  static constexpr core::milliseconds kIsolationAge{5000};

  /// @param draining_grace_period how long a server still gets work after it
  /// was first seen draining or missing from the list.
  explicit group_state(
      std::string name,
      core::milliseconds draining_grace_period = kDrainingGracePeriod)
      : name_(std::move(name)), draining_grace_period_(draining_grace_period) {}

  const std::string& Name() const { return name_; }
  /// Orders reads by the load and the faults of the servers from now on; until
  /// then they are ordered by fixed costs.
  /// @param seed seed of the random choices.
  /// @param listener may be null; otherwise it must outlive the group.
  void EnableBalancing(std::uint64_t seed,
                       balancing::ejection_listener* listener);
  /// @return what balances the reads; null if balancing is not enabled.
  balancing::load_balancer* Balancer() {
    return balancer_.has_value() ? &*balancer_ : nullptr;
  }
  /// @return as above.
  const balancing::load_balancer* Balancer() const {
    return balancer_.has_value() ? &*balancer_ : nullptr;
  }
  /// Sets the number of replicas that must have received a commit before it is
  /// acknowledged.
  void SetConfirmingReplicas(int count) { confirming_replicas_ = count; }
  /// @return whether an acknowledged commit proves that its server was still
  /// the leader when the commit was sent: a replica that was not held had
  /// received it.
  bool CommitsProveLeadership() const { return confirming_replicas_ > 0; }
  leadership_proofs& Proofs() { return proofs_; }
  const leadership_proofs& Proofs() const { return proofs_; }

  /// Replaces the servers by those of a newer list.
  /// @param listed servers of all groups; those of other groups are ignored.
  /// @param zones distance of each availability zone.
  /// @param unix_now time of day; 0 if it is not known.
  void OnList(const std::vector<server_entry>& listed,
              const std::map<std::string, distance>& zones,
              core::time_point now,
              core::milliseconds unix_now = core::milliseconds(0));

  /// Called when this instance has read the list.
  /// @param asked_at time at which it asked the store.
  /// @param suspended how long the machine had been suspended by then.
  void OnListRead(core::time_point asked_at, core::duration suspended) {
    list_asked_at_ = asked_at;
    list_suspended_ = suspended;
  }
  /// Called when this instance hears of a read of the store, its own or that of
  /// another one.
  void OnStoreHeard(core::time_point read_at) {
    store_heard_at_ = std::max(store_heard_at_, read_at);
  }
  /// @return whether this instance has read the list recently enough for a
  /// promotion; true if it has read none.
  /// @param suspended how long the machine has been suspended by now.
  bool IsListCurrent(core::time_point now, core::duration suspended) const;
  /// Called when some instance, this one included, changes the leader.
  void OnChangeAnnounced(core::time_point now);
  /// @return whether a server was listed long enough that every instance which
  /// changes the leader knows it, or was removed by a lapse of its entry.
  /// During a change it must have been so when the change began: a promotion
  /// may be carried out seconds after its order, and what it was decided on is
  /// as old.
  bool IsSettled(const std::string& server, core::time_point now) const;
  /// @return whether the leader may be about to be replaced, so that the
  /// acknowledgement of a commit does not prove that its server still leads.
  bool IsLeadershipInDoubt(core::time_point now) const;

  /// Called with a server that the store names as a member of the group. If it
  /// is not listed, or listed after a restart, it is treated as one that has
  /// just been removed.
  void OnRecordedMember(const server_entry& entry, core::time_point now);

  /// Called when a server answered as leader. The answer proves nothing about
  /// later times.
  void OnLeaderSeen(const std::string& server,
                    core::term_number term,
                    core::time_point now);
  /// Called when a server refused a request that only the leader runs.
  void OnNotLeader(const std::string& server, core::time_point now);
  /// Called when a replica's log was too short for a read.
  /// @param position position that the read needed.
  void OnLagging(const std::string& server,
                 core::log_position position,
                 core::time_point now);
  /// Called when a server answered.
  void OnSuccess(const std::string& server);
  /// Called when a server did not answer a request or could not be reached.
  /// @param sent time at which the request was sent.
  void OnUnresponsive(const std::string& server,
                      core::time_point sent,
                      core::time_point now);
  /// Called when a server refused a statement because its queue is full.
  void OnBusy(const std::string& server, core::time_point now);
  /// Called when a server answered that it failed to run a statement.
  void OnStatementFailed(const std::string& server, core::time_point now);
  /// Called when a write was answered or timed out.
  /// @param answered false if it timed out.
  void OnWriteOutcome(const std::string& server, bool answered);

  /// @return the server that is presumed to be the leader; empty if there is
  /// none.
  const std::string& Leader() const { return leader_; }
  /// @return the newest term in which `Leader` was seen to lead; 0 if only the
  /// list names it as leader.
  core::term_number ConfirmedLeaderTerm() const { return confirmed_term_; }
  /// A server with a term in which it was seen to lead.
  struct seen_leader {
    std::string server;
    core::term_number term = 0;
  };
  /// @return the presumed leader with the term in which it was seen to lead;
  /// nothing if only the list names it.
  std::optional<seen_leader> SeenLeader() const {
    return leader_.empty() || confirmed_term_ == 0
               ? std::nullopt
               : std::optional(seen_leader{leader_, confirmed_term_});
  }
  /// @return the newest term in which any server of the group was seen to lead.
  core::term_number LeaderTerm() const { return leader_term_; }
  /// @return when a server was last seen to lead; the epoch if none was.
  core::time_point LeaderSeenAt() const { return leader_seen_; }
  /// @return the last known leader, listed or not.
  const std::string& LastLeader() const { return last_leader_; }
  /// @return the time since which the group has no leader; nothing if it has
  /// one.
  std::optional<core::time_point> LeaderlessSince() const;
  /// @return for how long the group has had no leader or an unresponsive one;
  /// zero if its leader answers.
  core::duration LeaderUnavailableFor(core::time_point now) const;
  /// A server that recently left the list or lost its state in a restart.
  struct removed_server {
    server_entry entry;
    core::time_point since;
  };
  const std::map<std::string, removed_server>& RemovedServers() const {
    return removed_;
  }
  /// @return the address of a listed or recently removed server; empty if it is
  /// unknown.
  std::string AddressOf(const std::string& server) const;
  /// @return the time at which a server was found to be removed or restarted;
  /// nothing if it was not.
  std::optional<core::time_point> RemovedSince(const std::string& server) const;
  /// @return the servers in the order in which a read should try them. Servers
  /// that did not have the needed position at a recent request are left out.
  /// @param excluded servers that the read has already tried.
  /// @param needed position that the server must have.
  std::vector<std::string> ReadOrder(
      const std::vector<std::string>& excluded,
      core::time_point now,
      std::optional<core::log_position> needed = std::nullopt) const;
  /// As `ReadOrder`, for a read that will be given to the first server of the
  /// order that is free. With balancing, the order is partly random, and its
  /// first server may be an ejected one that is to be probed.
  /// @param may_probe false for a read whose failure the caller would notice.
  std::vector<std::string> ChooseReadOrder(
      const std::vector<std::string>& excluded,
      core::time_point now,
      std::optional<core::log_position> needed,
      bool may_probe);
  /// @return the listed servers other than the leader that may have become the
  /// leader. A draining replica is never promoted, so it is left out if another
  /// server is there.
  std::vector<std::string> PossibleLeaders() const;
  /// @return whether no server of a list may be sent another statement now.
  bool AreSaturated(const std::vector<std::string>& servers,
                    core::time_point now) const;

  /// @return whether a server may be sent new work. A server that has been
  /// draining for too long may not, even if there is no other leader yet.
  bool AcceptsNewWork(const std::string& server, core::time_point now) const;

  const std::map<std::string, server>& Servers() const { return servers_; }
  /// @return null if the server is unknown.
  server* Find(const std::string& id);

 private:
  /// After a replica did not have a position, reads that need this position or
  /// a later one skip it for this time. It is several times the usual
  /// replication lag at the users; a few reads a second then test whether the
  /// replica has caught up.
  static constexpr core::milliseconds kLagPause{250};
  /// Pause after a failure, doubled with each further one up to 8 times its
  /// length.
  static constexpr core::milliseconds kFailureBackoff{100};
  /// How long a server's own answer that it is the leader takes precedence over
  /// the list: the list is read once a second and may be a heartbeat late.
  static constexpr core::milliseconds kSeenLeaderPrecedence{3000};

  /// Default for tests, equal to the setting on both users' sites.
  static constexpr core::milliseconds kDrainingGracePeriod{5000};

  /// @return the servers that may run a read, with their fixed costs.
  std::vector<std::pair<double, std::string>> ReadCosts(
      const std::vector<std::string>& excluded,
      core::time_point now,
      std::optional<core::log_position> needed) const;
  std::vector<balancing::read_candidate> ReadCandidates(
      const std::vector<std::string>& excluded,
      core::time_point now,
      std::optional<core::log_position> needed) const;
  /// @return whether a change of the leader was announced so recently that its
  /// orders may still be carried out.
  bool IsChangeRecent(core::time_point now) const;
  void SetLeader(const std::string& server, core::time_point now);
  core::time_point ListedSince(const server_entry& entry,
                               core::time_point now,
                               core::milliseconds unix_now) const;
  void KeepUnlistedLeader(std::map<std::string, server>& next,
                          core::time_point now) const;
  void ListBalancedServers(core::time_point now);
  void RecordRemoved(const std::map<std::string, server>& next,
                     core::time_point now);

  std::string name_;
  core::milliseconds draining_grace_period_;
  std::map<std::string, server> servers_;
  std::map<std::string, removed_server> removed_;
  /// Unlisted servers that the store names, with the time at which this
  /// instance first learned of each.
  std::map<std::pair<std::string, std::int64_t>, core::time_point>
      recorded_since_;
  std::string last_leader_;
  core::time_point leaderless_since_;
  std::string leader_;
  core::term_number leader_term_ = 0;
  core::term_number confirmed_term_ = 0;
  core::time_point leader_seen_;
  bool has_list_ = false;
  core::time_point list_asked_at_;
  core::duration list_suspended_{0};
  core::time_point store_heard_at_;
  core::time_point change_announced_at_;
  /// First announcement of the change that was announced last; the epoch if
  /// none was heard.
  core::time_point change_began_at_;
  /// Server that answered that it is not the leader while the list still named
  /// it as leader.
  std::string rejected_leader_;
  int confirming_replicas_ = 0;
  leadership_proofs proofs_;
  std::optional<balancing::load_balancer> balancer_;
  std::mt19937_64 random_;
};

}  // namespace plantaintiller::replication
