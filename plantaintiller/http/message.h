#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace plantaintiller::http {

/// A request as handlers see it.
struct request {
  std::string method;
  std::string target;
  std::string body;
  /// Further header fields that a client sends; servers leave it empty.
  std::vector<std::pair<std::string, std::string>> headers = {};
};

/// An answer as handlers give it.
struct response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  /// Seconds for the Retry-After header; left out if 0.
  int retry_after_seconds = 0;
  /// Ends the connection after this answer.
  bool close = false;
};

/// Gives a request its answer. Call exactly once, on the server's thread.
using responder = std::function<void(response)>;

/// Answers requests.
class handler {
 public:
  virtual ~handler() = default;
  /// Called on the server's thread. @param respond may be called later.
  virtual void Handle(const request& http_request, responder respond) = 0;
};

}  // namespace plantaintiller::http
