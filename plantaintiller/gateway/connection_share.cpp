#include "plantaintiller/gateway/connection_share.h"

#include <algorithm>

namespace plantaintiller::gateway {

namespace {

/// Most connections to one server that are opened ahead of need: with the homes
/// of all zones they carry the reads of a usual second.
constexpr int kMostWarm = 3;
/// Least share of a server's connections at which some are opened ahead of
/// need: two for callers beside two kept ones.
constexpr int kWarmShare = 4;

}  // namespace

connection_pool::limits connection_share::Of(
    int most,
    std::optional<std::size_t> sharers) {
  connection_pool::limits made;
  made.most = most;
  if (!sharers.has_value()) {
    // Alone for all it knows, it would take the share of everyone.
    made.kept = 1;
    return made;
  }
  // Half of the share: servers count the connections of a lost instance beside
  // those of its successor for a while.
  const int share = most / static_cast<int>(std::max<std::size_t>(1, *sharers));
  made.kept = std::max(1, share / 2);
  // With a small share the successor needs all of it where its callers are.
  made.warm = share >= kWarmShare ? std::min(made.kept, kMostWarm) : 0;
  return made;
}

}  // namespace plantaintiller::gateway
