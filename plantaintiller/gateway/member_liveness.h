#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::gateway {

/// Decides whether another instance is alive, from heartbeats received from it
/// and from indirect heartbeats, which other instances report (gossip).
///
/// In a large deployment an instance receives heartbeats from few others. A
/// member that sent several in a row and then stopped counts as dead, unless
/// another instance has heard from it since. For all other members indirect
/// heartbeats are enough, because a member that sent no series of heartbeats
/// announces itself once and then has no reason to send more.
class member_liveness {
 public:
  /// Called when a heartbeat from the member has arrived.
  void OnHeartbeat(core::time_point now);
  /// Called when another instance reports that it heard from the member, or
  /// when the store lists it. @param seen_at time of that heartbeat or read.
  void OnIndirectHeartbeat(core::time_point seen_at);
  bool IsLive(core::time_point now) const;
  /// Time of the last heartbeat, direct or indirect, that is known.
  core::time_point LastSeen() const;

 private:
  /// Time after which a member that sent regular heartbeats counts as dead:
  /// four of them are lost.
  static constexpr core::milliseconds kHeartbeatTimeout{6000};
  /// How long an indirect heartbeat is valid. Relays list some members in each
  /// heartbeat, and all members of a zone within this time.
  static constexpr core::milliseconds kIndirectHeartbeatTimeout{40000};
  /// Time by which an indirect heartbeat must exceed a direct one to count as
  /// newer: more than a slow network hop.
  static constexpr core::milliseconds kNewerMargin{1000};
  /// Number of consecutive heartbeats after which more are expected.
  static constexpr int kRegularHeartbeats = 3;

  core::time_point last_heartbeat_;
  core::time_point last_indirect_heartbeat_;
  int consecutive_heartbeats_ = 0;
};

}  // namespace plantaintiller::gateway
