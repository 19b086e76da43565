#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/core/route.h"
#include "plantaintiller/gateway/directory_codec.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::gateway {

/// Told what the store says.
class store_watch_listener {
 public:
  virtual ~store_watch_listener() = default;
  /// The operator's configuration, as text and decoded.
  virtual void OnRoutes(const std::string& text, core::route_table routes) = 0;
  /// Until when the reads of others will do for this instance.
  /// @return a time in the past if it has to read for itself.
  virtual core::time_point NextOwnRead() const = 0;
  /// All usable servers, those kept over an outage included.
  /// @param version of the store that the list is of.
  virtual void OnServers(std::vector<replication::server_entry> servers,
                         store::row_version version) = 0;
};

/// Follows the configuration and the list of servers in the store.
class store_watch {
 public:
  /// All references must outlive the watch.
  store_watch(boost::asio::io_context& context,
              store::row_store& rows,
              const directory_codec& codec,
              event_log& log,
              store_watch_listener& listener);

  void Start();
  void Stop();
  /// Reads the list of servers soon, out of turn.
  void ReadServersSoon();
  /// The list of another instance is in force.
  void AdoptServers(const std::vector<replication::server_entry>& servers);
  /// Whether the last call for the list of servers failed.
  bool IsStoreUnavailable() const;

 private:
  void ReadRoutes();
  void FollowRoutes();
  void OnRouteRows(const store::rows_answer& answer);
  void ReadServers(const std::string& from);
  void OnServerRows(const store::rows_answer& answer);
  void OnFailure();
  void ScheduleServers(core::time_point when, bool on_demand);
  void ScheduleRoutes(core::time_point when);

  store::row_store& rows_;
  const directory_codec& codec_;
  event_log& log_;
  store_watch_listener& listener_;
  boost::asio::steady_timer route_timer_;
  boost::asio::steady_timer server_timer_;
  bool stopped_ = false;
  bool reading_servers_ = false;
  store::row_version route_version_ = 0;
  bool store_unavailable_ = false;
  core::time_point last_read_;
  core::time_point keep_missing_until_;
  std::map<std::string, replication::server_entry> known_;
  std::map<std::string, replication::server_entry> partial_servers_;
};

}  // namespace plantaintiller::gateway
