#include "plantaintiller/replication/leadership_proofs.h"

#include <algorithm>

namespace plantaintiller::replication {

const leadership_proofs::proof& leadership_proofs::At(std::size_t age) const {
  return ring_[(next_ + kMaxProofs - 1 - age) % kMaxProofs];
}

void leadership_proofs::OnProof(core::time_point sent,
                                core::log_position position) {
  if (count_ > 0 && sent <= At(0).sent) {
    return;
  }
  const bool too_close = count_ > 1 && At(0).sent - At(1).sent < kMinSpacing;
  if (too_close) {
    // The newest proof is always kept exactly; an intermediate one is dropped.
    proof& newest = ring_[(next_ + kMaxProofs - 1) % kMaxProofs];
    newest.sent = sent;
    newest.position = position;
    return;
  }
  ring_[next_] = {sent, position};
  next_ = (next_ + 1) % kMaxProofs;
  count_ = std::min(count_ + 1, kMaxProofs);
}

std::optional<core::log_position> leadership_proofs::MinPositionSince(
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

std::optional<core::log_position> leadership_proofs::LastPositionBefore(
    core::time_point time) const {
  for (std::size_t age = 0; age < count_; ++age) {
    if (At(age).sent <= time) {
      return At(age).position;
    }
  }
  return std::nullopt;
}

std::optional<core::log_position> leadership_proofs::NewestPosition() const {
  return count_ == 0 ? std::nullopt : std::optional(At(0).position);
}

core::time_point leadership_proofs::LastProofTime() const {
  return count_ == 0 ? core::time_point{} : At(0).sent;
}

}  // namespace plantaintiller::replication
