#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "plantaintiller/balancing/balancing_settings.h"
#include "plantaintiller/balancing/server_observations.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/distance.h"

namespace plantaintiller::balancing {

/// A listed server of a group.
struct listed_server {
  std::string id;
  replication::distance zone_distance = replication::distance::kSameZone;
  int slots = 1;
  /// A new value means that the server has restarted.
  std::int64_t born_ms = 0;
};

/// A server that may run a certain read.
struct read_candidate {
  std::string id;
  /// Whether a connection to it is open.
  bool connected = false;
};

/// @param reference latency of the group in milliseconds.
/// @return the time by which a server is slower than its group, beyond random
/// differences, in milliseconds.
double ExcessLatency(const server_observations& observed,
                     double reference,
                     const balancing_settings& settings,
                     core::time_point now);

/// @return the expected cost of a read at a server, in milliseconds: its
/// latency, weighted by the requests in progress and the failures, and the
/// distance.
double ReadCost(const listed_server& server,
                const server_observations& observed,
                bool is_leader,
                bool connected,
                double reference,
                const balancing_settings& settings,
                core::time_point now);

/// @return whether a server is not preferred for being near.
bool IsLoaded(const listed_server& server,
              const server_observations& observed,
              double reference,
              const balancing_settings& settings,
              core::time_point now);

/// Draws two entries, each with a probability that is inverse to its cost.
/// @param costs at least one positive cost.
/// @return the index of the cheaper one; the first drawn one if both are equal.
std::size_t CheaperOfTwo(const std::vector<double>& costs,
                         std::mt19937_64& random);

}  // namespace plantaintiller::balancing
