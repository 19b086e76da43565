#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/gateway/connection_pool.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/gateway/peer_exchange.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/replication/leader_monitor.h"
#include "plantaintiller/replication/primary_change.h"
#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::gateway {

/// What the keeper uses.
struct leader_controller_dependencies {
  sessions::server_codec& servers;
  sessions::status_reader& status;
  store::row_store& rows;
  store::promotion_service& promotions;
  event_log& log;
};

/// Told what the keeper has done.
class leader_controller_listener {
 public:
  virtual ~leader_controller_listener() = default;
  /// A change of a group's leader was claimed or ended.
  virtual void OnLeaderChange(const std::string& group) = 0;
};

/// Watches the leaders of all groups and has failed ones replaced. It sends
/// the orders of `replication::primary_change`, one change a group.
class leader_controller {
 public:
  /// All references must outlive the keeper.
  leader_controller(boost::asio::io_context& context,
                    const gateway_settings& settings,
                    const leader_controller_dependencies& peers,
                    leader_controller_listener& listener);
  ~leader_controller();

  /// A group to watch. @param pool its connections.
  void Add(replication::group_state& group, connection_pool& pool);
  /// Something about a group has changed: looks whether its leader must go.
  void Evaluate(const std::string& group);
  /// Another instance changes the group's leader now.
  void OnPeerChangingLeader(const std::string& group);
  /// Whether this instance holds the claim to change the group's leader.
  bool IsChanging(const std::string& group) const;
  void Stop();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
