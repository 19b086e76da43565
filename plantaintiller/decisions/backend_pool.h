#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "plantaintiller/core/statement.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/class_queue.h"

namespace plantaintiller::decisions {

/// The connections that an instance holds to one backend server, and the queues
/// in front of them.
class backend_pool {
 public:
  /// Work that may start, and the connection to start it on.
  struct started_work {
    std::uint64_t handle = 0;
    std::uint32_t connection = 0;
  };

  /// @param limit connections held; @param queue_capacity entries a class.
  backend_pool(int limit, std::size_t queue_capacity);

  /// Changes the number of connections. Those numbered beyond it end with the
  /// work that they carry.
  /// @return idle connections beyond the new limit, to be closed now.
  std::vector<std::uint32_t> SetLimit(int limit);
  int Limit() const { return static_cast<int>(limit_); }
  /// Sets when the server stops getting work.
  void SetCloseTime(core::time_point at) { closes_at_ = at; }
  /// Whether the server may be given work.
  bool IsOpen(core::time_point now) const {
    return limit_ > 0 && now < closes_at_;
  }

  /// Time until work queued now would start, as estimated.
  core::duration ExpectedWait(core::request_class priority) const;
  /// Queues work. @return false if the class's queue is full.
  bool Push(core::request_class priority, std::uint64_t handle) {
    return queue_.Push(priority, handle);
  }
  /// Removes queued work, if it is there.
  void Erase(core::request_class priority, std::uint64_t handle) {
    queue_.Erase(priority, handle);
  }
  /// Takes any queued work out. @return nothing if there is none.
  std::optional<std::uint64_t> PopAny() { return queue_.PopAny(); }

  /// Takes the next work that may start, with a free connection.
  std::optional<started_work> StartNext(core::time_point now);
  /// Gives a connection back. @return whether it lies beyond the limit and is
  /// to be closed.
  bool Release(std::uint32_t connection, core::request_class priority);
  /// Leaves a connection unused for a while.
  void Pause(std::uint32_t connection, core::time_point until) {
    connections_[connection].paused_until = until;
  }
  /// Notes how long a statement has held a connection.
  void RecordServiceTime(core::duration took);

  /// Whether another transaction may be opened.
  /// @param percent of the connections that transactions may hold.
  bool CanOpenTransaction(int percent) const;
  /// Counts transactions that are open or being opened.
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
  // Smoothed time that a statement holds a connection.
  core::duration service_time_ = std::chrono::milliseconds(2);
};

}  // namespace plantaintiller::decisions
