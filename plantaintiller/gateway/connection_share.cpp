#include "plantaintiller/gateway/connection_share.h"

#include <algorithm>

namespace plantaintiller::gateway {

namespace {

/// Upper bound on connections to one server that are opened ahead of need:
/// together with those of the session owners of all availability zones, they
/// carry the reads of an average second.
constexpr int kMaxMinOpen = 3;
/// Minimum share of a server's connections at which some are opened ahead of
/// need: two to be opened for callers, and two that are kept idle.
constexpr int kMinShareToPreopen = 4;

/// Part of the share that is kept idle where connections belong to accounts.
/// The rest covers the connections of a lost session owner of one of six
/// availability zones, which servers count for 3 s more.
constexpr int kAccountKeptParts = 3;
constexpr int kAccountShareParts = 4;
/// Idle limit for those connections: below the time for which servers keep an
/// idle connection, 60 s. A small account sends a few operations a minute to a
/// group, and opening a connection takes a slot for 12 ms.
constexpr core::milliseconds kAccountIdleLimit{50000};

}  // namespace

connection_pool::limits connection_share::LimitsFor(
    int max_connections,
    std::optional<std::size_t> instance_count,
    bool has_accounts) {
  connection_pool::limits result;
  result.max_open = max_connections;
  result.max_working = max_connections;
  if (!instance_count.has_value()) {
    // Nothing is opened ahead of need, because an instance that assumed to be
    // the only one would use the shares of all others.
    result.kept_idle = 1;
    return result;
  }
  // Half of the share, because servers count the connections of a lost instance
  // for a while in addition to those of the instance that replaces it.
  const int share = max_connections /
                    static_cast<int>(std::max<std::size_t>(1, *instance_count));
  if (has_accounts) {
    result.replace_from = std::max(1, share);
    result.kept_idle =
        std::max(1, share * kAccountKeptParts / kAccountShareParts);
    result.kept_idle_limit = kAccountIdleLimit;
    // The system's own commands use connections of any account, and need one to
    // each server.
    result.min_open = share >= kMinShareToPreopen ? 1 : 0;
    return result;
  }
  // More than its share would be refused to the other instances, or to this one
  // after a wait. A transaction between two statements does not slow the others
  // down, so its connection comes on top.
  result.max_working = std::max(1, share);
  result.kept_idle = std::max(1, share / 2);
  // With a small share, an instance that replaces another one needs all of it
  // for the servers that its callers use.
  result.min_open =
      share >= kMinShareToPreopen ? std::min(result.kept_idle, kMaxMinOpen) : 0;
  return result;
}

}  // namespace plantaintiller::gateway
