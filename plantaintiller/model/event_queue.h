#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "plantaintiller/core/time.h"

namespace plantaintiller::model {

/// Virtual time: runs tasks in the order of their times, and of their posting
/// where the times are the same.
class event_queue {
 public:
  using task = std::function<void()>;

  /// Time of the task that runs, or of the last one.
  core::time_point Now() const { return now_; }
  /// Runs a task after a delay.
  void ScheduleAfter(core::duration delay, task work);
  /// Runs everything up to a time.
  void RunUntil(core::time_point end);

 private:
  struct entry {
    core::time_point at;
    std::uint64_t order = 0;
    task work;
    bool operator<(const entry& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  // Starts above zero, since decisions take time 0 to mean never.
  core::time_point now_{std::chrono::hours(1)};
  std::uint64_t next_order_ = 0;
  std::priority_queue<entry> entries_;
};

}  // namespace plantaintiller::model
