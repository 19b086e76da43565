#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "plantaintiller/gateway/caller_environment.h"

namespace plantaintiller::gateway {

/// A connection from a caller. The first message names the database; the
/// session is then served by this instance or forwarded to the session owner of
/// the database's group.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  /// Starts to read from an accepted socket.
  /// @param environment must outlive the connection.
  static std::shared_ptr<caller_connection> Start(
      boost::asio::io_context& context,
      boost::asio::ip::tcp::socket socket,
      caller_environment& environment);
  virtual ~caller_connection() = default;

  /// Closes the connection as soon as no request and no transaction is open.
  virtual void CloseWhenIdle() = 0;
  /// As `hosted_session::RefuseFurtherWork`, wherever the session is served.
  virtual void RefuseFurtherWork(const char* reason) = 0;
};

}  // namespace plantaintiller::gateway
