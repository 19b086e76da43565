#include "plantaintiller/admission/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace plantaintiller::admission {

void retry_budget::OnSuccess() {
  tokens_ = std::min(kMaxTokens, tokens_ + kPerSuccess);
}

bool retry_budget::TryTake(core::time_point now) {
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(kMaxTokens, tokens_ + std::max(0.0, seconds) * kPerSecond);
  refilled_at_ = std::max(refilled_at_, now);
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace plantaintiller::admission
