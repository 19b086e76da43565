#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "plantaintiller/core/ids.h"

namespace plantaintiller::decisions {

/// Share of reads that each replica could answer, smoothed, so that a read
/// which a replica would probably have to refuse goes to the primary at once.
class replica_success {
 public:
  /// Kind of read: those that allow old data succeed where others fail.
  enum class read_kind : std::uint8_t { kStaleAllowed, kCurrent };

  /// Notes whether a replica could answer.
  void OnRead(core::backend_server_id server, read_kind kind, bool answered) {
    double& rate = rates_[server][static_cast<std::size_t>(kind)];
    rate += kWeight * ((answered ? 1.0 : 0.0) - rate);
  }

  /// Chance that a replica can answer, from 0 to 1; 1 for one not tried yet.
  double SuccessRate(core::backend_server_id server, read_kind kind) const {
    const auto found = rates_.find(server);
    return found == rates_.end()
               ? 1.0
               : found->second[static_cast<std::size_t>(kind)];
  }

 private:
  static constexpr double kWeight = 0.1;
  struct pair_of_rates : std::array<double, 2> {
    pair_of_rates() : std::array<double, 2>{1.0, 1.0} {}
  };
  std::map<core::backend_server_id, pair_of_rates> rates_;
};

}  // namespace plantaintiller::decisions
