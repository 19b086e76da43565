#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/admission/arrival_queue.h"
#include "plantaintiller/admission/group_admission.h"
#include "plantaintiller/core/client_account.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/gateway/server_link.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::gateway {

/// Requests connections and permits from a pool. Each request is granted at
/// most once.
class connection_waiter : public admission::requester {
 public:
  /// @return the listener for the server's replies on the connection.
  virtual sessions::reply_listener& Listener() = 0;
  /// Called when the requested connection has been acquired.
  virtual void OnConnection(sessions::server_connection& connection) = 0;
  /// Called when the requested permit is granted.
  virtual void OnPermit() {}
};

/// Pool of connections to the servers of one group. Connections are opened when
/// requests wait for them and closed when idle. The servers' own connection
/// limits arbitrate between instances: an instance whose connection is refused
/// asks the others to close an idle one.
class connection_pool : public server_link_listener {
 public:
  /// Receives events that the pool cannot handle itself.
  class listener {
   public:
    virtual ~listener() = default;
    /// Called when a server refuses a connection because all of its connections
    /// are in use.
    virtual void OnServerFull(const std::string& group,
                              const std::string& server) = 0;
    /// Called when a connection to a server could not be opened for another
    /// reason.
    virtual void OnServerUnreachable(const std::string& group,
                                     const std::string& server) = 0;
    /// Called when an idle connection was closed, so that one of another client
    /// account can be opened.
    virtual void OnConnectionReplaced() = 0;
    /// Called when a server has sent what can't be matched to a command.
    /// @param outstanding number of commands that wait for an answer.
    virtual void OnServerLinkFault(const std::string& group,
                                   const std::string& server,
                                   link_fault fault,
                                   int outstanding) = 0;
  };

  /// All references must outlive the pool.
  /// @param group_admission decides on the order of requests; null if they are
  /// served in the order of arrival.
  connection_pool(boost::asio::io_context& context,
                  sessions::server_codec& codec,
                  replication::group_state& group,
                  listener& pool_listener,
                  admission::group_admission* group_admission = nullptr);
  ~connection_pool() override;

  /// Queues a request for a connection. `waiter.OnConnection` is called later,
  /// never during this call.
  void Acquire(const sessions::connection_requirements& need,
               connection_waiter& waiter);
  /// Withdraws a connection request that was not granted yet.
  void Cancel(connection_waiter& waiter);
  /// Requests a permit to send a statement of a transaction on the connection
  /// that the transaction holds.
  /// @return whether the statement may be sent now; if not, `waiter.OnPermit`
  /// is called later.
  bool AcquirePermit(sessions::server_connection& connection,
                     connection_waiter& waiter);
  /// Withdraws a permit request that was not granted yet.
  void CancelPermit(const sessions::server_connection& connection);
  /// Returns the permit after the statement was answered.
  /// @param sample_latency whether the statement's duration reflects the
  /// server's queue length, so that it counts as a latency sample.
  void ReleasePermit(sessions::server_connection& connection,
                     bool sample_latency);
  /// Limits on this instance's connections to each server.
  struct limits {
    /// Limit on open connections: what the server accepts from all instances,
    /// from the configuration.
    int max_open = 16;
    /// Number of working connections up to which more are opened. Those that
    /// open transactions hold between two statements are not counted.
    int max_working = 16;
    /// Number of connections up to which idle ones are kept open for longer.
    int kept_idle = 0;
    /// Number of connections that are opened ahead of need and never closed for
    /// being idle; at most `kept_idle`.
    int min_open = 0;
    /// Idle time after which kept connections are closed. By default, opening a
    /// new one takes a slot for the duration of several statements, and other
    /// instances do not need those of this share.
    core::milliseconds kept_idle_limit{15000};
    /// Number of connections to a server from which on an idle connection of
    /// another client account is closed before one is opened; 0 for `max_open`.
    int replace_from = 0;
  };
  /// Replaces the limits, opens connections up to the minimum and arms the
  /// timer that closes idle ones above it.
  void SetLimits(const limits& new_limits);
  /// Called when the servers or the leader of the group have changed: closes
  /// idle connections to removed servers and serves the requests that can now
  /// be served.
  void OnGroupChanged();
  /// Closes the connection to a server that has been idle longest, so that
  /// another instance can open one. @return whether one was closed.
  bool CloseOldestIdle(const std::string& server);
  /// Closes idle connections of client accounts that do not exist any more.
  /// @param accounts the accounts that exist, by name.
  void CloseIdleOfRemovedAccounts(
      const std::map<std::string, core::client_account>& accounts);
  /// Number of connection requests that wait.
  std::size_t Waiting() const { return waiting_.Size(); }
  /// Number of connections, open or being opened.
  std::size_t Connections() const;

  void OnLinkIdle(server_link& link, link_phase previous_phase) override;
  void OnLinkClosed(server_link& link,
                    link_close_reason reason,
                    link_phase previous_phase) override;
  void OnLinkFault(server_link& link,
                   link_fault fault,
                   int outstanding) override;

 private:
  /// State of a connection that is in use.
  struct connection_use {
    /// Set for transactions, which need a permit for each statement, and for
    /// commands to a given server, which need none.
    bool transaction = false;
    /// Whether a statement is in progress that the server's limiter counts.
    bool counted = false;
    core::time_point since;
    /// What it is used for, and how long statements have run on it.
    admission::work_kind kind = admission::work_kind::kRead;
    core::duration run_time{0};
  };
  /// A transaction's statement that waits for its permit.
  struct permit_request {
    sessions::server_connection* connection = nullptr;
    connection_waiter* waiter = nullptr;
  };
  struct server_links {
    std::vector<std::shared_ptr<server_link>> all;
    /// In the order of their release; the one released last, which is the
    /// warmest, is acquired first by its account.
    std::vector<server_link*> idle;
    int opening = 0;
    /// Part of `opening` that belongs to client accounts.
    std::map<std::string, int> opening_by_account;
    core::time_point retry_open_at;
    int open_failures = 0;
    /// No connection is opened ahead of need before this time.
    core::time_point reopen_to_minimum_at;
  };

  /// Limit on connections being opened to one server at a time, because each
  /// takes a slot there.
  static constexpr int kMaxOpening = 2;

  void Schedule();
  void Dispatch();
  server_link* FindIdle(const sessions::connection_requirements& need,
                        std::map<std::string, int>& missing);
  /// Servers that may run a request, in the order of preference.
  std::vector<std::string> ServersFor(
      const sessions::connection_requirements& need);
  /// As `FindIdle`, for a request of a client account. If no connection of the
  /// account is idle, opens one at the first server where that is possible.
  /// @param missing number of this account's requests that lack a connection,
  /// counted up to here.
  server_link* FindIdleOfAccount(const sessions::connection_requirements& need,
                                 int& missing);
  /// Removes the idle connection that suits a request best.
  /// @return null if there is none.
  static server_link* TakeIdle(server_links& links,
                               const sessions::connection_requirements& need);
  /// Opens a connection for an account. @return whether one could be opened.
  bool OpenForAccount(const std::string& server, const std::string& account);
  /// Whether a connection to a server may be opened for an account, if need be
  /// in place of an idle one of another account, which is closed.
  bool HasRoomFor(server_links& links, const std::string& account);
  /// @return the connections to a server that run statements or could, which
  /// excludes those that transactions hold between two statements.
  int WorkingConnections(const server_links& links) const;
  /// Closes the oldest idle connection of another account.
  /// @return whether there was one.
  bool ReplaceIdle(server_links& links, const std::string& account);
  bool MayRun(const std::string& server);
  void GrantPermit(sessions::server_connection& connection);
  /// Reports a statement's start to the group's balancer, if it has one.
  void ReportStart(const std::string& server, const connection_use& started);
  void GrantWaitingPermits();
  void EndStatement(const std::string& server,
                    connection_use& ended,
                    bool sample_latency);
  void OnAcquired(server_link& link,
                  const sessions::connection_requirements& need);
  void OnReleased(server_link& link, bool answered);
  void OpenMissing(const std::map<std::string, int>& missing);
  void OpenToMinimum();
  bool Open(const std::string& server,
            server_links& links,
            const std::string& account);
  /// Updates the counts after an attempt to open a connection has ended.
  void OnOpeningEnded(const server_link& link, server_links& links);
  void ArmWake(core::time_point when);
  void UpdateConnected(const std::string& server);
  void ArmTrim();
  void Trim();
  /// Whether there are more connections than the minimum, so that idle ones may
  /// be closed.
  bool IsExcess(const server_links& links) const;
  core::milliseconds IdleLimit(const server_links& links) const;

  boost::asio::io_context& context_;
  sessions::server_codec& codec_;
  replication::group_state& group_;
  listener& listener_;
  limits limits_;
  std::map<std::string, server_links> servers_;
  admission::group_admission* admission_;
  admission::arrival_queue arrivals_;
  /// `arrivals_` or the queue of `admission_`.
  admission::request_queue& waiting_;
  std::list<permit_request> permit_requests_;
  std::map<const sessions::server_connection*, connection_use> in_use_;
  bool scheduled_ = false;
  boost::asio::steady_timer wake_timer_;
  core::time_point wake_at_;
  boost::asio::steady_timer trim_timer_;
  bool trim_armed_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace plantaintiller::gateway
