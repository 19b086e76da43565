#include "plantaintiller/replication/concurrency_limit.h"

#include <algorithm>

namespace plantaintiller::replication {

void concurrency_limit::OnAnswer(core::duration took,
                                 core::duration round_trip) {
  if (took - 2 * round_trip > kSlow) {
    limit_ = std::max(kLeast, limit_ * kSlowFactor);
  } else {
    limit_ = std::min(kMost, limit_ + kRise / limit_);
  }
}

void concurrency_limit::OnRefused() {
  limit_ = std::max(kLeast, limit_ * kRefusedFactor);
}

}  // namespace plantaintiller::replication
