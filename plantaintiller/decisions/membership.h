#pragma once

#include <map>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/connection_placement.h"

namespace plantaintiller::decisions {

/// Patience of the membership.
struct membership_settings {
  core::milliseconds heartbeat_interval{250};
  /// Silence after which an instance counts as gone.
  core::milliseconds heartbeat_timeout{1000};
  /// How long the platform's list vouches for an instance not heard from yet.
  core::milliseconds list_grace{2000};
};

/// Which instances are live, from heartbeats and the platform's lagging list.
///
/// The list and heartbeats introduce instances; heartbeats decide. An instance
/// that was heard from and fell silent is gone, whatever the list says.
class membership {
 public:
  membership(core::instance_id self,
             core::zone_id zone,
             const membership_settings& settings);

  /// The platform's list, however old it may be.
  void OnInstanceList(const std::vector<core::instance_entry>& list,
                      core::time_point now);
  /// A peer's heartbeat; it also introduces a peer that the list does not have.
  void OnHeartbeat(core::instance_id from,
                   core::zone_id zone,
                   bool leaving,
                   core::time_point now);
  /// This instance is leaving.
  void Leave() { leaving_ = true; }

  /// Re-evaluates liveness. @return true if the live instances have changed.
  bool OnTick(core::time_point now);

  /// Instances that may hold connections; this one is among them unless it is
  /// leaving.
  const std::vector<placement_candidate>& Candidates() const {
    return candidates_;
  }
  /// Peers to send heartbeats to: all that are known and not long gone.
  std::vector<core::instance_id> Peers() const;
  /// Whether a peer can be sent work.
  bool IsReachable(core::instance_id peer) const;
  /// Whether a peer has ever been listed.
  bool IsKnown(core::instance_id peer) const { return peers_.contains(peer); }

 private:
  struct peer {
    core::zone_id zone;
    bool listed = false;
    bool heard = false;
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
  // Kept between ticks for its memory.
  std::vector<placement_candidate> next_candidates_;
};

}  // namespace plantaintiller::decisions
