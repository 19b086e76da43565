#pragma once

#include <algorithm>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/concurrency_limit.h"

namespace plantaintiller::replication {

/// Decides when this instance may send another statement to one server.
///
/// Single statements and statements of transactions count alike, because both
/// occupy a slot. A server that refuses a statement has a full queue; all
/// statements that wait here then pause together, instead of each retrying on
/// its own.
class statement_limiter {
 public:
  /// @return whether another statement may be sent now.
  bool MayStart(core::time_point now) const {
    return running_ < limit_.Limit() && now >= backoff_until_;
  }
  /// @return the end of the pause after a refusal; a time in the past if there
  /// is no pause.
  core::time_point BackoffUntil() const { return backoff_until_; }
  /// Called when a statement is sent.
  void OnStart() { running_ += 1; }
  /// Called when a statement has ended, with any outcome.
  void OnEnd() { running_ = std::max(0, running_ - 1); }
  /// Called when a statement was answered. The parameters are those of
  /// `concurrency_limit::OnAnswer`.
  void OnAnswer(core::duration took, core::duration round_trip) {
    limit_.OnAnswer(took, round_trip);
    refusals_ = 0;
  }
  /// Called when the server refused a statement because its queue is full.
  void OnRefused(core::time_point now);
  /// @return the number of statements that may run at a time.
  int Limit() const { return limit_.Limit(); }
  /// @return the number of statements in progress.
  int Running() const { return running_; }

 private:
  /// Pause after the first refusal, doubled with each further refusal in a row.
  /// In this time a full queue advances by about one statement for each of the
  /// waiting instances.
  static constexpr core::milliseconds kBackoff{20};
  static constexpr int kMaxDoublings = 3;

  concurrency_limit limit_;
  int running_ = 0;
  int refusals_ = 0;
  core::time_point backoff_until_;
};

}  // namespace plantaintiller::replication
