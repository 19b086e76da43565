#include "plantaintiller/gateway/connection_share.h"

#include <algorithm>

namespace plantaintiller::gateway {

namespace {

/// Most connections to one server that are opened ahead of need: with the homes
/// of all zones they carry the reads of a usual second.
constexpr int kMaxMinOpen = 3;
/// Least share of a server's connections at which some are opened ahead of
/// need: two for callers beside two kept ones.
constexpr int kMinShareToPreopen = 4;

}  // namespace

connection_pool::limits connection_share::LimitsFor(
    int max_connections,
    std::optional<std::size_t> instance_count) {
  connection_pool::limits made;
  made.max_open = max_connections;
  if (!instance_count.has_value()) {
    // Alone for all it knows, it would take the share of everyone.
    made.kept_idle = 1;
    return made;
  }
  // Half of the share: servers count the connections of a lost instance beside
  // those of its successor for a while.
  const int share = max_connections /
                    static_cast<int>(std::max<std::size_t>(1, *instance_count));
  made.kept_idle = std::max(1, share / 2);
  // With a small share the successor needs all of it where its callers are.
  made.min_open =
      share >= kMinShareToPreopen ? std::min(made.kept_idle, kMaxMinOpen) : 0;
  return made;
}

}  // namespace plantaintiller::gateway
