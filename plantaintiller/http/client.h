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
  /// The request cannot have been sent.
  kNotSent,
  /// The request was sent, wholly or partly, and no answer came.
  kNoAnswer,
};

/// Told how an exchange ended. @param answer is set on kAnswered.
using exchange_callback = std::function<void(exchange_status, response answer)>;

/// HTTP/1.1 client of one server over one connection, one exchange at a time;
/// further ones wait in order. When an exchange fails, those that wait behind
/// it end as not sent.
class client {
 public:
  client(boost::asio::io_context& context,
         std::string host,
         std::uint16_t port,
         core::milliseconds timeout);
  ~client();

  /// Starts an exchange. Call on the context's thread. @param done called
  /// later.
  void Send(const request& http_request, exchange_callback done);

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::http
