#include "plantaintiller/replication/concurrency_limit.h"

#include <algorithm>

namespace plantaintiller::replication {

void concurrency_limit::OnAnswer(core::duration took,
                                 core::duration round_trip) {
  if (took - 2 * round_trip > kSlowServerTime) {
    limit_ = std::max(kMinLimit, limit_ * kSlowDecrease);
  } else {
    limit_ = std::min(kMaxLimit, limit_ + kIncrease / limit_);
  }
}

void concurrency_limit::OnRefused() {
  limit_ = std::max(kMinLimit, limit_ * kRefusedDecrease);
}

}  // namespace plantaintiller::replication
