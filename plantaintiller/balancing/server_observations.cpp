#include "plantaintiller/balancing/server_observations.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace plantaintiller::balancing {

namespace {

using seconds = std::chrono::duration<double>;

/// Time constant of counts. It is several times the interval between the
/// requests of one instance to one server, which is about 120 ms.
constexpr seconds kCountMemory{5.0};
/// Weight of a latency above the average. One slow read must be enough to
/// prefer other servers: six owners learn separately, and each lesson is a slow
/// answer for a caller.
constexpr double kPeakWeight = 0.8;
/// Time constant with which the average falls, and the limit on the weight of
/// one latency below it, after a pause without samples.
constexpr seconds kFallTime{0.5};
constexpr double kMaxFallWeight = 0.4;
/// Requests that are assumed to have succeeded before the first one.
constexpr double kAssumedSuccesses = 2.0;

double DecayOver(core::duration elapsed, seconds memory) {
  return std::exp(-std::max(0.0, seconds(elapsed).count()) / memory.count());
}

}  // namespace

void decaying_count::Add(core::time_point now) {
  value_ = At(now) + 1;
  at_ = now;
}

double decaying_count::At(core::time_point now) const {
  return value_ == 0 ? 0 : value_ * DecayOver(now - at_, kCountMemory);
}

void peak_average::Add(core::duration sample, core::time_point now) {
  const double ms = std::chrono::duration<double, std::milli>(sample).count();
  if (samples_ == 0) {
    value_ms_ = ms;
  } else if (ms > value_ms_) {
    value_ms_ += kPeakWeight * (ms - value_ms_);
  } else {
    const double weight =
        std::min(kMaxFallWeight, 1 - DecayOver(now - at_, kFallTime));
    value_ms_ += weight * (ms - value_ms_);
  }
  samples_ += 1;
  at_ = now;
}

double server_observations::FailedShare(core::time_point now) const {
  return failed.At(now) / (ended.At(now) + kAssumedSuccesses);
}

core::duration server_observations::Silence(core::time_point now) const {
  const auto oldest = running.upper_bound(last_answer);
  return oldest == running.end() ? core::duration(0) : now - *oldest;
}

int server_observations::RunningLongerThan(core::duration limit,
                                           core::time_point since,
                                           core::time_point now) const {
  if (now - limit <= since) {
    return 0;
  }
  return static_cast<int>(std::distance(running.lower_bound(since),
                                        running.upper_bound(now - limit)));
}

}  // namespace plantaintiller::balancing
