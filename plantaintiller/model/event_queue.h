#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "plantaintiller/core/time.h"

namespace plantaintiller::model {

/// Virtual clock with its queue of tasks. Tasks run in the order of their
/// times; tasks with the same time run in the order in which they were
/// scheduled.
class event_queue {
 public:
  using task = std::function<void()>;

  /// Current virtual time.
  core::time_point Now() const { return now_; }
  /// Schedules a task to run after a delay.
  void ScheduleAfter(core::duration delay, task work);
  /// Runs all tasks with times up to and including `end`, then sets the clock
  /// to `end`.
  void RunUntil(core::time_point end);

 private:
  struct entry {
    core::time_point at;
    std::uint64_t sequence_number = 0;
    task work;
    bool operator<(const entry& other) const {
      return at != other.at ? at > other.at
                            : sequence_number > other.sequence_number;
    }
  };
  // Starts above zero because time 0 means "never" to the decision classes.
  core::time_point now_{std::chrono::hours(1)};
  std::uint64_t next_sequence_number_ = 0;
  std::priority_queue<entry> entries_;
};

}  // namespace plantaintiller::model
