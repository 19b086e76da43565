#include "plantaintiller/balancing/outlier_rules.h"

#include <algorithm>

namespace plantaintiller::balancing {

namespace {

bool IsFailing(const server_observations& server,
               const std::vector<const server_observations*>& others,
               const balancing_settings& settings,
               core::time_point now) {
  if (server.failures_in_row < settings.failures_in_row &&
      server.failed.At(now) < settings.min_failures) {
    return false;
  }
  double failed = 0;
  double ended = 0;
  for (const server_observations* each : others) {
    failed += each->failed.At(now);
    ended += each->ended.At(now);
  }
  // Statements that fail at every server are not the server's fault.
  const double others_share = ended > 0 ? failed / ended : 0;
  const double share = server.FailedShare(now);
  return share >= settings.failing_share && share >= 2 * others_share;
}

bool IsHanging(const server_observations& server,
               const std::vector<const server_observations*>& others,
               const balancing_settings& settings,
               core::time_point since,
               core::time_point now) {
  const core::time_point silent_since = std::max(since, server.last_answer);
  const bool silent =
      server.RunningLongerThan(settings.hang_limit, silent_since, now) >= 2 ||
      server.RunningLongerThan(2 * settings.hang_limit, silent_since, now) >= 1;
  if (!silent) {
    return false;
  }
  // If no other server has answered either, this instance has lost the network.
  const core::time_point answered_after =
      *server.running.lower_bound(silent_since) + settings.hang_limit / 2;
  return std::any_of(others.begin(), others.end(),
                     [answered_after](const server_observations* each) {
                       return each->last_answer > answered_after;
                     });
}

bool IsSlow(const server_observations& server,
            const std::vector<const server_observations*>& others,
            core::duration slow_limit,
            const balancing_settings& settings,
            core::time_point since,
            core::time_point now) {
  if (server.slow_in_row == 0) {
    return false;
  }
  const bool compared = std::any_of(
      others.begin(), others.end(),
      [](const server_observations* each) { return !each->reads.IsEmpty(); });
  const bool overloaded = std::any_of(
      others.begin(), others.end(), [&](const server_observations* each) {
        return now - each->last_busy < settings.overload_memory;
      });
  return compared && !overloaded &&
         server.slow_in_row +
                 server.RunningLongerThan(slow_limit, since, now) >=
             settings.slow_in_row;
}

}  // namespace

const char* ReasonName(ejection_reason reason) {
  switch (reason) {
    case ejection_reason::kFailing:
      return "failing";
    case ejection_reason::kHanging:
      return "hanging";
    case ejection_reason::kResetting:
      return "resetting";
    case ejection_reason::kSlow:
      return "slow";
  }
  return "failing";
}

std::optional<double> GroupLatency(
    const std::vector<const server_observations*>& servers) {
  std::vector<double> measured;
  for (const server_observations* each : servers) {
    if (!each->reads.IsEmpty()) {
      measured.push_back(each->reads.Milliseconds());
    }
  }
  if (measured.empty()) {
    return std::nullopt;
  }
  const auto middle =
      measured.begin() + static_cast<std::ptrdiff_t>((measured.size() - 1) / 2);
  std::nth_element(measured.begin(), middle, measured.end());
  return *middle;
}

core::duration SlowLimit(std::optional<double> group_latency,
                         const balancing_settings& settings) {
  const double ms = group_latency.value_or(
      static_cast<double>(settings.initial_read.count()));
  return settings.slow_margin + std::chrono::duration_cast<core::duration>(
                                    std::chrono::duration<double, std::milli>(
                                        ms * settings.slow_ratio));
}

std::optional<ejection_reason> FindFault(
    const server_observations& server,
    const std::vector<const server_observations*>& others,
    core::duration slow_limit,
    const balancing_settings& settings,
    core::time_point since,
    core::time_point now) {
  if (IsFailing(server, others, settings, now)) {
    switch (server.last_failure) {
      case request_failure::kError:
        return ejection_reason::kFailing;
      case request_failure::kLost:
        return ejection_reason::kResetting;
      case request_failure::kTimeout:
        return ejection_reason::kHanging;
    }
  }
  if (IsHanging(server, others, settings, since, now)) {
    return ejection_reason::kHanging;
  }
  if (IsSlow(server, others, slow_limit, settings, since, now)) {
    return ejection_reason::kSlow;
  }
  return std::nullopt;
}

}  // namespace plantaintiller::balancing
