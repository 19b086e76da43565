#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/model/change_recorder.h"
#include "plantaintiller/replication/leader_monitor.h"
#include "plantaintiller/replication/leadership_check.h"
#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::model {

class change_instance;
class change_simulation;

/// Name of the simulated group.
inline constexpr const char* kChangeGroup = "g";

/// A commit that an instance has sent to a server.
struct sent_commit {
  int write = 0;
  std::string leader;
  /// Size of the log up to it.
  std::size_t size = 0;
  core::term_number term = 0;
  core::time_point sent;
  /// Null if nobody passes its answer on.
  change_instance* sender = nullptr;
  core::log_position Position() const { return {term, size}; }
};

/// Simulates an entry instance: the `replication` classes of the product with
/// simulated calls, and a caller that reads at the leader.
class change_instance : public replication::change_host,
                        public replication::leadership_check_host {
 public:
  /// @param life number of the process under this number, from 0.
  change_instance(change_simulation& simulated, int index, int life = 0);

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
  void RequestList() override;
  void OnChangeClaimed(const std::string&) override;
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
  /// Reads the list of servers and passes it to the group state.
  void ReadList();
  /// Called when another instance has announced a change.
  void OnChangeAnnounced();
  /// Called when a server has answered a commit.
  /// @param replica the server that has confirmed it.
  void OnCommitAnswered(const sent_commit& commit, const std::string& replica);
  /// @return whether messages between this instance and a server arrive.
  bool Reaches(const std::string& server) const;

  change_simulation& simulated_world;
  int number;
  int life;
  /// Whether the process has ended.
  bool ended = false;
  replication::group_state group{kChangeGroup};
  replication::change_settings settings;
  replication::leader_monitor_settings monitor_settings;
  replication::leader_monitor monitor{monitor_settings};
  std::unique_ptr<replication::primary_change> change;
  std::unique_ptr<replication::leadership_check> check;
  change_recorder recorder{*this};
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

  /// A commit that is passed on if the leader is confirmed.
  class commit_check : public replication::leadership_check_listener {
   public:
    commit_check(change_instance& owner, sent_commit commit, std::string how)
        : owner_(owner), commit_(std::move(commit)), how_(std::move(how)) {}
    void OnLeadershipChecked(replication::leadership_result result) override;

   private:
    change_instance& owner_;
    sent_commit commit_;
    std::string how_;
  };

  void StartRead(const std::string& leader);
  void AdoptList(const std::vector<replication::server_entry>& listed);
  /// Announces the change to the other instances until it ends.
  void AnnounceRepeatedly();
  void PassOn(const sent_commit& commit, const std::string& how);
  /// Delivers a promotion late, or drops it if its time is over by then.
  void HoldUpPromotion(const std::string& server,
                       std::uint64_t token,
                       core::milliseconds valid_for);

  std::vector<std::shared_ptr<leader_read>> reads_;
  std::vector<std::shared_ptr<commit_check>> commit_checks_;
  std::uint64_t announcement_ = 0;
  bool reading_list_ = false;
  bool list_requested_ = false;
  core::time_point list_read_;
};

}  // namespace plantaintiller::model
