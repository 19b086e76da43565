#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "plantaintiller/core/ids.h"

namespace plantaintiller::decisions {

/// Smoothed share of the reads that each replica could answer. A read that a
/// replica would probably refuse can then be sent directly to the primary.
class replica_success {
 public:
  /// Kind of read, counted separately because reads that allow stale data
  /// succeed at replicas where others fail.
  enum class read_kind : std::uint8_t { kStaleAllowed, kCurrent };

  /// Records whether a replica could answer a read.
  void OnRead(core::backend_server_id server, read_kind kind, bool answered) {
    double& rate = rates_[server][static_cast<std::size_t>(kind)];
    rate += kWeight * ((answered ? 1.0 : 0.0) - rate);
  }

  /// Success rate of a replica, from 0 to 1; 1 for a replica not tried yet.
  double SuccessRate(core::backend_server_id server, read_kind kind) const {
    const auto found = rates_.find(server);
    return found == rates_.end()
               ? 1.0
               : found->second[static_cast<std::size_t>(kind)];
  }

 private:
  static constexpr double kWeight = 0.1;
  struct rate_pair : std::array<double, 2> {
    rate_pair() : std::array<double, 2>{1.0, 1.0} {}
  };
  std::map<core::backend_server_id, rate_pair> rates_;
};

}  // namespace plantaintiller::decisions
