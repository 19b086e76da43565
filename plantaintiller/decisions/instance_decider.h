#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/decisions/configuration_holder.h"
#include "plantaintiller/decisions/connection_placement.h"
#include "plantaintiller/decisions/group_controller.h"
#include "plantaintiller/decisions/injected_defects.h"
#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/decisions/instance_decider_settings.h"
#include "plantaintiller/decisions/membership.h"
#include "plantaintiller/decisions/request_router.h"
#include "plantaintiller/decisions/server_prober.h"
#include "plantaintiller/decisions/statement_executor.h"

namespace plantaintiller::decisions {

/// Makes the routing, placement and failover decisions of one entry instance.
///
/// A deterministic state machine: it receives typed events with the current
/// time and requests typed actions through instance_actions. It uses no socket,
/// thread, clock or unseeded random number, so the same events in the same
/// order produce the same actions. Not thread-safe; call it from one thread.
class instance_decider : private executor_listener, private router_host {
 public:
  /// @param actions must outlive this object;
  /// @param seed of all random numbers.
  instance_decider(const instance_decider_settings& settings,
                   instance_actions& actions,
                   std::uint64_t seed);
  ~instance_decider() override;

  /// @name Events from callers
  /// @{
  void OnCallerStatement(std::uint64_t ticket,
                         const core::statement& work,
                         core::time_point now);
  /// @}

  /// @name Events from other instances
  /// @{
  void OnForwardedStatement(core::instance_id from,
                            const forwarded_statement& work,
                            core::time_point now);
  void OnForwardedReply(const forwarded_reply& reply, core::time_point now);
  /// Called when a forwarded statement or its reply was lost.
  void OnForwardLost(std::uint64_t ticket, core::time_point now);
  void OnHeartbeat(const heartbeat& beat, core::time_point now);
  /// @}

  /// @name Events from backend servers
  /// @{
  void OnAttemptResult(const attempt_result& result, core::time_point now);
  /// Called with the answer to a probe. @param probe_id id of the probe.
  void OnProbeAnswer(core::backend_server_id server,
                     std::uint64_t probe_id,
                     const core::server_state& state,
                     core::time_point now);
  /// Called when a probe could not be sent or was not answered.
  /// @param refused whether the server's machine refused the connection.
  void OnProbeFailed(core::backend_server_id server,
                     std::uint64_t probe_id,
                     bool refused,
                     core::time_point now);
  /// Called when a server has carried out a role command, now or earlier.
  void OnRoleCommandDone(core::backend_server_id server);
  /// @}

  /// @name Events from the platform
  /// @{
  void OnGroupRecord(core::database_id database,
                     const std::optional<core::group_record>& record,
                     core::time_point now);
  void OnGroupRecordUnavailable(core::database_id database,
                                core::time_point now);
  void OnCompareAndSet(core::database_id database,
                       compare_and_set_status status,
                       const std::optional<core::group_record>& current,
                       core::time_point now);
  /// Called with a configuration from the platform or a peer; older versions
  /// are ignored.
  void OnConfiguration(
      const std::shared_ptr<const core::configuration>& offered,
      core::time_point now);
  void OnInstanceList(const std::vector<core::instance_entry>& list,
                      core::time_point now);
  /// @}

  /// Starts a graceful shutdown: refuses new requests and finishes the others.
  void Drain(core::time_point now);
  /// Runs the periodic work that is due. Call every few milliseconds.
  void OnTick(core::time_point now);

  /// Whether requests can be served: a configuration is in force.
  bool IsReady() const { return configuration_.Current() != nullptr; }
  bool IsDraining() const { return draining_; }
  /// Whether no request is in flight any more.
  bool IsIdle() const;
  /// Number of requests and open transactions of callers and peers.
  std::size_t Unfinished() const;
  /// Configuration in force. @return null before there is one.
  std::shared_ptr<const core::configuration> Configuration() const {
    return configuration_.Current();
  }
  /// Controller of a database's group record.
  /// @return null if this instance does not watch the database.
  const group_controller* Controller(core::database_id database) const;
  /// Number of connections that this instance may hold to a server.
  int Connections(core::backend_server_id server) const;
  const membership& Members() const { return membership_; }

 private:
  struct watched_database {
    std::unique_ptr<group_controller> controller;
    std::vector<server_prober> probers;
    // Whether this instance holds connections to any server of the database.
    bool holds_connections = false;
  };

  // executor_listener
  void OnExecuted(const work_origin& origin,
                  const core::statement_outcome& outcome,
                  core::time_point now) override;
  // router_host
  const core::database_settings* SettingsOf(
      core::database_id database) const override;
  group_controller* ControllerOf(core::database_id database) override;
  const std::vector<core::instance_id>& HoldersOf(
      core::backend_server_id server) override;
  bool IsReachable(core::instance_id peer) const override;
  bool HasBeenHeard(core::instance_id peer) const override;
  core::zone_id Zone() const override { return settings_.zone; }
  void SubmitLocally(std::uint64_t handle,
                     const core::statement& work,
                     core::slot_number slot,
                     core::time_point now) override;

  void ExpireLeavingGrace(const core::configuration& configuration,
                          core::time_point now);
  void PlaceConnections(core::time_point now);
  void PlaceServer(const core::database_settings& database,
                   core::slot_number slot,
                   core::time_point now);
  void WatchDatabase(const core::database_settings& database);
  int RankAmongWatchers(const core::database_settings& database);
  bool IsWatched(core::database_id database) const;
  void TickControllers(core::time_point now);
  void ProbeServers(watched_database& watched, core::time_point now);
  void OnMembersChanged(core::time_point now);
  bool IsExcludedFromPlacement(const core::backend_server_settings& settings,
                               core::backend_server_id server,
                               core::time_point now);
  void SendHeartbeats(core::time_point now);
  void ReadPlatform(core::time_point now);
  void AskPeersForConfiguration(core::time_point now);
  bool ReadsConfigurationForZone() const;

  const instance_decider_settings settings_;
  instance_actions& actions_;
  std::mt19937_64 random_;
  configuration_holder configuration_;
  membership membership_;
  statement_executor executor_;
  request_router router_;
  std::map<core::database_id, watched_database> watched_;
  std::map<core::backend_server_id, std::vector<core::instance_id>> holders_;
  std::map<core::backend_server_id, core::time_point> leaving_since_;
  std::vector<core::instance_id> reachable_;
  bool draining_ = false;
  core::time_point leave_at_;
  core::time_point next_placement_;
  core::time_point next_heartbeat_;
  core::time_point next_configuration_read_;
  core::time_point next_list_read_;
  core::time_point next_pull_;
};

}  // namespace plantaintiller::decisions
