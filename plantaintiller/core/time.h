#pragma once

#include <chrono>

namespace plantaintiller::core {

/// Monotonic clock used by all decisions; tests use virtual time instead.
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;
using std::chrono::milliseconds;

/// Rounds a duration down to whole milliseconds.
/// @param value any duration.
/// @return the same span in milliseconds.
inline milliseconds ToMilliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value);
}

/// @return the time of day in Unix milliseconds. It may jump, and differs
/// between machines.
milliseconds UnixTime();

/// @return how long this machine has been suspended since it was started. The
/// monotonic clock does not count that time.
duration SuspendedTime();

}  // namespace plantaintiller::core
