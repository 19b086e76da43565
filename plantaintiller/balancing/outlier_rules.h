#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "plantaintiller/balancing/balancing_settings.h"
#include "plantaintiller/balancing/server_observations.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::balancing {

/// Why a server gets no reads for a while.
enum class ejection_reason : std::uint8_t {
  /// It answers many requests with errors.
  kFailing,
  /// It does not answer.
  kHanging,
  /// Its connections are lost or cannot be opened.
  kResetting,
  /// It answers reads much later than the group's other servers.
  kSlow,
};
constexpr std::size_t kEjectionReasons = 4;

/// @return the name of a reason in logs and metrics, a string of static
/// storage.
const char* ReasonName(ejection_reason reason);

/// @param servers all servers of a group that are not ejected.
/// @return the lower median of their read latencies, in milliseconds; nothing
/// if none was measured.
std::optional<double> GroupLatency(
    const std::vector<const server_observations*>& servers);

/// @param group_latency result of `GroupLatency`.
/// @return the time above which a read counts as slow.
core::duration SlowLimit(std::optional<double> group_latency,
                         const balancing_settings& settings);

/// @param server observations of the server to judge.
/// @param others those of the group's other servers that are not ejected.
/// @param slow_limit result of `SlowLimit`.
/// @param since only requests in progress that started later count.
/// @return the reason to eject the server; nothing if there is none.
std::optional<ejection_reason> FindFault(
    const server_observations& server,
    const std::vector<const server_observations*>& others,
    core::duration slow_limit,
    const balancing_settings& settings,
    core::time_point since,
    core::time_point now);

}  // namespace plantaintiller::balancing
