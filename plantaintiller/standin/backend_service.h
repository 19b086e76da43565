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
  /// Most connections for statements.
  std::size_t connections = 16;
  /// Delay of replication.
  core::milliseconds lag{0};
};

/// Stand-in for a backend server: speaks enough of PostgreSQL's protocol for
/// libpq's pipeline mode, over SQLite in memory, with a term and a log.
///
/// Beside ordinary statements it answers the functions that the platform's
/// database groups are taken to offer; docs/BACKENDS.md lists them.
class backend_service : private node_listener {
 public:
  backend_service(boost::asio::io_context& context,
                  const backend_settings& settings);
  ~backend_service() override;

  /// Opens the listening socket. @return the port.
  std::uint16_t Listen();

  /// Closes everything. The context must run once more afterwards, so that no
  /// session outlives the service.
  void Stop();

  /// @name For sessions
  /// @{
  backend_node& Node() { return node_; }
  /// Counts a connection for statements. @return false if there are too many.
  bool AcquireConnection(const backend_session* session);
  void OnSessionEnded(const backend_session* session);
  void StopFollowing() { follower_.Stop(); }
  /// Turns a fault on or off. @param name `lag_ms` or `silent`.
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
