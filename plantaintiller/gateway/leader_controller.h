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
#include "plantaintiller/store/promotion_service.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::gateway {

/// Codecs and services that the controller uses.
struct leader_controller_dependencies {
  sessions::server_codec& servers;
  sessions::status_reader& status;
  store::row_store& rows;
  store::promotion_service& promotions;
  event_log& log;
};

/// Receives the leader changes of this instance.
class leader_controller_listener {
 public:
  virtual ~leader_controller_listener() = default;
  /// Called when a change of a group's leader was started, claimed or ended.
  virtual void OnLeaderChange(const std::string& group) = 0;
  /// Called when a call to promote a server has ended.
  virtual void OnPromotionCall(store::promotion_status status) = 0;
  /// Called when a newer list of servers is needed.
  virtual void OnListNeeded() = 0;
  /// Number of live instances, with this one.
  virtual std::size_t LiveInstances() const = 0;
};

/// Monitors the leaders of all groups and replaces failed ones. It sends the
/// commands of `replication::primary_change`, with one change per group at a
/// time.
class leader_controller {
 public:
  /// All references must outlive the controller.
  leader_controller(boost::asio::io_context& context,
                    const gateway_settings& settings,
                    const leader_controller_dependencies& dependencies,
                    leader_controller_listener& listener);
  ~leader_controller();

  /// Adds a group to monitor. @param pool connections to the group's servers.
  void Add(replication::group_state& group, connection_pool& pool);
  /// Checks whether the group's leader must be replaced. Called when the state
  /// of the group has changed.
  void Evaluate(const std::string& group);
  /// Called when another instance announces that it is changing the group's
  /// leader. This instance then waits before it starts a change.
  void OnPeerChangingLeader(const std::string& group);
  /// Whether this instance holds the claim to change the group's leader.
  bool IsChanging(const std::string& group) const;
  void Stop();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
