#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/gateway/heartbeat_codec.h"
#include "plantaintiller/gateway/peer_membership.h"
#include "plantaintiller/gateway/peer_state.h"

namespace plantaintiller::gateway {

/// Why a heartbeat is sent.
enum class heartbeat_kind : std::uint8_t {
  /// At regular intervals.
  kRegular,
  /// Because the sender's state has changed.
  kAnnouncement,
  /// To an instance that knows few others.
  kReply,
};
inline constexpr std::size_t kHeartbeatKinds = 3;

/// Where a change of this instance's state comes from.
enum class change_source : std::uint8_t {
  /// It was found by this instance.
  kOwn,
  /// It was announced by another one; in a large deployment only relays pass it
  /// on.
  kPeer,
};

/// Carries out what `peer_protocol` decides.
class peer_transport {
 public:
  virtual ~peer_transport() = default;
  /// Sends a datagram; it may be lost.
  virtual void SendDatagram(const std::string& host,
                            const std::string& bytes,
                            heartbeat_kind kind) = 0;
  /// Requests the state of another instance; ends with
  /// `peer_protocol::OnPullEnded`.
  virtual void PullFrom(const std::string& host) = 0;
  /// Requests a call of `peer_protocol::OnTimer` in place of the one requested
  /// before.
  virtual void WakeAt(core::time_point when) = 0;
};

/// Decides which heartbeats an instance sends and when it requests the state of
/// others. Does no input or output.
///
/// In a large deployment the messages of an instance are bounded: heartbeats go
/// to relays, announcements wait in proportion to their number of targets, and
/// state is requested from one instance at a time with a minimum interval.
class peer_protocol {
 public:
  /// References must outlive the protocol.
  /// @param seed of random choices.
  peer_protocol(const gateway_settings& settings,
                peer_listener& listener,
                peer_transport& transport,
                std::uint64_t seed);

  /// Sends the first heartbeats to the seeds.
  void Start(core::time_point now);
  /// Adds instances that the store lists.
  void AddListed(
      const std::vector<std::pair<std::string, instance_info>>& instances,
      core::time_point now);
  /// Announces that this instance's state has changed.
  void Announce(change_source source, core::time_point now);
  /// Asks the other instances to close an idle connection to a server.
  void RequestConnection(const std::string& group,
                         const std::string& server,
                         core::time_point now);
  void OnHeartbeat(const heartbeat& message, core::time_point now);
  /// Requests the state of an instance that has a newer one.
  void PullState(const std::string& host, core::time_point now);
  /// Called when a request ended. @param answered whether an answer arrived; it
  /// was passed to the listener before.
  void OnPullEnded(bool answered, core::time_point now);
  void OnTimer(core::time_point now);
  peer_membership& Members() { return members_; }

 private:
  void SendRegular(core::time_point now);
  void SendAnnouncement(core::time_point now);
  void Reply(const heartbeat& message, core::time_point now);
  void SendToSeeds(const std::string& bytes, heartbeat_kind kind);
  std::string Encode(std::vector<reported_member> members,
                     core::time_point now);
  void Send(const std::string& host,
            const std::string& bytes,
            heartbeat_kind kind);
  bool IsBehind(const instance_view& own, const instance_view& other) const;
  void SchedulePull(const std::string& host,
                    core::duration delay,
                    core::time_point now);
  void StartPull(core::time_point now);
  /// Requests the next call of `OnTimer`.
  void Wake();
  core::duration Jitter(core::duration most);

  const gateway_settings& settings_;
  peer_listener& listener_;
  peer_transport& transport_;
  std::mt19937_64 random_;
  std::vector<std::string> seeds_;
  peer_membership members_;

  core::time_point next_heartbeat_;
  /// When the pending announcement is sent; the clock's end if none is.
  core::time_point announce_at_ = core::time_point::max();
  /// When the budget of announcements is full again.
  core::time_point announce_budget_full_at_;
  core::time_point reply_budget_full_at_;
  std::set<std::pair<std::string, std::string>> full_servers_;
  core::time_point last_connection_request_;

  bool pulling_ = false;
  /// When the next state is requested; the clock's end if none is to be.
  core::time_point pull_at_ = core::time_point::max();
  core::time_point last_pull_;
  /// Newest versions that were announced.
  instance_view wanted_;
  /// Whether a request is due without an announcement.
  bool pull_required_ = false;
  /// Hosts that announced a newer state and were not asked since.
  std::vector<std::string> pull_hosts_;
  core::time_point woken_at_ = core::time_point::max();
};

}  // namespace plantaintiller::gateway
