#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "plantaintiller/admission/admission_metrics.h"
#include "plantaintiller/admission/deadline_queue.h"
#include "plantaintiller/admission/retry_budget.h"
#include "plantaintiller/admission/run_times.h"
#include "plantaintiller/admission/wait_prediction.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::admission {

/// Change of state of one group's admission.
struct admission_state_change {
  bool overloaded = false;
  std::size_t waiting = 0;
  /// Requests refused since the last change.
  std::uint64_t refused = 0;
};

/// Receives changes of state, at most one a second for each group.
class admission_listener {
 public:
  virtual ~admission_listener() = default;
  /// Called when requests of a group are refused for overload, and when none
  /// has been for a while.
  virtual void OnAdmissionState(const std::string& group,
                                const admission_state_change& change) = 0;
};

/// Result of the decision on a new request.
struct admission_decision {
  bool admitted = true;
  /// If admitted: how long the request is expected to wait.
  core::duration predicted_wait{0};
};

/// When a refused caller should come back.
struct return_time {
  core::milliseconds pause{0};
  /// Whether its request is then served before those of newcomers. It is not if
  /// too many come back before.
  bool place_kept = false;
};

/// Decides for one group which requests wait, in which order, and which are
/// refused.
class group_admission {
 public:
  /// All references must outlive this object.
  /// @param seed of the jitter of retry-after times.
  group_admission(const replication::group_state& group,
                  admission_metrics& metrics,
                  admission_listener& listener,
                  std::uint64_t seed);

  deadline_queue& Queue() { return queue_; }
  /// Limit on this instance's connections to one server.
  void SetMaxConnections(int count) { max_connections_ = count; }

  /// Decides on a request that arrives now. It is refused if all servers that
  /// may run it are saturated and it could not be answered before its deadline.
  admission_decision Decide(const sessions::connection_requirements& need,
                            core::time_point now);
  /// Decides on a waiting request that has missed its objective.
  /// @return whether it can still be answered before its deadline.
  bool CanStillBeServed(const sessions::connection_requirements& need,
                        core::time_point now);
  /// @return when a server that may run a request last ended work; the epoch if
  /// none has.
  core::time_point LastEnded(const sessions::connection_requirements& need,
                             core::time_point now) const;
  /// @return the last time at which a request should be sent to a server.
  core::time_point LastStart(
      const sessions::connection_requirements& need) const;
  /// Announces to a refused caller when to come back: when the request could be
  /// served, spread so that callers do not return together.
  /// @param keep_place whether a place may be kept for the caller.
  /// @param limit longest time to announce.
  return_time RetryAfter(const sessions::connection_requirements& need,
                         bool keep_place,
                         core::milliseconds limit,
                         core::time_point now);
  /// @return whether a server that may run the request has room for it.
  bool HasRoom(const sessions::connection_requirements& need,
               core::time_point now) const;
  /// Asks for a retry by the system itself. It is always granted while a server
  /// has room and nothing waits, because it then displaces nothing; otherwise
  /// the budget decides.
  bool TryRetry(const sessions::connection_requirements& need,
                core::time_point now);
  /// Called when a request is about to be served, before it leaves the queue.
  void OnServed(request_key key, core::time_point now);
  /// Called when the work of a request has ended and was answered.
  /// @param server the server that ran it.
  void OnEnded(const std::string& server,
               work_kind kind,
               core::duration took,
               core::time_point now);
  /// Called when a statement succeeded.
  void OnSuccess() { budget_.OnSuccess(); }
  /// Called when a request is refused. @param cause a string of static storage.
  void OnRefused(const char* cause,
                 const sessions::connection_requirements& need,
                 core::time_point now);

 private:
  slot_counts Slots(const sessions::connection_requirements& need,
                    core::time_point now) const;
  /// Whether a server may run another statement of this instance.
  bool MayStart(const std::string& server, core::time_point now) const;
  /// How long no server that may run a request has had room or has ended work.
  core::duration StalledFor(const sessions::connection_requirements& need,
                            core::time_point now) const;
  std::optional<core::duration> PredictedWait(
      const sessions::connection_requirements& need,
      bool late,
      core::time_point now) const;
  void UpdateState(core::time_point now);

  const replication::group_state& group_;
  admission_metrics& metrics_;
  admission_listener& listener_;
  std::mt19937_64 random_;
  int max_connections_ = 16;
  run_times run_times_;
  deadline_queue queue_;
  wait_prediction prediction_;
  retry_budget budget_;
  /// When refused callers for whom a place is kept come back.
  std::deque<core::time_point> returns_;
  /// When work last ended at each server.
  std::map<std::string, core::time_point> last_ended_;
  /// When there last was room for requests that need the leader, and for
  /// others.
  core::time_point leader_room_at_;
  core::time_point read_room_at_;
  bool overloaded_ = false;
  std::uint64_t refused_ = 0;
  /// Last refusal while all servers were saturated.
  core::time_point last_overload_;
  core::time_point state_changed_at_;
};

}  // namespace plantaintiller::admission
