#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/gateway/server_link.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::gateway {

/// Someone who waits for a connection. It is granted at most once.
class connection_waiter {
 public:
  virtual ~connection_waiter() = default;
  /// @return who hears the answers.
  virtual sessions::reply_listener& Listener() = 0;
  virtual void OnConnection(sessions::server_connection& connection) = 0;
  /// The turn that was asked for has come.
  virtual void OnPermit() {}
};

/// Connections to the servers of one group. They are opened when someone
/// waits, and closed when idle; the servers' own limit arbitrates between
/// instances, and an instance that is refused asks the others to give way.
class connection_pool : public server_link_listener {
 public:
  /// Told what the pool cannot do by itself.
  class listener {
   public:
    virtual ~listener() = default;
    /// A server refused a connection, since all are in use.
    virtual void OnServerFull(const std::string& group,
                              const std::string& server) = 0;
    /// A connection to a server could not be opened, or was lost.
    virtual void OnServerUnreachable(const std::string& group,
                                     const std::string& server) = 0;
  };

  /// All references must outlive the pool.
  connection_pool(boost::asio::io_context& context,
                  sessions::server_codec& codec,
                  replication::group_state& group,
                  listener& events);
  ~connection_pool() override;

  /// Queues a request. The grant comes later, never during the call.
  void Acquire(const sessions::connection_requirements& need,
               connection_waiter& waiter);
  /// Withdraws a request that was not granted.
  void Cancel(connection_waiter& waiter);
  /// Asks to send a statement of a transaction on the connection that it
  /// holds. @return whether it may be sent now; if not, `waiter` hears of its
  /// turn later.
  bool AcquirePermit(sessions::server_connection& connection,
                     connection_waiter& waiter);
  /// Withdraws a request that was not granted.
  void CancelPermit(const sessions::server_connection& connection);
  /// The statement was answered. @param sample_latency whether its time tells
  /// how long the server's queue is.
  void ReleasePermit(sessions::server_connection& connection,
                     bool sample_latency);
  /// Connections of this instance to each server.
  struct limits {
    /// That the server accepts from all, from the configuration.
    int max_open = 16;
    /// That are kept for longer while idle.
    int kept_idle = 0;
    /// Those of them that are opened ahead of need and never closed for being
    /// idle.
    int min_open = 0;
  };
  void SetLimits(const limits& given);
  /// The group has changed: serves who can be served now.
  void OnGroupChanged();
  /// Another instance lacks a connection to a server: closes one that has been
  /// idle. @return whether one was closed.
  bool CloseOldestIdle(const std::string& server);
  /// Requests that wait.
  std::size_t Waiting() const { return waiting_.size(); }
  /// Connections, open or opening.
  std::size_t Connections() const;

  void OnLinkIdle(server_link& link, link_phase before) override;
  void OnLinkClosed(server_link& link,
                    link_close_reason why,
                    link_phase before) override;

 private:
  struct request {
    sessions::connection_requirements need;
    connection_waiter* waiter = nullptr;
    core::time_point since;
  };
  /// What a lent connection is used for.
  struct connection_use {
    /// Its statements wait for their turns one by one.
    bool transaction = false;
    /// Whether a statement is in progress that the server's gate counts.
    bool counted = false;
    core::time_point since;
  };
  /// A transaction's statement that waits for its turn.
  struct permit_request {
    sessions::server_connection* connection = nullptr;
    connection_waiter* waiter = nullptr;
  };
  struct server_links {
    std::vector<std::shared_ptr<server_link>> all;
    /// Last left last: the warmest is lent first.
    std::vector<server_link*> idle;
    int opening = 0;
    core::time_point retry_open_at;
    int open_failures = 0;
    /// None is opened ahead of need before this time.
    core::time_point reopen_to_minimum_at;
  };

  void Schedule();
  void Dispatch();
  server_link* FindIdle(const sessions::connection_requirements& need,
                        std::map<std::string, int>& missing);
  bool MayRun(const std::string& server);
  void GrantPermit(sessions::server_connection& connection);
  void GrantWaitingPermits();
  void EndStatement(const std::string& server,
                    connection_use& ended,
                    bool sample_latency);
  void OnAcquired(server_link& link,
                  const sessions::connection_requirements& need);
  void OnReleased(server_link& link, bool answered);
  void OpenMissing(const std::map<std::string, int>& missing);
  void OpenToMinimum();
  bool Open(const std::string& server, server_links& links);
  void ArmWake(core::time_point when);
  void UpdateConnected(const std::string& server);
  void ArmTrim();
  void Trim();
  /// Whether some of a server's connections may be closed when idle.
  bool IsExcess(const server_links& links) const;
  core::milliseconds IdleLimit(const server_links& links) const;

  boost::asio::io_context& context_;
  sessions::server_codec& codec_;
  replication::group_state& group_;
  listener& listener_;
  limits limits_;
  std::map<std::string, server_links> servers_;
  std::list<request> waiting_;
  std::list<permit_request> permit_requests_;
  std::map<const sessions::server_connection*, connection_use> in_use_;
  bool scheduled_ = false;
  boost::asio::steady_timer wake_;
  core::time_point wake_at_;
  boost::asio::steady_timer trim_;
  bool trim_armed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace plantaintiller::gateway
