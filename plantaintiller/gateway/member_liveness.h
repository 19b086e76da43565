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
  /// Called when another instance reports that it heard from the member.
  /// @param seen_at time of that heartbeat.
  void OnIndirectHeartbeat(core::time_point seen_at);
  /// Called when the store lists the member, which may have been lost long ago.
  /// @param valid_for how long it counts as alive without a heartbeat.
  void OnListed(core::time_point now, core::milliseconds valid_for);
  bool IsLive(core::time_point now) const;
  /// Time of the last heartbeat, direct or indirect, that is known; the
  /// beginning of the clock if there was none.
  core::time_point LastSeen() const;
  /// Whether a heartbeat, direct or indirect, has shown that a member that the
  /// store lists is there, or it was listed too recently for that.
  bool IsConfirmed(core::time_point now) const;

 private:
  /// Time after which a member that sent regular heartbeats counts as dead:
  /// four of them are lost.
  static constexpr core::milliseconds kHeartbeatTimeout{6000};
  /// How long an indirect heartbeat is valid. Relays list some members in each
  /// heartbeat, and all members of a zone within this time.
  static constexpr core::milliseconds kIndirectHeartbeatTimeout{40000};
  /// Time in which a relay that the store lists must have sent a heartbeat: two
  /// intervals, and a start that takes a second.
  static constexpr core::milliseconds kConfirmationTime{4000};
  /// Time by which an indirect heartbeat must exceed a direct one to count as
  /// newer: more than a slow network hop.
  static constexpr core::milliseconds kNewerMargin{1000};
  /// Number of consecutive heartbeats after which more are expected.
  static constexpr int kRegularHeartbeats = 3;

  core::time_point last_heartbeat_;
  core::time_point last_indirect_heartbeat_;
  core::time_point first_listed_at_;
  core::time_point listed_at_;
  core::milliseconds listed_for_{0};
  int consecutive_heartbeats_ = 0;
};

}  // namespace plantaintiller::gateway
