#pragma once

#include <compare>
#include <cstdint>

namespace plantaintiller::core {

/// Number of the period in which one server is primary of a database; it only
/// rises.
using term_number = std::uint64_t;

/// Position in a database's log. Positions are ordered by the term of the entry
/// first, because an entry of a later term follows every surviving entry of
/// earlier terms.
struct log_position {
  term_number entry_term = 0;
  std::uint64_t offset = 0;
  friend auto operator<=>(const log_position&, const log_position&) = default;
};

/// State that a backend server reports.
struct server_state {
  /// Term the server has adopted; it refuses statements of any other.
  term_number adopted_term = 0;
  /// Last log entry that it has applied.
  log_position position;
  /// Whether it accepts writes.
  bool is_primary = false;
  friend bool operator==(const server_state&, const server_state&) = default;
};

}  // namespace plantaintiller::core
