#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::replication {

/// Limits how many statements this instance runs at one server at a time.
///
/// A server works off its queue in order of arrival, regardless of priority.
/// When the replicas lag, all reads of a group go to its leader, and the queue
/// there would make every answer late. The limit keeps that queue short:
/// statements wait in this instance instead, which chooses their order and
/// refuses those that have waited too long. The limit rises by a fraction of
/// one with each fast answer and falls by a factor with each slow or refused
/// one (AIMD, Chiu and Jain, 1989).
class concurrency_limit {
 public:
  /// Called when a statement was answered.
  /// @param took time from sending the statement to its answer.
  /// @param round_trip network round trip to the server.
  void OnAnswer(core::duration took, core::duration round_trip);
  /// Called when the server refused a statement because its queue is full.
  void OnRefused();
  /// @return the number of statements that may run at a time, at least one.
  int Limit() const { return static_cast<int>(limit_); }

 private:
  /// Time at the server above which its queue counts as too long: several times
  /// the mean run time of the users' statements, and a quarter of their latency
  /// objectives.
  static constexpr core::milliseconds kSlowServerTime{110};
  static constexpr double kInitialLimit = 6.0;
  static constexpr double kMinLimit = 1.0;
  /// Above the number of connections that a server grants to one instance.
  static constexpr double kMaxLimit = 24.0;
  static constexpr double kIncrease = 0.25;
  static constexpr double kSlowDecrease = 0.92;
  static constexpr double kRefusedDecrease = 0.7;

  double limit_ = kInitialLimit;
};

}  // namespace plantaintiller::replication
