#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "plantaintiller/core/statement.h"

namespace plantaintiller::decisions {

/// Queues of the work that waits for one backend server's connections, one
/// queue per request class.
///
/// Each class has a reserved share of the connections. A class beyond its share
/// may use a free connection only while the unused shares of the others remain
/// free, so that overload in one class never delays another.
class class_queue {
 public:
  /// @param connections number held to the server;
  /// @param capacity maximum number of entries per class.
  class_queue(int connections, std::size_t capacity);

  /// Changes the number of connections. Work already started is not affected.
  void SetConnections(int connections);

  /// Appends work. @return false if the class's queue is full.
  bool Push(core::request_class priority, std::uint64_t work);
  /// Removes the next work that may start now and counts its connection as
  /// used.
  /// @return nullopt if nothing is queued that may use another connection.
  std::optional<std::uint64_t> Pop();
  /// Removes queued work, if present.
  void Erase(core::request_class priority, std::uint64_t work);
  /// Releases the connection of work that Pop returned.
  void Release(core::request_class priority);

  /// Removes any queued work, regardless of its class's share.
  /// @return nullopt if all queues are empty.
  std::optional<std::uint64_t> PopAny();

  std::size_t Length(core::request_class priority) const;
  /// Number of connections reserved for a class.
  int ReservedShare(core::request_class priority) const;

 private:
  struct lane {
    std::vector<std::uint64_t> ring;
    std::size_t first = 0;
    std::size_t length = 0;
    int in_use = 0;
    int reserved = 0;
  };
  bool MayStart(const lane& requesting) const;
  lane& LaneOf(core::request_class priority);
  const lane& LaneOf(core::request_class priority) const;

  int connections_;
  std::array<lane, core::kRequestClasses> lanes_;
};

}  // namespace plantaintiller::decisions
