#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/server_connection.h"

namespace plantaintiller::admission {

/// Who requests a connection; each has at most one request in a queue.
class requester {
 public:
  virtual ~requester() = default;
};
using request_key = requester*;

/// A request that waits for a connection.
struct waiting_request {
  request_key key = nullptr;
  sessions::connection_requirements need;
  /// When it was added to the queue.
  core::time_point since;
  /// Rises with each request that is added to the queue.
  std::uint64_t sequence = 0;
};

/// Requests that wait for a connection to a server of one group, in the order
/// in which they should be served.
class request_queue {
 public:
  virtual ~request_queue() = default;
  /// Adds a request. A request with the same key must not be waiting.
  virtual void Add(request_key key,
                   const sessions::connection_requirements& need,
                   core::time_point now) = 0;
  /// Removes a request that is not needed any more; nothing if it is not there.
  virtual void Remove(request_key key) = 0;
  /// Removes a request that is served now.
  virtual void OnServed(request_key key, core::time_point now) = 0;
  /// @return null if the request does not wait.
  virtual const waiting_request* Find(request_key key) const = 0;
  /// @return the keys of the requests in the order in which free servers should
  /// be offered to them.
  virtual std::vector<request_key> Order(core::time_point now) const = 0;
  /// @return the number of waiting requests.
  virtual std::size_t Size() const = 0;
};

}  // namespace plantaintiller::admission
