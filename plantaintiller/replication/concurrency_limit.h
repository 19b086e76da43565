#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::replication {

/// Statements that this instance runs at one server at a time.
///
/// A server serves its queue in order of arrival, whoever waits behind. When
/// all reads of a group fall to its leader, as the replicas lag, the queue
/// there would make every answer late. The limit keeps that queue short, so
/// that statements wait here, where the order can be chosen and those that
/// have waited too long are refused. It rises by a part of one with each quick
/// answer and falls by a factor with each slow or refused one (AIMD, Chiu and
/// Jain, 1989).
class concurrency_limit {
 public:
  /// A statement was answered. @param took from its start to its answer;
  /// @param round_trip of the network to the server.
  void OnAnswer(core::duration took, core::duration round_trip);
  /// The server refused a statement, its queue being full.
  void OnRefused();
  /// Statements that may run at a time, at least one.
  int Limit() const { return static_cast<int>(limit_); }

 private:
  /// Time at the server above which its queue is too long: several times the
  /// mean work of the users' statements, a quarter of their objectives.
  static constexpr core::milliseconds kSlowServerTime{110};
  static constexpr double kInitialLimit = 6.0;
  static constexpr double kMinLimit = 1.0;
  /// More than the connections that a server gives to one instance.
  static constexpr double kMaxLimit = 24.0;
  static constexpr double kIncrease = 0.25;
  static constexpr double kSlowDecrease = 0.92;
  static constexpr double kRefusedDecrease = 0.7;

  double limit_ = kInitialLimit;
};

}  // namespace plantaintiller::replication
