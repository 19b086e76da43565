#include "plantaintiller/replication/statement_limiter.h"

namespace plantaintiller::replication {

void statement_limiter::OnRefused(core::time_point now) {
  if (now < backoff_until_) {
    // The statement was sent before the refusal that began this pause.
    return;
  }
  limit_.OnRefused();
  backoff_until_ = now + kBackoff * (1 << refusals_);
  refusals_ = std::min(refusals_ + 1, kMaxDoublings);
}

}  // namespace plantaintiller::replication
