#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/forwarding/owner_selection.h"
#include "plantaintiller/gateway/heartbeat_codec.h"
#include "plantaintiller/gateway/member_liveness.h"
#include "plantaintiller/gateway/peer_state.h"
#include "plantaintiller/gateway/relay_selection.h"

namespace plantaintiller::gateway {

/// Settings of `peer_membership`.
struct membership_settings {
  std::string instance;
  instance_info info;
  /// As of `gateway_settings::small_deployment`.
  std::size_t small_deployment = 16;
  /// Number of different seeds, without this instance.
  std::size_t seeds = 0;
};

/// The other instances that an instance knows, and its role among them.
///
/// What is derived from the live instances is computed when they change, and
/// otherwise at most every 200 ms, because each heartbeat and each session
/// needs it.
class peer_membership {
 public:
  /// Members reported in one heartbeat, to fit a datagram.
  static constexpr std::size_t kReportedMembers = 10;

  /// @param seed of the order in which members are reported.
  peer_membership(membership_settings settings, std::uint64_t seed);

  /// Adds an instance that another one reported, or updates it.
  /// @param seen_at when it was last known to be alive.
  /// @return whether it is new or has another address.
  bool OnReported(const std::string& instance,
                  const instance_info& info,
                  core::time_point seen_at,
                  core::time_point now);
  /// Adds the instances that the store lists.
  /// @return hosts of those that are new or have another address.
  std::vector<std::string> OnListed(
      const std::vector<std::pair<std::string, instance_info>>& instances,
      core::time_point now);
  /// Called when a heartbeat has arrived from an instance.
  /// @param member_count instances that the sender considers alive.
  /// @return as of `OnReported`.
  bool OnHeartbeat(const std::string& instance,
                   const instance_info& info,
                   std::size_t member_count,
                   core::time_point now);

  /// Number of live instances, without this one: those known, or those that
  /// other instances count if these are more.
  std::size_t LiveCount(core::time_point now);
  /// Live instances that may be relays, without this one.
  std::vector<relay_candidate> LiveInstances(core::time_point now);
  /// Number of live instances that this one knows.
  std::size_t KnownLive(core::time_point now);
  /// Whether the deployment is large, so that instances are reached by relays.
  bool IsLarge(core::time_point now);
  /// Whether this instance passes on what others announce. True in a small
  /// deployment, where each instance sends to all.
  bool IsRelay(core::time_point now);
  /// Whether this instance reads the store.
  bool IsStoreReader(core::time_point now);
  /// Hosts that this instance's heartbeats go to.
  const std::vector<std::string>& Targets(core::time_point now);
  /// Live instances of this availability zone, including this one; empty in a
  /// small deployment.
  const std::vector<forwarding::owner_candidate>& ZoneMembers(
      core::time_point now);
  /// Members to report in a heartbeat.
  /// @param zone availability zone that the report is about in a large
  /// deployment: its relays and then its other members in turn, so that all are
  /// reported within a known time.
  std::vector<reported_member> MembersToReport(const std::string& zone,
                                               core::time_point now);
  /// Members that sent their first heartbeat to this instance since the last
  /// call, up to `kReportedMembers`.
  std::vector<reported_member> TakeNewMembers(core::time_point now);
  bool HasNewMembers() const { return !new_members_.empty(); }
  /// @return host of any member; empty if all are considered alive.
  std::string ProbedHost(core::time_point now);
  /// Increased when the live instances change.
  std::uint64_t Generation(core::time_point now);

 private:
  struct member {
    instance_info info;
    member_liveness liveness;
  };
  using entry = std::map<std::string, member>::value_type;

  member* Ensure(const std::string& instance,
                 const instance_info& info,
                 bool& is_new);
  void Refresh(core::time_point now);
  void RefreshZones(bool has_owners);
  void RefreshRoles();
  std::vector<relay_candidate> RelayCandidates(core::time_point now) const;
  void Report(const entry& each,
              core::time_point now,
              std::vector<reported_member>& members) const;

  membership_settings settings_;
  std::mt19937_64 random_;
  std::map<std::string, member> members_;
  std::vector<std::string> new_members_;
  core::time_point started_;
  /// Largest count that another instance announced, and when.
  std::size_t announced_count_ = 0;
  core::time_point announced_at_;

  // Derived from the live members.
  bool outdated_ = true;
  core::time_point refreshed_at_;
  std::uint64_t generation_ = 0;
  std::vector<const entry*> live_;
  std::map<std::string, std::vector<const entry*>> live_by_zone_;
  std::map<std::string, std::vector<std::string>> relays_;
  bool is_large_ = false;
  bool is_relay_ = true;
  bool is_store_reader_ = true;
  std::vector<std::string> targets_;
  std::vector<forwarding::owner_candidate> zone_members_;
  /// Next member of each availability zone to be reported.
  std::map<std::string, std::size_t> next_reported_;
};

}  // namespace plantaintiller::gateway
