#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/forwarding/owner_selection.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/gateway/peer_protocol.h"
#include "plantaintiller/gateway/peer_state.h"
#include "plantaintiller/gateway/relay_selection.h"

namespace plantaintiller::gateway {

/// Messages of one kind, and their bytes without headers.
struct message_count {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// Messages that an instance has sent to others, by kind.
struct exchange_counts {
  /// By `heartbeat_kind`.
  std::array<message_count, kHeartbeatKinds> heartbeats;
  /// Requests for state.
  message_count requests;
  /// Answers with the configuration, whether or not with a list.
  message_count configurations;
  /// Answers with a whole list of servers.
  message_count whole_lists;
  /// Answers with changes of the list of servers, or with nothing new.
  message_count list_changes;
};

/// Exchanges heartbeats between instances as Cap'n Proto datagrams, and
/// transfers state over TCP to instances whose state is older.
///
/// In a small deployment each instance sends heartbeats to all others. In a
/// larger one it sends them to the two relays of its availability zone, and
/// relays send to all instances of their zone and to the relays of the other
/// zones, so that the cost of an instance does not grow with the number of
/// instances.
class peer_exchange {
 public:
  /// All references must outlive the exchange.
  peer_exchange(boost::asio::io_context& context,
                const gateway_settings& settings,
                event_log& log,
                peer_listener& listener);
  ~peer_exchange();

  /// Opens the sockets and sends a first heartbeat to the seeds.
  void Start();
  void Stop();
  /// Adds the instances that the store lists.
  void AddListed(
      const std::vector<std::pair<std::string, instance_info>>& instances);
  /// Sends a heartbeat without waiting for the next interval, because the view
  /// has changed.
  void Announce(change_source source);
  /// Asks the other instances to close an idle connection to a server.
  void RequestConnection(const std::string& group, const std::string& server);
  /// Requests the state of an instance that has a newer one; ends with
  /// `peer_listener::OnRemoteState`.
  void PullState(const std::string& host);
  /// Live instances of this availability zone, including this one.
  /// @return empty in a small deployment.
  const std::vector<forwarding::owner_candidate>& ZoneMembers() const;
  /// Whether this instance reads the store. In a large deployment a few
  /// instances read it for all others; in a small one all read it.
  bool IsStoreReader() const;
  /// Live instances, without this one.
  std::vector<relay_candidate> LiveInstances() const;
  /// Number of live instances, without this one.
  std::size_t LivePeers() const;
  /// Increased when the live instances change.
  std::uint64_t MembersGeneration() const;
  const exchange_counts& Counts() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
