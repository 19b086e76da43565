#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "plantaintiller/core/statement.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/class_queue.h"

namespace plantaintiller::decisions {

/// Connections that an instance holds to one backend server, with the queues of
/// the work that waits for them.
class backend_pool {
 public:
  /// Work that may start, and the connection acquired for it.
  struct started_work {
    std::uint64_t handle = 0;
    std::uint32_t connection = 0;
  };

  /// @param limit number of connections held;
  /// @param queue_capacity maximum number of queued entries per class.
  backend_pool(int limit, std::size_t queue_capacity);

  /// Changes the number of connections. A busy connection beyond the new limit
  /// is closed when its work ends.
  /// @return idle connections beyond the new limit, to be closed now.
  std::vector<std::uint32_t> SetLimit(int limit);
  int Limit() const { return static_cast<int>(limit_); }
  /// Sets the time at which the server stops receiving work.
  void SetCloseTime(core::time_point at) { closes_at_ = at; }
  /// Whether the server may receive work.
  bool IsOpen(core::time_point now) const {
    return limit_ > 0 && now < closes_at_;
  }

  /// Estimated time until work queued now would start.
  core::duration ExpectedWait(core::request_class priority) const;
  /// Queues work. @return false if the class's queue is full.
  bool Push(core::request_class priority, std::uint64_t handle) {
    return queue_.Push(priority, handle);
  }
  /// Removes queued work, if present.
  void Erase(core::request_class priority, std::uint64_t handle) {
    queue_.Erase(priority, handle);
  }
  /// Removes any queued work. @return nullopt if there is none.
  std::optional<std::uint64_t> PopAny() { return queue_.PopAny(); }

  /// Removes the next work that may start and acquires a free connection for
  /// it.
  /// @return nullopt if there is no such work or connection.
  std::optional<started_work> StartNext(core::time_point now);
  /// Releases a connection.
  /// @return whether it is beyond the limit and must be closed.
  bool Release(std::uint32_t connection, core::request_class priority);
  /// Leaves a connection unused until a point in time.
  void Pause(std::uint32_t connection, core::time_point until) {
    connections_[connection].paused_until = until;
  }
  /// Records how long a statement has used a connection.
  void RecordServiceTime(core::duration took);

  /// Whether another transaction may be opened.
  /// @param percent of the connections that transactions may hold.
  bool CanOpenTransaction(int percent) const;
  /// Counts a transaction that is being opened; OnTransactionEnded must follow.
  void OnTransactionOpening() { transactions_ += 1; }
  void OnTransactionEnded() { transactions_ -= 1; }

 private:
  struct connection_state {
    bool busy = false;
    core::time_point paused_until;
  };

  class_queue queue_;
  std::size_t limit_;
  std::vector<connection_state> connections_;
  core::time_point closes_at_ = core::time_point::max();
  int transactions_ = 0;
  // Smoothed time for which a statement uses a connection.
  core::duration service_time_ = std::chrono::milliseconds(2);
};

}  // namespace plantaintiller::decisions
