#pragma once

#include <algorithm>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/concurrency_limit.h"

namespace plantaintiller::replication {

/// Decides when this instance may send one server another statement.
///
/// Single statements and those of transactions count alike: both take a slot.
/// A server that refuses a statement has a full queue; it is left alone for a
/// moment by everyone who waits here, in place of one try for each of them.
class statement_limiter {
 public:
  bool MayStart(core::time_point now) const {
    return running_ < limit_.Limit() && now >= backoff_until_;
  }
  /// When a server that refused may be sent work again; in the past if it may.
  core::time_point BackoffUntil() const { return backoff_until_; }
  /// A statement is sent.
  void OnStart() { running_ += 1; }
  /// A statement has ended, whatever came of it.
  void OnEnd() { running_ = std::max(0, running_ - 1); }
  /// A statement was answered. Parameters as of `concurrency_limit`.
  void OnAnswer(core::duration took, core::duration round_trip) {
    limit_.OnAnswer(took, round_trip);
    refusals_ = 0;
  }
  /// The server refused a statement, its queue being full.
  void OnRefused(core::time_point now);
  /// Statements in progress.
  int Running() const { return running_; }

 private:
  /// About the time in which a full queue moves by a statement for each of the
  /// instances that wait, doubled with each refusal in a row.
  static constexpr core::milliseconds kBackoff{20};
  static constexpr int kMaxDoublings = 3;

  concurrency_limit limit_;
  int running_ = 0;
  int refusals_ = 0;
  core::time_point backoff_until_;
};

}  // namespace plantaintiller::replication
