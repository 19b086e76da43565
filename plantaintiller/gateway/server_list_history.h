#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/gateway/peer_state.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::gateway {

/// The list of servers in use and the last changes that led to it, from which
/// other instances are sent only the servers that they lack.
///
/// Lists are identified by their hashes, not by store versions: instances read
/// the same list at different versions, and an entry can expire without a new
/// version.
class server_list_history {
 public:
  /// Changes of the list that are kept. At one change per read of the store,
  /// they reach back for half a minute.
  static constexpr std::size_t kMaxChanges = 32;

  /// Replaces the list. @param servers in the order of their ids.
  /// @return false if the list is the same as before.
  bool Replace(std::vector<replication::server_entry> servers);
  const std::vector<replication::server_entry>& Servers() const {
    return servers_;
  }
  /// Hash of the list; 0 before the first one.
  std::uint64_t Hash() const { return hash_; }
  /// Computes what an instance with an older list lacks.
  /// @param request versions of that instance.
  /// @param version store version of the list in use.
  /// @return changes if the history contains the requester's list and they are
  /// shorter than the list, and both versions are of the same era of the store;
  /// otherwise the whole list; an empty update if the list is not newer.
  list_update UpdateFor(const state_request& request,
                        std::uint64_t version) const;
  /// Applies an update to a list.
  /// @param servers list that the update's requester had.
  /// @return the new list in the order of ids; nothing if the update does not
  /// apply to `servers` or results in another list than the sender's.
  static std::optional<std::vector<replication::server_entry>> Apply(
      const std::vector<replication::server_entry>& servers,
      const list_update& update);

 private:
  /// An earlier list and the servers that differ in the next one.
  struct change {
    std::uint64_t hash = 0;
    std::vector<std::string> ids;
  };

  std::vector<replication::server_entry> servers_;
  std::uint64_t hash_ = 0;
  std::deque<change> changes_;
};

}  // namespace plantaintiller::gateway
