#pragma once

#include <cstdint>
#include <set>

#include "plantaintiller/core/time.h"

namespace plantaintiller::balancing {

/// Number of events that decays exponentially with time.
class decaying_count {
 public:
  void Add(core::time_point now);
  /// @return the sum of all events, each weighted by its age.
  double At(core::time_point now) const;

 private:
  double value_ = 0;
  core::time_point at_;
};

/// Average of latencies that rises quickly and falls slowly, so that a server
/// that has become slow is noticed by its first answers (peak-weighted moving
/// average).
class peak_average {
 public:
  void Add(core::duration sample, core::time_point now);
  bool IsEmpty() const { return samples_ == 0; }
  double Milliseconds() const { return value_ms_; }
  core::time_point LastSample() const { return at_; }

 private:
  double value_ms_ = 0;
  int samples_ = 0;
  core::time_point at_;
};

/// How a request to a server failed.
enum class request_failure : std::uint8_t {
  /// It answered with an error of its own.
  kError,
  /// The connection was lost or could not be opened.
  kLost,
  /// It did not answer in time.
  kTimeout,
};

/// What this instance has observed of one server in requests of callers.
/// Answers to health queries are not part of it, because they may be false.
struct server_observations {
  peak_average reads;
  decaying_count ended;
  decaying_count failed;
  int failures_in_row = 0;
  int slow_in_row = 0;
  request_failure last_failure = request_failure::kError;
  /// Start of each request in progress.
  std::multiset<core::time_point> running;
  /// When it last answered anything, also a refusal or an error.
  core::time_point last_answer;
  /// When it last refused a statement because its queue is full.
  core::time_point last_busy;

  /// @return the share of recent requests that failed, from 0 to 1. A few
  /// failures among few requests count as a low share.
  double FailedShare(core::time_point now) const;
  /// @return the age of the oldest request in progress that started after the
  /// last answer; zero if there is none.
  core::duration Silence(core::time_point now) const;
  /// @return the number of requests in progress that did not start before
  /// `since` and are at least as old as a limit.
  int RunningLongerThan(core::duration limit,
                        core::time_point since,
                        core::time_point now) const;
};

}  // namespace plantaintiller::balancing
