#pragma once

#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/ids.h"

namespace plantaintiller::decisions {

/// Instance that may be chosen to hold connections.
struct placement_candidate {
  core::instance_id id;
  core::zone_id zone;
};

/// Chooses the instances that hold the connections to each backend server.
///
/// Uses rendezvous hashing (Thaler and Ravishankar, 1998): each instance is
/// hashed together with the server, and the instances with the highest hashes
/// hold its connections. Losing an instance moves only the connections that it
/// held.
class connection_placement {
 public:
  /// Maximum number of instances that hold connections to one server.
  static constexpr std::size_t kHolders = 2;

  /// Chooses the instances that hold connections to a server, highest hash
  /// first. They are chosen among the candidates in the server's availability
  /// zone, or among all candidates if that zone has none.
  /// @param server whose connections to place;
  /// @param zone of the server;
  /// @param candidates live instances.
  static std::vector<core::instance_id> Holders(
      core::backend_server_id server,
      core::zone_id zone,
      const std::vector<placement_candidate>& candidates);

  /// Number of connections of the holder with a given rank. The shares of all
  /// ranks add up to at most `limit`.
  /// @param limit connections that the server accepts;
  /// @param rank of the holder, from 0;
  /// @param holders number of holders.
  static int Share(int limit, std::size_t rank, std::size_t holders);
};

}  // namespace plantaintiller::decisions
