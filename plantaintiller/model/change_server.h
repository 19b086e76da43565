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
  /// Whether it has left for good.
  bool gone = false;
  /// Whether it was demoted and no promotion has completed since.
  bool demoted = false;
  std::vector<log_entry> log;
  core::term_number held_term = 0;
  std::int64_t incarnation = 1;
  core::milliseconds replication_lag{3};

  /// Whether it receives nothing at present.
  bool deaf = false;

  /// Side of a partition; servers and instances on different sides do not reach
  /// each other.
  int side = 0;

  /// Whether it receives nothing at present, or much later than usual.
  bool Lags() const { return deaf || replication_lag > core::milliseconds(3); }
  /// Drops the commits that a leader's log does not have.
  void RollBackTo(const std::vector<log_entry>& leader_log) {
    std::size_t common = 0;
    while (common < log.size() && common < leader_log.size() &&
           log[common].write == leader_log[common].write) {
      ++common;
    }
    log.resize(common);
  }
  core::log_position Position() const {
    return {log.empty() ? 0 : log.back().term, log.size()};
  }
};

class change_simulation;

}  // namespace plantaintiller::model
