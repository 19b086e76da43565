#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::gateway {

/// Whether another instance is alive, by its own heartbeats and by the word of
/// others.
///
/// In a large deployment an instance hears heartbeats of few. One that sent
/// several in a row and fell silent counts as gone, unless others have heard
/// from it since; of all others the word of others is taken, as they greet once
/// and then have no reason to send more.
class member_liveness {
 public:
  /// A heartbeat came.
  void OnHeartbeat(core::time_point now);
  /// Somebody heard from it at a given time, or the store names it.
  void OnIndirectHeartbeat(core::time_point heard);
  bool IsLive(core::time_point now) const;
  /// When anybody heard from it last, as far as known.
  core::time_point LastSeen() const;

 private:
  /// Silence, of one that sent heartbeats in a row, after which it counts as
  /// gone: four of them are lost.
  static constexpr core::milliseconds kHeartbeatTimeout{6000};
  /// How long the word of others holds: relays tell some members with each
  /// heartbeat, all of a zone within this time.
  static constexpr core::milliseconds kIndirectHeartbeatTimeout{40000};
  /// A word is newer than a heartbeat if it is by more than a slow hop.
  static constexpr core::milliseconds kNewerMargin{1000};
  /// Heartbeats in a row after which more are expected.
  static constexpr int kRegularHeartbeats = 3;

  core::time_point last_heartbeat_;
  core::time_point last_indirect_heartbeat_;
  int consecutive_heartbeats_ = 0;
};

}  // namespace plantaintiller::gateway
