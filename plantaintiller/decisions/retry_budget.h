#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::decisions {

/// Limits retries to a fraction of the requests, so that a failed server does
/// not cause a retry storm. A token bucket to which each request adds a
/// fraction of a token.
class retry_budget {
 public:
  /// @param per_request tokens added by each request;
  /// @param burst maximum number of tokens.
  retry_budget(double per_request, double burst)
      : per_request_(per_request), burst_(burst), tokens_(burst) {}

  /// Counts a new request.
  void OnRequest() {
    tokens_ = tokens_ + per_request_ < burst_ ? tokens_ + per_request_ : burst_;
  }

  /// Consumes the token for one retry. @return false if there is none.
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
