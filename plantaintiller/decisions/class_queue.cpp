#include "plantaintiller/decisions/class_queue.h"

#include <algorithm>

namespace plantaintiller::decisions {

namespace {
// Shares in percent of a server's connections, in the order of request_class.
constexpr std::array<int, core::kRequestClasses> kSharePercent{50, 25, 10};
}  // namespace

class_queue::class_queue(int connections, std::size_t capacity)
    : connections_(connections) {
  for (lane& each : lanes_) {
    each.ring.resize(capacity);
  }
  SetConnections(connections);
}

void class_queue::SetConnections(int connections) {
  connections_ = connections;
  for (std::size_t n = 0; n < lanes_.size(); ++n) {
    lanes_[n].reserved = connections * kSharePercent[n] / 100;
  }
}

class_queue::lane& class_queue::LaneOf(core::request_class priority) {
  return lanes_[static_cast<std::size_t>(priority)];
}

const class_queue::lane& class_queue::LaneOf(
    core::request_class priority) const {
  return lanes_[static_cast<std::size_t>(priority)];
}

bool class_queue::Push(core::request_class priority, std::uint64_t work) {
  lane& to = LaneOf(priority);
  if (to.length == to.ring.size()) {
    return false;
  }
  to.ring[(to.first + to.length) % to.ring.size()] = work;
  to.length += 1;
  return true;
}

bool class_queue::MayStart(const lane& requesting) const {
  int used = 0;
  int reserved_for_others = 0;
  for (const lane& other : lanes_) {
    used += other.in_use;
    if (&other != &requesting) {
      reserved_for_others += std::max(0, other.reserved - other.in_use);
    }
  }
  if (used >= connections_) {
    return false;
  }
  return requesting.in_use < requesting.reserved ||
         used + reserved_for_others < connections_;
}

std::optional<std::uint64_t> class_queue::Pop() {
  for (lane& from : lanes_) {
    if (from.length == 0 || !MayStart(from)) {
      continue;
    }
    const std::uint64_t work = from.ring[from.first];
    from.first = (from.first + 1) % from.ring.size();
    from.length -= 1;
    from.in_use += 1;
    return work;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> class_queue::PopAny() {
  for (lane& from : lanes_) {
    if (from.length > 0) {
      const std::uint64_t work = from.ring[from.first];
      from.first = (from.first + 1) % from.ring.size();
      from.length -= 1;
      return work;
    }
  }
  return std::nullopt;
}

void class_queue::Erase(core::request_class priority, std::uint64_t work) {
  lane& from = LaneOf(priority);
  std::size_t kept = 0;
  for (std::size_t n = 0; n < from.length; ++n) {
    const std::uint64_t entry = from.ring[(from.first + n) % from.ring.size()];
    if (entry != work) {
      from.ring[(from.first + kept) % from.ring.size()] = entry;
      kept += 1;
    }
  }
  from.length = kept;
}

void class_queue::Release(core::request_class priority) {
  LaneOf(priority).in_use -= 1;
}

std::size_t class_queue::Length(core::request_class priority) const {
  return LaneOf(priority).length;
}

int class_queue::ReservedShare(core::request_class priority) const {
  return LaneOf(priority).reserved;
}

}  // namespace plantaintiller::decisions
