#pragma once

#include <map>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/connection_placement.h"

namespace plantaintiller::decisions {

/// Time limits of membership.
struct membership_settings {
  core::milliseconds heartbeat_interval{250};
  /// Time without a heartbeat after which an instance counts as lost.
  core::milliseconds heartbeat_timeout{1000};
  /// How long a listed instance counts as live before its first heartbeat.
  core::milliseconds list_grace{2000};
};

/// Tracks which instances are live, from heartbeats and the platform's instance
/// list, which may be outdated.
///
/// An instance becomes known through the list or a heartbeat; after its first
/// heartbeat, only heartbeats decide. If they stop, the instance is lost even
/// if it is still listed.
class membership {
 public:
  membership(core::instance_id self,
             core::zone_id zone,
             const membership_settings& settings);

  /// Called with the platform's list, which may be outdated.
  void OnInstanceList(const std::vector<core::instance_entry>& list,
                      core::time_point now);
  /// Called when a peer's heartbeat arrives. Also adds a peer that is not
  /// listed.
  void OnHeartbeat(core::instance_id from,
                   core::zone_id zone,
                   bool leaving,
                   core::time_point now);
  /// Marks this instance as leaving, so that it is no longer a candidate.
  void Leave() { leaving_ = true; }

  /// Re-evaluates liveness. @return true if the live instances have changed.
  bool OnTick(core::time_point now);

  /// Instances that may hold connections; this one is among them unless it is
  /// leaving.
  const std::vector<placement_candidate>& Candidates() const {
    return candidates_;
  }
  /// Peers to send heartbeats to: all that are listed or live.
  std::vector<core::instance_id> Peers() const;
  /// Whether a peer is live, so that statements can be forwarded to it.
  bool IsReachable(core::instance_id peer) const;
  /// Whether a peer has ever been listed or sent a heartbeat.
  bool IsKnown(core::instance_id peer) const { return peers_.contains(peer); }
  /// Whether a peer has ever sent a heartbeat to this instance.
  bool HasBeenHeard(core::instance_id peer) const;

 private:
  struct peer {
    core::zone_id zone;
    bool listed = false;
    bool has_heartbeat = false;
    bool leaving = false;
    bool live = false;
    core::time_point last_heartbeat;
    core::time_point first_listed;
  };

  core::instance_id self_;
  core::zone_id zone_;
  const membership_settings& settings_;
  bool leaving_ = false;
  std::map<core::instance_id, peer> peers_;
  std::vector<placement_candidate> candidates_;
  // Buffer of OnTick, reused to avoid allocations.
  std::vector<placement_candidate> next_candidates_;
};

}  // namespace plantaintiller::decisions
