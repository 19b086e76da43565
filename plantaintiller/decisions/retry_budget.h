#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::decisions {

/// Bounds retries to a fraction of the requests, so that a failed server is not
/// met by a storm of them. A token bucket that each request fills a little.
class retry_budget {
 public:
  /// @param per_request retries earned by each request;
  /// @param burst retries that may be saved up.
  retry_budget(double per_request, double burst)
      : per_request_(per_request), burst_(burst), tokens_(burst) {}

  /// Counts a new request.
  void OnRequest() {
    tokens_ = tokens_ + per_request_ < burst_ ? tokens_ + per_request_ : burst_;
  }

  /// Takes one retry. @return false if there is none left.
  bool TryConsume() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  double per_request_;
  double burst_;
  double tokens_;
};

}  // namespace plantaintiller::decisions
