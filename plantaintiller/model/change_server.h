#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::model {

/// A commit in a log.
struct log_entry {
  core::term_number term = 0;
  int write = 0;
};

/// Simulates a backend server with its log.
struct change_server {
  std::string id;
  core::term_number term = 1;
  bool is_leader = false;
  bool alive = true;
  bool draining = false;
  bool listed = true;
  std::vector<log_entry> log;
  core::term_number held_term = 0;
  std::int64_t incarnation = 1;
  core::milliseconds replication_lag{3};

  /// Side of a partition; servers and instances on different sides do not reach
  /// each other.
  int side = 0;

  core::log_position Position() const {
    return {log.empty() ? 0 : log.back().term, log.size()};
  }
};

class change_simulation;

}  // namespace plantaintiller::model
