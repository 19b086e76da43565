#include "plantaintiller/core/time.h"

#include <ctime>

namespace plantaintiller::core {

milliseconds UnixTime() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

namespace {

duration ReadClock(clockid_t id) {
  timespec value{};
  clock_gettime(id, &value);
  return std::chrono::seconds(value.tv_sec) +
         std::chrono::nanoseconds(value.tv_nsec);
}

}  // namespace

duration SuspendedTime() {
  return ReadClock(CLOCK_BOOTTIME) - ReadClock(CLOCK_MONOTONIC);
}

}  // namespace plantaintiller::core
