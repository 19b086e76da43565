#include "plantaintiller/gateway/member_liveness.h"

#include <algorithm>

namespace plantaintiller::gateway {

void member_liveness::OnHeartbeat(core::time_point now) {
  consecutive_heartbeats_ =
      now - last_heartbeat_ < kHeartbeatTimeout
          ? std::min(consecutive_heartbeats_ + 1, kRegularHeartbeats)
          : 1;
  last_heartbeat_ = now;
}

void member_liveness::OnIndirectHeartbeat(core::time_point seen_at) {
  last_indirect_heartbeat_ = std::max(last_indirect_heartbeat_, seen_at);
}

void member_liveness::OnListed(core::time_point now,
                               core::milliseconds valid_for) {
  listed_at_ = now;
  listed_for_ = valid_for;
  if (first_listed_at_ == core::time_point{}) {
    first_listed_at_ = now;
  }
}

bool member_liveness::IsConfirmed(core::time_point now) const {
  return LastSeen() != core::time_point{} ||
         now - first_listed_at_ < kConfirmationTime;
}

bool member_liveness::IsLive(core::time_point now) const {
  if (now - last_heartbeat_ < kHeartbeatTimeout) {
    return true;
  }
  const bool stopped_sending =
      consecutive_heartbeats_ >= kRegularHeartbeats &&
      last_indirect_heartbeat_ <= last_heartbeat_ + kNewerMargin &&
      listed_at_ <= last_heartbeat_ + kNewerMargin;
  return !stopped_sending && (now - LastSeen() < kIndirectHeartbeatTimeout ||
                              now - listed_at_ < listed_for_);
}

core::time_point member_liveness::LastSeen() const {
  return std::max(last_heartbeat_, last_indirect_heartbeat_);
}

}  // namespace plantaintiller::gateway
