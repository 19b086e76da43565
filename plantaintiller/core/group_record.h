#pragma once

#include <cstdint>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/server_set.h"

namespace plantaintiller::core {

/// Record of a database's current term, primary and member sets, stored as a
/// row of the platform's table.
///
/// Invariants: `promotable` is a subset of `confirming`; `primary` is in
/// `confirming`; within one term `confirming` only shrinks. The two sets follow
/// PacificA's reconfiguration (Lin et al., 2008): a member that joins confirms
/// writes before it may become primary.
struct group_record {
  term_number term = 0;
  slot_number primary = 0;
  /// Servers that must all confirm a write before it is acknowledged.
  server_set confirming;
  /// Servers that may become primary.
  server_set promotable;
  /// Row version given by the platform; 0 for a row that does not exist.
  std::uint64_t version = 0;
  /// Random number of each write, which distinguishes proposals with the same
  /// content. group_controller adopts the row that it reads without comparing
  /// the nonce.
  std::uint64_t nonce = 0;
  friend bool operator==(const group_record&, const group_record&) = default;
};

}  // namespace plantaintiller::core
