#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/forwarding/owner_selection.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::gateway {

/// A leader as an instance believes it.
struct leader_view {
  std::string group;
  std::string server;
  core::term_number term = 0;
  /// Whether the instance is changing the group's leader now.
  bool changing = false;
};

/// Where an instance is and how much it can carry.
struct instance_info {
  std::string zone;
  std::string host;
  /// Processor share, in thousandths of a core.
  std::uint32_t capacity_units = 1000;
};

/// A processor share in cores as thousandths.
inline std::uint32_t CapacityUnits(double cores) {
  return static_cast<std::uint32_t>(cores * 1000.0);
}

/// What an instance tells the others of itself.
struct instance_view {
  std::uint64_t configuration_version = 0;
  /// Version of the store that the list of servers is of.
  std::uint64_t list_version = 0;
  /// Equal for lists of the same servers.
  std::uint64_t list_hash = 0;
  /// Age of what it knows of the store, by reads of its own or of others.
  core::milliseconds store_age{0};
  /// Leaders that changed lately; few.
  std::vector<leader_view> leaders;
};

/// What an instance takes over from another.
struct remote_state {
  /// Text of the configuration; empty if it is not newer.
  std::string configuration;
  std::uint64_t list_version = 0;
  /// Empty if the list is not newer.
  std::vector<replication::server_entry> servers;
};

/// Told what other instances say, and asked for this one's state.
class peer_listener {
 public:
  virtual ~peer_listener() = default;
  virtual instance_view View() const = 0;
  /// State for an instance that knows less.
  virtual remote_state StateNewerThan(std::uint64_t configuration_version,
                                      std::uint64_t list_version) const = 0;
  virtual void OnPeerLeader(const std::string& instance,
                            const leader_view& belief) = 0;
  /// Another instance lacks a connection to a server.
  virtual void OnConnectionRequest(const std::string& group,
                                   const std::string& server) = 0;
  virtual void OnRemoteState(const remote_state& state) = 0;
  /// Another instance, which knows the same as this one, has read the store, or
  /// heard from one that has, that long ago. @param list_version of its list.
  virtual void OnStoreAge(core::milliseconds age,
                          std::uint64_t list_version) = 0;
  /// Whether lists of servers should come from peers, as the store is lost.
  virtual bool NeedsServerList() const = 0;
};

/// Heartbeats between instances, in datagrams of Cap'n Proto, and transfers of
/// state over TCP to those that are behind.
///
/// In a small deployment instances tell all others. Above it each tells the
/// two relays of its availability zone, and relays tell their zone and the
/// relays of the others, so that the cost of an instance does not grow with
/// their number.
class peer_exchange {
 public:
  /// All references must outlive the exchange.
  peer_exchange(boost::asio::io_context& context,
                const gateway_settings& settings,
                event_log& log,
                peer_listener& listener);
  ~peer_exchange();

  /// Opens the sockets and greets the seeds.
  void Start();
  void Stop();
  /// An instance is known from elsewhere.
  void AddPeer(const std::string& instance, const instance_info& place);
  /// Sends the view at once, as something in it has changed.
  void Announce();
  /// Asks others to give up an idle connection to a server.
  void RequestConnection(const std::string& group, const std::string& server);
  /// Takes over the state of an instance that has a newer one.
  void PullState(const std::string& host);
  /// Instances of this zone that may be alive, this one among them.
  /// @return empty in a small deployment.
  std::vector<forwarding::owner_candidate> ZoneMembers() const;
  /// Whether this instance reads the store for others in a large deployment; in
  /// a small one all read for themselves.
  bool IsStoreReader() const;
  /// Instances heard from lately, this one not counted.
  std::size_t LivePeers() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
