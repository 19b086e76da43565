#pragma once

#include <bit>
#include <cstdint>

#include "plantaintiller/core/ids.h"

namespace plantaintiller::core {

/// Set of backend servers of one database, one bit per slot.
class server_set {
 public:
  constexpr server_set() = default;
  /// Makes a set from its bits. @param bits bit n represents slot n.
  explicit constexpr server_set(std::uint8_t bits) : bits_(bits) {}

  /// Set of slots 0 to count - 1. @param count at most kMaxSlots.
  static constexpr server_set FirstSlots(slot_number count) {
    return server_set(static_cast<std::uint8_t>((1U << count) - 1U));
  }

  constexpr bool Contains(slot_number slot) const {
    return ((bits_ >> slot) & 1U) != 0;
  }
  constexpr server_set With(slot_number slot) const {
    return server_set(static_cast<std::uint8_t>(bits_ | (1U << slot)));
  }
  constexpr server_set Without(slot_number slot) const {
    return server_set(static_cast<std::uint8_t>(bits_ & ~(1U << slot)));
  }
  constexpr int Size() const { return std::popcount(bits_); }
  constexpr bool Empty() const { return bits_ == 0; }
  /// The bits, bit n for slot n; used to store the set.
  constexpr std::uint8_t Bits() const { return bits_; }

  friend constexpr bool operator==(server_set, server_set) = default;

 private:
  std::uint8_t bits_ = 0;
};

}  // namespace plantaintiller::core
