#pragma once

#include <cstddef>

#include "plantaintiller/core/time.h"

namespace plantaintiller::accounts {

/// Intervals and bounds of the rate limits. Tests replace them to disable one
/// mechanism at a time.
struct limiter_settings {
  /// Interval of the reports about an account that is close to its limit. The
  /// operations admitted meanwhile elsewhere are only estimated, and a surge of
  /// 7.5 times the usual rate is 0.7 s worth of the limit in this time.
  core::milliseconds urgent_interval{150};
  /// Interval of the reports about other accounts.
  core::milliseconds calm_interval{1000};
  /// Interval at which an instance without changes shows that it runs.
  core::milliseconds alive_interval{400};
  /// Interval after which all accounts with demand are reported again, in case
  /// reports were lost.
  core::milliseconds refresh_interval{10000};
  /// An instance that is not heard from for this time is taken to be cut off
  /// or frozen: two urgent intervals over two relays, or two
  /// of those without changes.
  core::milliseconds silent_after_urgent{350};
  core::milliseconds silent_after{1000};
  /// An instance that is silent for this time is taken to use only its part
  /// 1/N of the limit, as this one does if it hears from nobody.
  core::milliseconds static_after{2000};
  /// A silent instance is forgotten, and its part is used by others, after this
  /// time; longer than the partitions that are expected.
  core::milliseconds forget_after{30000};
  /// During this time after the start, instances may exist that have not been
  /// heard of yet.
  core::milliseconds joining_time{2000};
  /// Time constant of the moving average of demand.
  core::milliseconds demand_time{600};
  /// Tokens of an account after a start of the process, and at most this part
  /// of the limit over 5 s. All instances may start at once, and the sum must
  /// stay in the reserve.
  double initial_tokens = 1;
  double initial_part = 0.02;
  /// Part of the tokens that an instance may use before its next report.
  double free_fraction = 0.1;
  /// Operations that an instance may always admit before its next report, while
  /// half of the tokens are left.
  double free_operations = 3;
  /// Operations beyond those that the others assume, after which an instance
  /// may report at once.
  double least_unexpected = 1.5;
  /// Accounts whose rate and burst add up to less are never urgent: their
  /// overshoot stays below the 20 operations in reserve.
  double least_urgent_size = 15;
};

}  // namespace plantaintiller::accounts
