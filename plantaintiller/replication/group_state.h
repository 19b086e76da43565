#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/freshness.h"

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

/// How far an availability zone is from this instance.
enum class distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };

/// What this instance believes of one database group: its servers, which one
/// leads, how loaded each is, and how fresh reads can be proved.
class group_state {
 public:
  /// A server with what this instance has seen of it.
  struct server {
    server_entry entry;
    distance away = distance::kSameZone;
    /// Statements that this instance runs there now.
    int running = 0;
    /// Not chosen for reads before this time, unless nothing else is left.
    core::time_point avoid_until;
    /// Failures in a row without a success between.
    int failures = 0;
  };

  explicit group_state(std::string name) : name_(std::move(name)) {}

  const std::string& Name() const { return name_; }
  freshness& Proofs() { return proofs_; }
  const freshness& Proofs() const { return proofs_; }

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
  void OnNotLeader(const std::string& server);
  /// A replica's log was too short for a read.
  void OnLagging(const std::string& server, core::time_point now);
  /// A server answered.
  void OnSuccess(const std::string& server);
  /// A connection to a server failed, or it was too busy.
  void OnTrouble(const std::string& server, core::time_point now);

  /// Server believed to lead. @return empty if there is none.
  const std::string& Leader() const { return leader_; }
  core::term_number LeaderTerm() const { return leader_term_; }
  /// Servers in the order in which a read should try them.
  /// @param excluded servers that the read has tried.
  std::vector<std::string> ReadOrder(const std::vector<std::string>& excluded,
                                     core::time_point now) const;

  const std::map<std::string, server>& Servers() const { return servers_; }
  server* Find(const std::string& id);

 private:
  /// A replica that lagged is likely to lag again this soon; about the time of
  /// one heartbeat of routing samples.
  static constexpr core::milliseconds kLagPause{250};
  /// Pause after a failure, doubled with each further one up to 8 times.
  static constexpr core::milliseconds kTroublePause{100};
  /// How long the word of a server that leads outranks an older list: a list
  /// is read once a second and may be a heartbeat late.
  static constexpr core::milliseconds kSeenOutranksList{3000};

  std::string name_;
  std::map<std::string, server> servers_;
  std::string leader_;
  core::term_number leader_term_ = 0;
  core::time_point leader_seen_;
  /// Server that refused as leader while the list still named it.
  std::string deposed_;
  freshness proofs_;
};

}  // namespace plantaintiller::replication
