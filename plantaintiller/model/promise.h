#pragma once

#include <cstdint>
#include <string_view>

namespace plantaintiller::model {

/// Promises to callers and operators that `history_checker` verifies, named as
/// in docs/PROMISES.md.
enum class promise : std::uint8_t {
  /// A read sees all writes that were acknowledged to its session.
  kReadYourWrites,
  /// A read sees all writes that the session's previous read saw.
  kMonotonicReads,
  /// A read sees all writes that were acknowledged longer ago than its maximum
  /// staleness.
  kMaxStaleness,
  /// The log of the newest primary has every acknowledged write.
  kNoAcknowledgedWriteLost,
  /// A write is acknowledged only if the newest primary's log has it.
  kNoSupersededAcknowledgement,
  /// A connection runs one statement at a time, and only statements of the
  /// transaction that is open on it.
  kNoMixedTransactions,
  /// A request gets its own answer, never that of another request.
  kNoMisdirectedAnswer,
  /// A request that was reported as not run never takes effect.
  kNotRunHasNoEffect,
  /// A write takes effect at most once.
  kAtMostOnce,
  /// A server that is marked as leaving gets no new work.
  kNoWorkForLeavingServers,
  /// An instance answers all its requests before a graceful shutdown ends.
  kGracefulShutdown,
  /// The configuration version at an instance never decreases, and an accepted
  /// configuration takes effect.
  kConfigurationOnlyRises,
  /// A request gets exactly one answer, and gets it by its deadline.
  kOneAnswerInTime,
  /// Every database accepts writes once the faults have ended.
  kServesAfterFaults,
};

/// Returns the name of a promise in docs/PROMISES.md, a string of static
/// storage.
std::string_view PromiseName(promise value);

}  // namespace plantaintiller::model
