#pragma once

#include <cstdint>

#include "plantaintiller/core/time.h"

namespace plantaintiller::admission {

/// Limits the retries that the system itself makes in one group to a share of
/// the successes, so that retries cannot multiply the load of a group that
/// fails.
class retry_budget {
 public:
  /// Tokens added by each success. Goodput under overload must be at least 95%
  /// of the capacity; the other five percent have to pay for first attempts
  /// that fail, too, and for the tokens of `kPerSecond`.
  static constexpr double kPerSuccess = 0.02;
  /// Tokens added each second, so that a group without successes is tried
  /// again: one statement for each of its usual three servers.
  static constexpr double kPerSecond = 3.0;
  /// Upper bound of the tokens: those of two seconds without successes.
  static constexpr double kMaxTokens = 6.0;

  /// Called when a statement succeeded.
  void OnSuccess();
  /// Takes the token for a retry. @return false if there is none.
  bool TryTake(core::time_point now);

 private:
  double tokens_ = kMaxTokens;
  core::time_point refilled_at_;
};

}  // namespace plantaintiller::admission
