#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "plantaintiller/core/time.h"

namespace plantaintiller::http {

/// A request, as passed to a handler.
struct request {
  std::string method;
  std::string target;
  std::string body;
  /// Additional header fields that a client sends; servers leave it empty.
  std::vector<std::pair<std::string, std::string>> headers = {};
  /// For clients: the request must not reach the server later than this after
  /// the call. It is not written later, and a connection that has not delivered
  /// it by then is reset, which drops what is still on its way.
  std::optional<core::milliseconds> valid_for = {};
};

/// An answer, as returned by a handler.
struct response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  /// Seconds in the Retry-After header; the header is omitted if 0.
  int retry_after_seconds = 0;
  /// Whether to close the connection after this answer.
  bool close = false;
  /// Header fields that a client received; servers leave it empty.
  std::vector<std::pair<std::string, std::string>> headers = {};
  /// Set by clients: time from the call until the request was written, or until
  /// the end of the exchange if it was not.
  core::milliseconds queued{0};

  /// @param name in any case. @return the value of a received header field;
  /// empty if it is missing.
  std::string Header(std::string_view name) const;
};

/// Sends the answer to a request. Call exactly once, on the server's thread.
using responder = std::function<void(response)>;

/// Handles the requests of a server.
class handler {
 public:
  virtual ~handler() = default;
  /// Called on the server's thread for each request.
  /// @param respond sends the answer; may be called after Handle() has
  /// returned.
  virtual void Handle(const request& http_request, responder respond) = 0;
};

}  // namespace plantaintiller::http
