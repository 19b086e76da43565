#pragma once

#include <string>
#include <vector>

namespace plantaintiller::core {

/// A caller that the configuration knows by its keys, with its limits.
struct client_account {
  std::string name;
  /// Digests of the keys that identify the account; the keys themselves are not
  /// kept.
  std::vector<std::string> key_digests;
  /// 0 is the highest.
  int priority = 0;
  /// Operations a second over all instances; 0 for no limit.
  double rate_per_s = 0;
  /// Operations that may be sent at once beyond the rate.
  double burst = 0;
  friend bool operator==(const client_account&,
                         const client_account&) = default;
};

}  // namespace plantaintiller::core
