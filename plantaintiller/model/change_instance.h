#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/leader_monitor.h"
#include "plantaintiller/replication/leadership_check.h"
#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::model {

class change_simulation;

/// Name of the simulated group.
inline constexpr const char* kChangeGroup = "g";

/// Simulates an entry instance: the `replication` classes of the product with
/// simulated calls, and a caller that reads at the leader.
class change_instance : public replication::change_host,
                        public replication::leadership_check_host {
 public:
  change_instance(change_simulation& simulated, int index);

  // replication::change_host
  core::time_point Now() const override;
  core::duration SuspendedTime() const override { return core::duration(0); }
  void ReadClaim(const std::string& group,
                 std::function<void(std::optional<replication::group_claim>,
                                    core::milliseconds)> done) override;
  void WriteClaim(const std::string& group,
                  const replication::group_claim& claim,
                  std::function<void(store::call_status, store::row_version)>
                      done) override;
  void SendCommand(const std::string& group,
                   const std::string& server,
                   replication::server_command command,
                   core::term_number term,
                   std::function<void(std::optional<sessions::server_status>)>
                       done) override;
  void Promote(const std::string& group,
               const std::string& server,
               std::uint64_t token,
               core::milliseconds valid_for,
               std::function<void(store::promotion_status)> done) override;
  void SetTimer(const std::string& group, core::milliseconds pause) override;
  std::uint64_t DrawNonce() override;
  /// The simulated servers never join.
  void RequestList() override {}
  void OnChangeClaimed(const std::string&) override {}
  void OnChangeDone(const std::string&,
                    const std::string&,
                    core::term_number) override {}
  void LogChange(const std::string& group,
                 const char* event,
                 const std::string& detail) override;

  // replication::leadership_check_host
  void QueryStatus(const std::string& group,
                   const std::string& server,
                   std::function<void(std::optional<sessions::server_status>)>
                       done) override;
  void SetCheckTimer(const std::string& group,
                     core::milliseconds pause) override;
  void OnLeaderChanged(const std::string&) override {}

  /// Reads at the presumed leader, and starts a primary change if one is
  /// needed.
  void CheckLeader();
  /// Passes the list of servers to the group state.
  void ReadList();
  /// @return whether messages between this instance and a server arrive.
  bool Reaches(const std::string& server) const;

  change_simulation& simulated_world;
  int number;
  replication::group_state group{kChangeGroup};
  replication::change_settings settings;
  replication::leader_monitor_settings monitor_settings;
  replication::leader_monitor monitor{monitor_settings};
  std::unique_ptr<replication::primary_change> change;
  std::unique_ptr<replication::leadership_check> check;
  bool frozen = false;
  /// Side of a partition, as `change_server::side`.
  int side = 0;
  /// Whether this instance is cut off from the store and the list of servers.
  bool store_unreachable = false;
  std::set<std::string> unreachable_servers;
  std::uint64_t timer = 0;
  std::uint64_t check_timer = 0;
  core::time_point earliest_change;

 private:
  /// A read at the presumed leader, whose answer is used if the leader is
  /// confirmed.
  class leader_read : public replication::leadership_check_listener {
   public:
    leader_read(change_instance& owner, std::string server);
    void OnLeadershipChecked(replication::leadership_result result) override;
    /// Called when the server has run the read.
    void OnRun();

   private:
    void UseAnswer();

    change_instance& owner_;
    std::string server_;
    core::time_point sent_;
    /// Number of commits acknowledged when the read was sent.
    std::size_t acknowledged_ = 0;
    core::log_position position_;
    bool is_complete_ = false;
    bool has_run_ = false;
    bool is_confirmed_ = false;
  };

  void StartRead(const std::string& leader);
  /// Delivers a promotion late, or drops it if its time is over by then.
  void HoldUpPromotion(const std::string& server,
                       std::uint64_t token,
                       core::milliseconds valid_for);

  std::vector<std::shared_ptr<leader_read>> reads_;
};

}  // namespace plantaintiller::model
