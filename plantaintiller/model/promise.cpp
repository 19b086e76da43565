#include "plantaintiller/model/promise.h"

namespace plantaintiller::model {

std::string_view PromiseName(promise value) {
  switch (value) {
    case promise::kReadYourWrites:
      return "read_your_writes";
    case promise::kMonotonicReads:
      return "monotonic_reads";
    case promise::kMaxStaleness:
      return "stated_age";
    case promise::kNoAcknowledgedWriteLost:
      return "no_acknowledged_write_lost";
    case promise::kNoSupersededAcknowledgement:
      return "no_superseded_acknowledgement";
    case promise::kNoMixedTransactions:
      return "no_mixed_transactions";
    case promise::kNoMisdirectedAnswer:
      return "own_whole_answer";
    case promise::kNotRunHasNoEffect:
      return "true_not_run";
    case promise::kAtMostOnce:
      return "at_most_once";
    case promise::kNoWorkForLeavingServers:
      return "leaving_server_rests";
    case promise::kGracefulShutdown:
      return "graceful_shutdown";
    case promise::kConfigurationOnlyRises:
      return "configuration_only_rises";
    case promise::kOneAnswerInTime:
      return "one_answer_in_time";
    case promise::kServesAfterFaults:
      return "serves_after_faults";
  }
  return "unknown";
}

}  // namespace plantaintiller::model
