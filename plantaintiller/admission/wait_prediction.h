#pragma once

#include <map>
#include <optional>

#include "plantaintiller/admission/deadline_queue.h"
#include "plantaintiller/admission/demand_rate.h"
#include "plantaintiller/admission/run_times.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::admission {

/// Number of statements that this instance may run at a time.
struct slot_counts {
  /// At the leader; 0 if there is none or it gets no work.
  int leader = 0;
  /// At the other servers that may run the request.
  int others = 0;
};

/// Predicts the wait of a request from what is served before it, the observed
/// run times, and the demand that will arrive meanwhile and be served first.
class wait_prediction {
 public:
  /// Both must outlive the prediction.
  wait_prediction(const deadline_queue& queue, const run_times& observed)
      : queue_(queue), run_times_(observed) {}

  /// Records the demand of a new request.
  /// @param admitted false if it was refused.
  void OnArrival(const sessions::connection_requirements& need,
                 bool admitted,
                 core::time_point now);
  /// @param late whether the request is regarded as one that misses its
  /// objective, so that requests that do not are served first.
  /// @param stalled how long no running statement has ended.
  /// @return the wait for a slot; nothing if no server can run the request now,
  /// so that its wait cannot be predicted.
  std::optional<core::duration> Wait(
      const sessions::connection_requirements& need,
      const slot_counts& slots,
      bool late,
      core::duration stalled,
      core::time_point now) const;
  /// @return the time between two starts of such requests while the queue
  /// drains.
  core::duration DrainInterval(const sessions::connection_requirements& need,
                               const slot_counts& slots) const;

 private:
  struct class_demand {
    /// Demand that only the leader can serve, and all demand; of admitted
    /// requests.
    demand_rate leader_only;
    demand_rate all;
    /// Demand of returning callers, which are served before the others.
    demand_rate returning;
    /// Demand of refused requests.
    demand_rate refused;
  };

  /// Demand that will arrive and be served before a request.
  struct demand_ahead {
    double higher_classes = 0;
    double same_class = 0;
  };

  demand_ahead DemandAhead(const sessions::connection_requirements& need,
                           bool late,
                           core::time_point now) const;

  const deadline_queue& queue_;
  const run_times& run_times_;
  std::map<int, class_demand> demand_;
};

}  // namespace plantaintiller::admission
