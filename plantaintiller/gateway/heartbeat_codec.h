#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/gateway/peer_state.h"

namespace plantaintiller::gateway {

/// An instance that a heartbeat reports to be alive.
struct reported_member {
  std::string instance;
  instance_info info;
  /// Time since it was last known to be alive.
  core::milliseconds age{0};
};

/// A heartbeat of one instance to another.
struct heartbeat {
  std::string instance;
  instance_info info;
  instance_view view;
  /// Group and name of each server that refuses the sender's connections.
  std::vector<std::pair<std::string, std::string>> full_servers;
  std::vector<reported_member> members;
  /// Number of other instances that the sender considers alive.
  std::uint32_t member_count = 0;
};

/// Encodes heartbeats as Cap'n Proto datagrams.
class heartbeat_codec {
 public:
  static std::string Encode(const heartbeat& message);
  /// @param bytes a datagram of `size` bytes.
  /// @param problem receives a description if the datagram is malformed.
  /// @return nothing if the datagram is malformed.
  static std::optional<heartbeat> Decode(const char* bytes,
                                         std::size_t size,
                                         std::string& problem);
};

}  // namespace plantaintiller::gateway
