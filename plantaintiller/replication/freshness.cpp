#include "plantaintiller/replication/freshness.h"

#include <algorithm>

namespace plantaintiller::replication {

const freshness::proof& freshness::At(std::size_t age) const {
  return ring_[(next_ + kProofs - 1 - age) % kProofs];
}

void freshness::OnProof(core::time_point sent, core::log_position position) {
  if (count_ > 0 && sent <= At(0).sent) {
    return;
  }
  const bool crowded = count_ > 1 && At(0).sent - At(1).sent < kSpacing;
  if (crowded) {
    // The newest always stays exact; an intermediate one gives way.
    proof& newest = ring_[(next_ + kProofs - 1) % kProofs];
    newest.sent = sent;
    newest.position = position;
    return;
  }
  ring_[next_] = {sent, position};
  next_ = (next_ + 1) % kProofs;
  count_ = std::min(count_ + 1, kProofs);
}

std::optional<core::log_position> freshness::PositionFor(
    core::time_point not_before) const {
  std::optional<core::log_position> lowest;
  for (std::size_t age = 0; age < count_; ++age) {
    if (At(age).sent < not_before) {
      break;
    }
    lowest = At(age).position;
  }
  return lowest;
}

std::optional<core::log_position> freshness::NewestBefore(
    core::time_point time) const {
  for (std::size_t age = 0; age < count_; ++age) {
    if (At(age).sent <= time) {
      return At(age).position;
    }
  }
  return std::nullopt;
}

core::time_point freshness::Newest() const {
  return count_ == 0 ? core::time_point{} : At(0).sent;
}

}  // namespace plantaintiller::replication
