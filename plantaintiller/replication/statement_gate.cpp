#include "plantaintiller/replication/statement_gate.h"

namespace plantaintiller::replication {

void statement_gate::OnRefused(core::time_point now) {
  if (now < refused_until_) {
    // Sent before the refusal that closed the gate.
    return;
  }
  limit_.OnRefused();
  refused_until_ = now + kPause * (1 << refusals_);
  refusals_ = std::min(refusals_ + 1, kMaxDoublings);
}

}  // namespace plantaintiller::replication
