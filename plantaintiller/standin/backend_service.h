#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/standin/backend_node.h"
#include "plantaintiller/standin/backend_session.h"
#include "plantaintiller/standin/log_follower.h"

namespace plantaintiller::standin {

/// Settings of a stand-in backend server.
struct backend_settings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  /// Maximum number of connections for statements.
  std::size_t connections = 16;
  /// Replication delay.
  core::milliseconds lag{0};
};

/// Stand-in for a backend server, for the demo and tests: implements as much of
/// PostgreSQL's protocol as libpq's pipeline mode needs, on an in-memory SQLite
/// database, with a term and a replication log.
///
/// Besides ordinary statements it answers the functions that the platform's
/// database groups are assumed to offer; docs/BACKENDS.md lists them.
class backend_service : private node_listener {
 public:
  backend_service(boost::asio::io_context& context,
                  const backend_settings& settings);
  ~backend_service() override;

  /// Opens the listening socket. @return the port.
  std::uint16_t Listen();

  /// Closes the listening socket, all sessions and the replication connection.
  /// The context must run once more afterwards, so that no session outlives the
  /// service.
  void Stop();

  /// @name For sessions
  /// @{
  backend_node& Node() { return node_; }
  /// Counts a session's connection against the limit on connections for
  /// statements.
  /// @return false if the limit has been reached; the session is not counted.
  bool AcquireConnection(const backend_session* session);
  /// Called by the destructor of a session.
  void OnSessionEnded(const backend_session* session);
  /// Stops replication from a primary.
  void StopFollowing() { follower_.Stop(); }
  /// Sets a fault. Other names are ignored.
  /// @param name `lag_ms` sets the replication delay; `silent` makes the
  /// connections that are open now stop answering.
  /// @param value of `lag_ms`, in milliseconds.
  /// @param requester session that sent the request; `silent` leaves it out.
  void SetFault(const std::string& name,
                std::uint64_t value,
                const backend_session* requester);
  /// @}

 private:
  void Accept();
  void OnNodeChanged() override;
  void OnFollowRequested(core::term_number term,
                         const primary_address& primary) override;

  boost::asio::io_context& context_;
  backend_settings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  backend_node node_;
  log_follower follower_;
  std::set<backend_session*> sessions_;
  std::set<const backend_session*> statement_sessions_;
  bool resume_posted_ = false;
};

}  // namespace plantaintiller::standin
