#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/http/message.h"

namespace plantaintiller::http {

/// How an exchange ended.
enum class exchange_status : std::uint8_t {
  kAnswered,
  /// The request was not sent.
  kNotSent,
  /// The request was sent, completely or in part, but no answer was received.
  kNoAnswer,
};

/// Called when an exchange has ended. @param answer valid only on kAnswered,
/// but for `queued`.
using exchange_callback = std::function<void(exchange_status, response answer)>;

/// HTTP/1.1 client for one server. Uses one connection and runs one exchange at
/// a time; further exchanges are queued. When an exchange fails, the queued
/// ones end with kNotSent.
class client {
 public:
  /// @param timeout limit for connecting, and again for the rest of an
  /// exchange.
  client(boost::asio::io_context& context,
         std::string host,
         std::uint16_t port,
         core::milliseconds timeout);
  ~client();

  /// Queues an exchange. Call on the context's thread.
  /// @param done called on that thread, after Send() has returned.
  void Send(const request& http_request, exchange_callback done);

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::http
