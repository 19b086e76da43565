#pragma once

#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/ids.h"

namespace plantaintiller::decisions {

/// An instance as a candidate for holding connections.
struct placement_candidate {
  core::instance_id id;
  core::zone_id zone;
};

/// Chooses the instances that hold the connections to each backend server.
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998): each instance gets a hash
/// with the server, and the highest hold the connections. Losing an instance
/// moves only the connections that it held.
class connection_placement {
 public:
  /// Most instances that hold connections to one server.
  static constexpr std::size_t kHolders = 2;

  /// Instances that hold connections to a server, highest hash first. Those of
  /// the server's availability zone are taken; if there is none, any are.
  /// @param server whose connections to place; @param zone of the server;
  /// @param candidates live instances.
  static std::vector<core::instance_id> Holders(
      core::backend_server_id server,
      core::zone_id zone,
      const std::vector<placement_candidate>& candidates);

  /// Connections of the holder of a given rank: the shares of all ranks add up
  /// to at most `limit`.
  /// @param limit connections that the server accepts; @param rank of the
  /// holder, from 0; @param holders number of holders.
  static int Share(int limit, std::size_t rank, std::size_t holders);
};

}  // namespace plantaintiller::decisions
