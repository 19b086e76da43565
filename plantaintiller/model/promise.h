#pragma once

#include <cstdint>
#include <string_view>

namespace plantaintiller::model {

/// The promises that the checker watches, by the names of docs/PROMISES.md.
enum class promise : std::uint8_t {
  kReadYourWrites,
  kMonotonicReads,
  kStatedAge,
  kNoAcknowledgedWriteLost,
  kNoSupersededAcknowledgement,
  kNoMixedTransactions,
  kOwnWholeAnswer,
  kTrueNotRun,
  kAtMostOnce,
  kLeavingServerRests,
  kGracefulShutdown,
  kConfigurationOnlyRises,
  kOneAnswerInTime,
  kServesAfterFaults,
};

/// Name of a promise. @return a string of static storage.
std::string_view PromiseName(promise kept);

}  // namespace plantaintiller::model
