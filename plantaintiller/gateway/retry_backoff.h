#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "plantaintiller/core/time.h"

namespace plantaintiller::gateway {

/// Pauses between attempts at a call that fails: they double up to a limit, and
/// are random within their upper half, so that instances whose calls were
/// refused together do not repeat them together.
class retry_backoff {
 public:
  /// @param first longest pause after the first failure; @param most longest
  /// pause; @param seed of the random part.
  retry_backoff(core::milliseconds first,
                core::milliseconds most,
                std::uint64_t seed)
      : first_(first), most_(most), next_(first), random_(seed) {}

  /// @return the pause after a failure.
  core::milliseconds OnFailure() {
    const core::milliseconds longest = next_;
    next_ = std::min(most_, 2 * next_);
    std::uniform_int_distribution<std::int64_t> pause(longest.count() / 2,
                                                      longest.count());
    return core::milliseconds(pause(random_));
  }
  void OnSuccess() { next_ = first_; }

 private:
  core::milliseconds first_;
  core::milliseconds most_;
  core::milliseconds next_;
  std::mt19937_64 random_;
};

}  // namespace plantaintiller::gateway
