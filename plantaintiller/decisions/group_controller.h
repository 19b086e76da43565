#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>

#include "plantaintiller/core/group_record.h"
#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/confirmation_tracker.h"
#include "plantaintiller/decisions/group_controller_settings.h"
#include "plantaintiller/decisions/injected_defects.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::decisions {

/// Maintains one database's group record: detects a failed primary, proposes
/// changes by compare-and-set, and sends role commands so that servers adopt
/// the current term.
///
/// Several instances maintain the same record at the same time. The row's
/// version decides which proposal is applied, and role commands are idempotent,
/// so any instance can complete a change that another one started. See
/// ../docs/DESIGN.md.
class group_controller {
 public:
  /// @param database whose record to maintain;
  /// @param servers number of its backend servers;
  /// @param seed of the jitter and the record's nonces.
  group_controller(core::database_id database,
                   core::slot_number servers,
                   const group_controller_settings& settings,
                   const injected_defects& defects,
                   instance_actions& actions,
                   std::uint64_t seed);

  /// Sets the rank of this instance among those that watch the database, from
  /// 0. A higher rank waits longer before it proposes a change.
  void SetRank(int rank) { rank_ = rank; }
  /// Sets the number of backend servers, which may grow with the configuration.
  void SetServers(core::slot_number servers) { servers_ = servers; }
  /// Sets the servers that are leaving; these are neither promoted nor added.
  void SetLeaving(core::server_set leaving) { leaving_ = leaving; }

  /// Called with the row that was read. @param record nullopt if the row does
  /// not exist.
  void OnRecordRead(const std::optional<core::group_record>& record,
                    core::time_point now);
  /// Called when the platform did not answer a read.
  void OnRecordUnavailable(core::time_point now);
  /// Called with the result of the last CompareAndSetGroupRecord.
  /// @param current row as stored by the platform; set on kApplied and
  /// kConflict.
  void OnCompareAndSet(compare_and_set_status status,
                       const std::optional<core::group_record>& current,
                       core::time_point now);

  /// Called when a server has answered a probe, a role command or an attempt.
  /// @param sent_at when the request was sent, on this instance's clock.
  void OnState(core::slot_number slot,
               const core::server_state& state,
               core::time_point sent_at,
               core::time_point now);
  /// Called when a server's machine refused a connection, which shows that the
  /// server process is not running.
  void OnConnectionRefused(core::slot_number slot, core::time_point now);
  /// Called when another instance reports that a server answered it at
  /// `answered_at`.
  void OnPeerReport(core::slot_number slot, core::time_point answered_at);

  /// Called when a term was seen in a message; reads the record again if that
  /// term is later than the record's.
  void OnTermSeen(core::term_number term);

  /// Sends the proposals and role commands that are due. Call every few
  /// milliseconds.
  void OnTick(core::time_point now);

  const core::group_record& Record() const { return record_; }
  const confirmation_tracker& Tracker() const { return tracker_; }
  core::database_id Database() const { return database_; }
  core::slot_number Servers() const { return servers_; }

  /// Whether a server has answered within the failure timeout.
  bool IsAlive(core::slot_number slot, core::time_point now) const;
  /// When a server last answered this instance.
  core::time_point LastSeen(core::slot_number slot) const;
  /// Whether the current primary has adopted the current term.
  bool IsPrimaryReady() const;
  /// Called when an answer waits until `offset` is confirmed. Members that do
  /// not reach it in time may be removed from the confirming set.
  void OnConfirmationNeeded(std::uint64_t offset, core::time_point now);

 private:
  struct member {
    bool known = false;
    core::server_state state;
    core::time_point first_missed;
    core::time_point last_seen;
    core::time_point last_seen_by_peer;
    // Time since which connections have been refused without an answer in
    // between.
    std::optional<core::time_point> refused_since;
    core::time_point last_role_command;
    // Time since which the member has stayed close behind the primary.
    std::optional<core::time_point> caught_up_since;
    // Time since which the member has delayed the confirmation of an offset.
    std::optional<core::time_point> lagging_since;
    std::uint64_t awaited_offset = 0;
  };

  void Adopt(const core::group_record& record);
  void Propose(core::group_record record,
               decision_kind kind,
               core::slot_number subject,
               core::time_point now);
  void ReadRecord(core::time_point now);
  void ProposeFirstRecord(core::time_point now);
  bool ProposePromotion(core::time_point now);
  bool ProposeShrink(core::time_point now);
  bool ProposeAdmit(core::time_point now);
  bool ProposeGrow(core::time_point now);
  void SendRoleCommands(core::time_point now);
  void UpdateProgress(core::time_point now);
  bool SeenByPeers(core::slot_number slot, core::time_point now) const;
  bool HasFailed(core::slot_number slot, core::time_point now) const;
  core::duration Backoff();

  core::database_id database_;
  core::slot_number servers_;
  const group_controller_settings& settings_;
  const injected_defects& defects_;
  instance_actions& actions_;
  std::mt19937_64 random_;

  int rank_ = 0;
  core::server_set leaving_;
  core::group_record record_;
  confirmation_tracker tracker_;
  std::array<member, core::kMaxSlots> members_{};

  bool started_ = false;
  bool read_needed_ = true;
  bool request_outstanding_ = false;
  int failures_ = 0;
  core::time_point next_request_at_;
  std::uint64_t needed_offset_ = 0;
};

}  // namespace plantaintiller::decisions
