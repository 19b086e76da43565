#include "plantaintiller/balancing/server_cost.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaintiller::balancing {

namespace {

/// Weight of the own requests at a server, as a share of its slots. It is above
/// one because other instances use the same slots unseen.
constexpr double kQueueWeight = 2.0;
/// Weight of the share of failed requests.
constexpr double kFailureWeight = 4.0;
/// Cost of a server that has just refused a statement with a full queue, and
/// for how long it counts.
constexpr double kBusyCostMs = 200.0;
constexpr core::milliseconds kBusyTime{100};
/// Time constant with which the latency of an unused server approaches that of
/// its group, so that it is tried again.
constexpr double kForgetLatencySeconds = 6.0;
/// Failed share from which failures count. Two servers with equal costs share
/// the reads, and a rest of an old failure must not decide between them.
constexpr double kUnreliableShare = 0.05;

double ToMs(core::duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

/// @return the index of a random entry other than `excluded`.
std::size_t Draw(const std::vector<double>& costs,
                 std::size_t excluded,
                 std::mt19937_64& random) {
  double sum = 0;
  for (std::size_t n = 0; n < costs.size(); ++n) {
    sum += n == excluded ? 0 : 1 / costs[n];
  }
  double rest = std::uniform_real_distribution<double>(0, sum)(random);
  std::size_t drawn = excluded;
  for (std::size_t n = 0; n < costs.size() && rest >= 0; ++n) {
    if (n != excluded) {
      drawn = n;
      rest -= 1 / costs[n];
    }
  }
  return drawn;
}

}  // namespace

double ExcessLatency(const server_observations& observed,
                     double reference,
                     const balancing_settings& settings,
                     core::time_point now) {
  double latency = reference;
  if (!observed.reads.IsEmpty() && observed.reads.Milliseconds() > reference) {
    const double idle_s =
        std::chrono::duration<double>(now - observed.reads.LastSample())
            .count();
    latency += (observed.reads.Milliseconds() - reference) *
               std::exp(-std::max(0.0, idle_s) / kForgetLatencySeconds);
  }
  // A request without an answer is at least as slow as its age.
  latency = std::max(latency, ToMs(observed.Silence(now)));
  return std::max(0.0, latency - settings.load_ratio * reference);
}

double ReadCost(const listed_server& server,
                const server_observations& observed,
                bool is_leader,
                bool connected,
                double reference,
                const balancing_settings& settings,
                core::time_point now) {
  const double queue = kQueueWeight *
                       static_cast<double>(observed.running.size()) /
                       std::max(1, server.slots);
  const double failed = observed.FailedShare(now);
  const double failures =
      failed > kUnreliableShare ? kFailureWeight * failed : 0;
  double cost =
      (reference + ExcessLatency(observed, reference, settings, now)) *
      (1 + queue) * (1 + failures);
  switch (server.zone_distance) {
    case replication::distance::kSameZone:
      break;
    case replication::distance::kSameRegion:
      cost += ToMs(settings.other_zone_cost);
      break;
    case replication::distance::kOtherRegion:
      cost += ToMs(settings.other_region_cost);
      break;
  }
  if (is_leader) {
    cost += ToMs(settings.leader_cost);
  }
  if (!connected) {
    cost += ToMs(settings.connect_cost);
  }
  if (now - observed.last_busy < kBusyTime) {
    cost += kBusyCostMs;
  }
  return cost;
}

bool IsLoaded(const listed_server& server,
              const server_observations& observed,
              double reference,
              const balancing_settings& settings,
              core::time_point now) {
  const auto running = static_cast<int>(observed.running.size());
  return running >= std::max(1, server.slots / 3) ||
         ExcessLatency(observed, reference, settings, now) > 0 ||
         observed.FailedShare(now) > kUnreliableShare ||
         now - observed.last_busy < kBusyTime;
}

std::size_t CheaperOfTwo(const std::vector<double>& costs,
                         std::mt19937_64& random) {
  const std::size_t first = Draw(costs, costs.size(), random);
  if (costs.size() == 1) {
    return first;
  }
  const std::size_t second = Draw(costs, first, random);
  return costs[second] < costs[first] ? second : first;
}

}  // namespace plantaintiller::balancing
