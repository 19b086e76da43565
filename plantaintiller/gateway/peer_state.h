#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::gateway {

/// A group's leader as known to an instance.
struct leader_view {
  std::string group;
  std::string server;
  core::term_number term = 0;
  /// Whether the instance is currently changing the group's leader.
  bool changing = false;
};

/// Location and capacity of an instance.
struct instance_info {
  std::string zone;
  std::string host;
  /// Processor share, in thousandths of a core.
  std::uint32_t capacity_units = 1000;
};

/// Converts a processor share in cores to thousandths of a core.
inline std::uint32_t CapacityUnits(double cores) {
  return static_cast<std::uint32_t>(cores * 1000.0);
}

/// State that an instance announces in its heartbeats.
struct instance_view {
  std::uint64_t configuration_version = 0;
  /// Store version of the list of servers.
  std::uint64_t list_version = 0;
  /// Hash of the list of servers; equal for lists of the same servers.
  std::uint64_t list_hash = 0;
  /// Age of the last read of the store that is known, by this instance or
  /// another.
  core::milliseconds store_age{0};
  /// Leaders that changed recently or are being changed; few, to fit a
  /// datagram.
  std::vector<leader_view> leaders;
};

/// Versions that an instance has when it requests the state of another one.
struct state_request {
  std::uint64_t configuration_version = 0;
  std::uint64_t list_version = 0;
  /// Hash of the list that an answer may build on; 0 to request a whole list.
  std::uint64_t list_hash = 0;
};

/// A newer list of servers, or the changes that lead to it.
struct list_update {
  /// Store version of the list; 0 if the list is not newer.
  std::uint64_t version = 0;
  /// Hash of the resulting list; 0 from instances of earlier releases.
  std::uint64_t hash = 0;
  /// Hash of the list that the changes apply to; 0 for a whole list.
  std::uint64_t base_hash = 0;
  /// All servers of a whole list; otherwise the new and changed ones.
  std::vector<replication::server_entry> servers;
  /// Ids of the servers that are no longer listed.
  std::vector<std::string> removed;
};

/// State that an instance adopts from another one.
struct remote_state {
  /// Text of the configuration; empty if it is not newer.
  std::string configuration;
  list_update list;
};

/// Receives the state of other instances and provides that of this one.
class peer_listener {
 public:
  virtual ~peer_listener() = default;
  /// @return the state that the next heartbeat announces.
  virtual instance_view View() const = 0;
  /// @return what this instance sends when it requests the state of another.
  virtual state_request Request() const = 0;
  /// @return the parts of this instance's state that the requester lacks.
  virtual remote_state StateFor(const state_request& request) const = 0;
  /// Called for each leader that another instance announces.
  virtual void OnPeerLeader(const std::string& instance,
                            const leader_view& leader) = 0;
  /// Called when another instance was refused a connection to a server, so that
  /// this one can close an idle connection to it.
  virtual void OnConnectionRequest(const std::string& group,
                                   const std::string& server) = 0;
  /// Called with the state that was requested from another instance.
  virtual void OnRemoteState(const remote_state& state) = 0;
  /// Called when another instance with the same configuration and list of
  /// servers announces the age of the last read of the store known to it.
  /// @param list_version store version of its list.
  virtual void OnStoreAge(core::milliseconds age,
                          std::uint64_t list_version) = 0;
  /// Whether this instance takes the list of servers from peers, because it
  /// does not read the store or the store is unavailable.
  virtual bool NeedsServerList() const = 0;
};

}  // namespace plantaintiller::gateway
