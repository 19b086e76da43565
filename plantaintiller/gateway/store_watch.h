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
#include "plantaintiller/gateway/retry_backoff.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::gateway {

/// Receives the contents of the store.
class store_watch_listener {
 public:
  virtual ~store_watch_listener() = default;
  /// Called when the operator's configuration was read. @param text its row;
  /// @param routes decoded from it.
  virtual void OnRoutes(const std::string& text, core::route_table routes) = 0;
  /// Time until which the reads of other instances are sufficient.
  /// @return a time in the past if this instance has to read the store itself.
  virtual core::time_point NextOwnRead() const = 0;
  /// Called when the list of servers was read. @param servers all valid
  /// entries, including those kept over an outage of the store; @param version
  /// store version of the list.
  virtual void OnServers(std::vector<replication::server_entry> servers,
                         store::row_version version) = 0;
};

/// Keeps reading the configuration and the list of servers from the store.
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
  /// Reads the list of servers ahead of schedule.
  void ReadServersSoon();
  /// Replaces the known list of servers by the one of another instance.
  void AdoptServers(const std::vector<replication::server_entry>& servers);
  /// Whether the last read of the list of servers failed.
  bool IsStoreUnavailable() const;
  /// @return when the list that was read last was asked for.
  core::time_point ListAskedAt() const { return list_asked_at_; }
  /// @return how long the machine had been suspended by then.
  core::duration SuspendedWhenAsked() const { return suspended_when_asked_; }

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
  retry_backoff route_backoff_;
  retry_backoff server_backoff_;
  /// No read of the list of servers before this time, after a failed one.
  core::time_point retry_servers_at_;
  bool stopped_ = false;
  bool reading_servers_ = false;
  store::row_version route_version_ = 0;
  bool store_unavailable_ = false;
  core::time_point last_read_;
  /// When the first page of the latest list was asked for.
  core::time_point list_asked_at_;
  core::duration suspended_when_asked_{0};
  core::time_point keep_missing_until_;
  /// Newest era of the store that was read; nothing before the first read.
  std::optional<std::uint64_t> era_;
  /// Until this time the list of a restored store is not adopted.
  core::time_point restored_until_;
  std::map<std::string, replication::server_entry> known_;
  std::map<std::string, replication::server_entry> partial_servers_;
};

}  // namespace plantaintiller::gateway
