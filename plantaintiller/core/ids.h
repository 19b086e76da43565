#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace plantaintiller::core {

/// Integer identifier that does not convert to identifiers of other types.
template <class tag>
struct strong_id {
  std::uint32_t value = 0;
  friend auto operator<=>(const strong_id&, const strong_id&) = default;
};

using database_id = strong_id<struct database_tag>;
using instance_id = strong_id<struct instance_tag>;
using zone_id = strong_id<struct zone_tag>;

/// Number of a backend server within its database, from 0.
using slot_number = std::uint8_t;

/// Maximum number of backend servers of one database.
inline constexpr slot_number kMaxSlots = 8;

/// A backend server: one slot of one database.
struct backend_server_id {
  database_id database;
  slot_number slot = 0;
  friend auto operator<=>(const backend_server_id&,
                          const backend_server_id&) = default;
};

/// Identifies one caller request across instances and retries.
struct request_key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend auto operator<=>(const request_key&, const request_key&) = default;
};

}  // namespace plantaintiller::core

template <class tag>
struct std::hash<plantaintiller::core::strong_id<tag>> {
  std::size_t operator()(plantaintiller::core::strong_id<tag> id) const {
    return std::hash<std::uint32_t>()(id.value);
  }
};
