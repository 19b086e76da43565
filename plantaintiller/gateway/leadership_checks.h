#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "plantaintiller/gateway/connection_pool.h"
#include "plantaintiller/replication/leadership_check.h"
#include "plantaintiller/sessions/codec.h"

namespace plantaintiller::gateway {

/// Receives the leader changes that a check has found.
class leadership_checks_listener {
 public:
  virtual ~leadership_checks_listener() = default;
  /// Called when a group's leader differs from the one that was presumed.
  virtual void OnLeaderFoundChanged(const std::string& group) = 0;
};

/// Runs the leadership checks of all groups: sends their status queries over
/// the groups' connections and provides their timers.
class leadership_checks {
 public:
  /// All references must outlive the checks.
  leadership_checks(boost::asio::io_context& context,
                    sessions::server_codec& servers,
                    sessions::status_reader& status,
                    leadership_checks_listener& listener);
  ~leadership_checks();

  /// Adds a group. @param pool connections to the group's servers.
  void Add(replication::group_state& group, connection_pool& pool);
  /// Requests a check that a server leads its group; without a result if the
  /// group is unknown.
  /// @param commit as for `replication::leadership_check::Request`.
  void Request(const std::string& group,
               const std::string& server,
               std::optional<replication::acknowledged_commit> commit,
               replication::leadership_check_listener& listener);
  /// Withdraws the requests of a listener.
  void Cancel(const std::string& group,
              replication::leadership_check_listener& listener);
  /// Called when a commit was acknowledged that a replica has confirmed.
  /// @param sent time at which it was sent.
  void OnCommitConfirmed(const std::string& group,
                         const std::string& server,
                         core::time_point sent);
  /// @return the number of queries sent, over all groups.
  std::uint64_t Queries() const;
  void Stop();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
