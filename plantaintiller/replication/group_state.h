#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/leadership_proofs.h"
#include "plantaintiller/replication/statement_limiter.h"

namespace plantaintiller::replication {

/// A backend server as the directory of the platform lists it.
struct server_entry {
  std::string id;
  std::string group;
  /// Where it listens, as HOST:PORT.
  std::string address;
  std::string zone;
  int slots = 1;
  bool draining = false;
  /// Whether it sees itself as the leader of its group.
  bool reports_leader = false;
  /// Unix milliseconds of its start; a new value means that it lost its state.
  std::int64_t born_ms = 0;
  friend bool operator==(const server_entry&, const server_entry&) = default;
};

/// A number that is equal for equal lists, on all instances.
std::uint64_t HashOf(const std::vector<server_entry>& servers);

/// How far an availability zone is from this instance.
enum class distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };

/// Typical round trip over a distance.
core::duration RoundTrip(distance away);

/// What this instance believes of one database group: its servers, which one
/// leads, how loaded each is, and how fresh reads can be proved.
class group_state {
 public:
  /// A server with what this instance has seen of it.
  struct server {
    server_entry entry;
    distance zone_distance = distance::kSameZone;
    /// Connections that this instance uses there now.
    int connections_in_use = 0;
    statement_limiter limiter;
    /// Whether a connection to it is open.
    bool connected = false;
    /// Not chosen for reads before this time, unless nothing else is left.
    core::time_point avoid_until;
    /// Position that its log lacked when it was asked last, and when.
    core::log_position missing_position;
    core::time_point missing_position_at;
    /// Failures in a row without a success between.
    int failures = 0;
    /// When the first of them was sent.
    core::time_point first_failure_sent;
    /// Since when it is not listed; a leader is kept for a while, as long as it
    /// answers, until another leads.
    std::optional<core::time_point> unlisted_since;
    /// Since when it is draining.
    std::optional<core::time_point> draining_since;
    /// Writes in a row that were sent and got no answer in time.
    int unanswered_writes = 0;
  };

  /// @param leave_limit how long a server gets work after it was seen to leave,
  /// draining or off the list.
  explicit group_state(std::string name,
                       core::milliseconds leave_limit = kLeaveLimit)
      : name_(std::move(name)), leave_limit_(leave_limit) {}

  const std::string& Name() const { return name_; }
  leadership_proofs& Proofs() { return proofs_; }
  const leadership_proofs& Proofs() const { return proofs_; }

  /// Replaces the listed servers by a newer list.
  /// @param zones distance of each availability zone.
  void OnList(const std::vector<server_entry>& listed,
              const std::map<std::string, distance>& zones,
              core::time_point now);

  /// A server answered as leader; proves nothing about later moments.
  void OnLeaderSeen(const std::string& server,
                    core::term_number term,
                    core::time_point now);
  /// A server refused what only the leader runs.
  void OnNotLeader(const std::string& server, core::time_point now);
  /// A replica's log was too short for a read.
  /// @param position that it was asked for.
  void OnLagging(const std::string& server,
                 core::log_position position,
                 core::time_point now);
  /// A server answered.
  void OnSuccess(const std::string& server);
  /// A server got work and did not answer, or could not be reached.
  /// @param sent when it got the work.
  void OnUnresponsive(const std::string& server,
                      core::time_point sent,
                      core::time_point now);
  /// A server refused a statement, its queue being full.
  void OnBusy(const std::string& server, core::time_point now);
  /// A server answered, but failed to run a statement.
  void OnStatementFailed(const std::string& server, core::time_point now);
  /// A write was answered, or was not in time.
  void OnWriteOutcome(const std::string& server, bool answered);

  /// Server believed to lead. @return empty if there is none.
  const std::string& Leader() const { return leader_; }
  core::term_number LeaderTerm() const { return leader_term_; }
  /// Server that led last, listed or not.
  const std::string& LastLeader() const { return last_leader_; }
  /// Since when no server leads; nothing while one does.
  std::optional<core::time_point> LeaderlessSince() const;
  /// For how long the group has had no leader, or one that does not answer.
  /// @return zero if it has one that does.
  core::duration LeaderUnavailableFor(core::time_point now) const;
  /// A server that left the list lately, or lost its state.
  struct removed_server {
    server_entry entry;
    core::time_point since;
  };
  const std::map<std::string, removed_server>& RemovedServers() const {
    return removed_;
  }
  /// Where a server listens, listed or gone lately. @return empty if unknown.
  std::string AddressOf(const std::string& server) const;
  /// Since when a server is known to be gone. @return nothing if it is not.
  std::optional<core::time_point> RemovedSince(const std::string& server) const;
  /// Servers in the order in which a read should try them.
  /// Servers that lacked the position a moment ago are left out.
  /// @param excluded servers that the read has tried; @param needed position
  /// that the server must have.
  std::vector<std::string> ReadOrder(
      const std::vector<std::string>& excluded,
      core::time_point now,
      std::optional<core::log_position> needed = std::nullopt) const;
  /// Whether no server of a list may be sent another statement now.
  bool AreSaturated(const std::vector<std::string>& servers,
                    core::time_point now) const;

  /// Whether a server may be sent new work: not once it has been leaving for
  /// too long, even if no other leads yet.
  bool MayGetWork(const std::string& server, core::time_point now) const;

  const std::map<std::string, server>& Servers() const { return servers_; }
  server* Find(const std::string& id);

 private:
  /// A replica that lacked a position is not asked for it, or a later one, for
  /// this long: several times the users' usual lag, so that a few reads a
  /// second find out when it has caught up.
  static constexpr core::milliseconds kLagPause{250};
  /// Pause after a failure, doubled with each further one up to 8 times.
  static constexpr core::milliseconds kFailureBackoff{100};
  /// How long the word of a server that leads outranks an older list: a list
  /// is read once a second and may be a heartbeat late.
  static constexpr core::milliseconds kSeenLeaderPrecedence{3000};

  /// How long a server that is gone is remembered: replicas that are reached at
  /// all are never further behind.
  static constexpr core::milliseconds kRemovedRetention{30000};

  /// For tests: as on both users' sites.
  static constexpr core::milliseconds kLeaveLimit{5000};

  void SetLeader(const std::string& server, core::time_point now);
  void KeepUnlistedLeader(std::map<std::string, server>& next,
                          core::time_point now) const;
  void RecordRemoved(const std::map<std::string, server>& next,
                     core::time_point now);

  std::string name_;
  core::milliseconds leave_limit_;
  std::map<std::string, server> servers_;
  std::map<std::string, removed_server> removed_;
  std::string last_leader_;
  core::time_point leaderless_since_;
  std::string leader_;
  core::term_number leader_term_ = 0;
  core::time_point leader_seen_;
  /// Server that refused as leader while the list still named it.
  std::string rejected_leader_;
  leadership_proofs proofs_;
};

}  // namespace plantaintiller::replication
