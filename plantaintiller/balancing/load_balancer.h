#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "plantaintiller/balancing/balancing_settings.h"
#include "plantaintiller/balancing/outlier_rules.h"
#include "plantaintiller/balancing/server_admission.h"
#include "plantaintiller/balancing/server_cost.h"
#include "plantaintiller/balancing/server_observations.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/distance.h"

namespace plantaintiller::balancing {

/// Kind of a request, for latencies.
enum class request_kind : std::uint8_t {
  /// A read that was placed by the balancer.
  kRead,
  /// A write, or a read that only the leader may answer. Its latency is not
  /// comparable with that of reads: other routes send it, with other run times.
  kLeaderWork,
};

/// How a request to a server ended.
enum class request_outcome : std::uint8_t {
  kAnswered,
  /// The server answered with an error of its own.
  kFailed,
  /// The server refused it because its queue is full.
  kBusy,
  /// The server refused it for a reason that is no fault of the server, for
  /// instance because its log is too short.
  kRefused,
  /// The connection was lost or could not be opened.
  kLost,
  kTimedOut,
};

/// Receives the changes of state of a group's servers.
class ejection_listener {
 public:
  virtual ~ejection_listener() = default;
  virtual void OnEjected(const std::string& group,
                         const std::string& server,
                         ejection_reason reason) = 0;
  /// @param reason why it had been ejected.
  /// @param after for how long.
  virtual void OnReturned(const std::string& group,
                          const std::string& server,
                          ejection_reason reason,
                          core::duration after) = 0;
};

/// Orders the servers of one group for reads, by what this instance has
/// observed of them. It decides only between servers that may run the read;
/// consistency is decided before.
class load_balancer {
 public:
  /// @param listener may be null; otherwise it must outlive the balancer.
  load_balancer(std::string group,
                const balancing_settings& settings,
                ejection_listener* listener);

  /// Replaces the servers. Those that were not in the last list, or have
  /// restarted, begin with a slow start, except those of the first list.
  void SetServers(const std::vector<listed_server>& servers,
                  core::time_point now);
  /// Sets the leader, which is never ejected; empty if there is none.
  void SetLeader(const std::string& leader) { leader_ = leader; }
  /// Called when a request was sent to a server.
  void OnStarted(const std::string& server, core::time_point now);
  /// Called when it no longer runs there. @param started as in `OnStarted`.
  void OnStopped(const std::string& server, core::time_point started);
  /// Called with the outcome of a request.
  /// @param sent when it was sent.
  void OnOutcome(const std::string& server,
                 request_kind kind,
                 request_outcome outcome,
                 core::time_point sent,
                 core::time_point now);
  /// Called when a read was given to a server.
  void OnReadPlaced(const std::string& server, core::time_point now);

  /// @return the candidates in the order in which a read should try them.
  /// Ejected servers are left out, unless there is no other candidate or a
  /// probe is due.
  /// @param may_probe false for a read that already failed elsewhere.
  /// @param random source of the random choices.
  std::vector<std::string> Choose(const std::vector<read_candidate>& candidates,
                                  bool may_probe,
                                  std::mt19937_64& random,
                                  core::time_point now);
  /// @return the candidates without the ejected ones; all of them if all are
  /// ejected.
  std::vector<std::string> WithoutEjected(
      const std::vector<read_candidate>& candidates) const;

  bool IsEjected(const std::string& server) const;
  /// @return the expected cost of a read at each server in milliseconds.
  std::map<std::string, double> Scores(core::time_point now) const;
  /// @return the number of ejections for a reason.
  std::uint64_t Ejections(ejection_reason reason) const {
    return ejections_[static_cast<std::size_t>(reason)];
  }
  /// @return the number of reads that were sent over a distance.
  std::uint64_t Reads(replication::distance zone_distance) const {
    return reads_[static_cast<std::size_t>(zone_distance)];
  }

 private:
  struct member {
    listed_server listed;
    server_observations observed;
    server_admission admission;
  };
  struct scored_candidate {
    const read_candidate* candidate = nullptr;
    const member* server = nullptr;
    double cost = 0;
  };

  /// Returns servers while more are ejected than allowed, for instance because
  /// the list became shorter.
  void ReturnSurplus(core::time_point now);
  /// Returns a server and forgets what was observed of it before.
  void Return(const std::string& id, member& server, core::time_point now);
  /// The servers are evaluated no more often without a new fault, because a
  /// dispatch orders them for each waiting read.
  static constexpr core::milliseconds kEvaluationInterval{5};

  /// Called with the time of each event.
  void NoteTime(core::time_point now);
  /// Ejects the outliers and gives up overdue probes.
  void Evaluate(core::time_point now);
  std::vector<const server_observations*> ObservedOthers(
      const member* excluded) const;
  /// Latency of the group in milliseconds.
  double ReferenceLatency() const;
  /// Moves one server, chosen out of two random ones, to the end of an order.
  static void Take(std::vector<scored_candidate>& from,
                   std::mt19937_64& random,
                   std::vector<std::string>& order);
  /// @return those of the nearest servers that are not loaded.
  std::vector<scored_candidate> NearestUnloaded(
      const std::vector<scored_candidate>& all,
      core::time_point now) const;

  std::string group_;
  balancing_settings settings_;
  ejection_listener* listener_;
  std::map<std::string, member> members_;
  bool listed_ = false;
  std::string leader_;
  /// Latency of the group in milliseconds at the last evaluation.
  double reference_;
  core::time_point evaluated_at_;
  /// Whether a server has failed or was slow since the last evaluation.
  bool fault_seen_ = false;
  core::time_point last_event_;
  /// Since when events have followed each other without a long pause. Such a
  /// pause may be a suspension of this instance, after which old requests tell
  /// nothing about the servers.
  core::time_point resumed_at_;
  std::array<std::uint64_t, kEjectionReasons> ejections_{};
  std::array<std::uint64_t, 3> reads_{};
};

}  // namespace plantaintiller::balancing
