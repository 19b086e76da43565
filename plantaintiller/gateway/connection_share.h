#pragma once

#include <cstddef>
#include <optional>

#include "plantaintiller/gateway/connection_pool.h"

namespace plantaintiller::gateway {

/// Computes one instance's share of the connections that a server accepts from
/// all instances.
class connection_share {
 public:
  /// @param max_connections connections that the server accepts.
  /// @param instance_count instances that serve the server's group, including
  /// this one; nothing while the others are not known.
  /// @param has_accounts whether each connection belongs to a client account,
  /// so that more idle ones are worth keeping.
  static connection_pool::limits LimitsFor(
      int max_connections,
      std::optional<std::size_t> instance_count,
      bool has_accounts);
};

}  // namespace plantaintiller::gateway
