#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/http/message.h"

namespace plantaintiller::http {

/// Address and limits of a server. The limits prevent one caller from affecting
/// others.
struct server_settings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_connections = 12000;
  /// In bytes.
  std::size_t max_body = 1U << 20U;
  /// In bytes.
  std::size_t max_header = 16U << 10U;
  /// Time limit for reading a request, and for writing an answer.
  core::milliseconds io_timeout{10000};
  /// Time limit between the requests of one connection.
  core::milliseconds idle_timeout{300000};
};

/// HTTP/1.1 server with keep-alive. Pipelined requests are answered in order.
class server {
 public:
  class implementation;

  /// @param request_handler must outlive the server.
  server(boost::asio::io_context& context,
         const server_settings& settings,
         handler& request_handler);
  ~server();

  /// Opens the listening socket. @return the port.
  /// @throws boost::system::system_error if the address cannot be used.
  std::uint16_t Listen();
  /// Accepts no more connections and closes idle ones. Requests in flight are
  /// answered. Call on the server's thread.
  void StopAccepting();
  /// Number of open connections.
  std::size_t Connections() const;

 private:
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::http
