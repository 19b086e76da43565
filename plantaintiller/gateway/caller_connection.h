#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "plantaintiller/gateway/caller_environment.h"

namespace plantaintiller::gateway {

/// One caller's connection. Its first message decides whether its session is
/// served here or forwarded to the home of the database group.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  /// @param environment must outlive the connection.
  static std::shared_ptr<caller_connection> Start(
      boost::asio::io_context& context,
      boost::asio::ip::tcp::socket socket,
      caller_environment& environment);
  virtual ~caller_connection() = default;

  /// Closes the connection as soon as no request and no transaction is open.
  virtual void CloseWhenIdle() = 0;
  /// Ends an open transaction; its next statement is refused.
  virtual void AbandonTransaction(const char* reason) = 0;
};

}  // namespace plantaintiller::gateway
