#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "plantaintiller/model/event_queue.h"
#include "plantaintiller/model/fake_platform.h"
#include "plantaintiller/model/fake_server.h"
#include "plantaintiller/model/history_checker.h"
#include "plantaintiller/model/model_instance.h"
#include "plantaintiller/model/model_session.h"
#include "plantaintiller/model/network.h"
#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::model {

/// Simulates a deployment, its callers and a random schedule of faults in
/// virtual time. The same settings and seed give the same run.
class world {
 public:
  world(const world_settings& settings, std::uint64_t seed);
  ~world();

  /// Runs the whole simulation and checks at the end that all databases serve.
  void Run();

  /// @name For experiments that drive a run step by step
  /// @{
  void StartProcesses();
  /// Starts the sessions, which send no new requests from `end` on.
  void StartSessions(core::time_point end);
  void RunFor(core::duration span);
  event_queue& Queue() { return queue_; }
  network& Network() { return net_; }
  fake_platform& Platform() { return platform_; }
  fake_server& Server(core::backend_server_id id) { return *servers_.at(id); }
  bool HasServer(core::backend_server_id id) const {
    return servers_.contains(id);
  }
  /// Cuts a process off from the platform, all servers and all instances, in
  /// both directions.
  void Isolate(node_id node);
  model_instance& Instance(std::size_t number) { return *instances_[number]; }
  std::size_t InstanceCount() const { return instances_.size(); }
  void KillServer(core::backend_server_id id);
  void RestartServer(core::backend_server_id id);
  /// Kills an instance. @param number index of the instance, from 0.
  void KillInstance(std::size_t number);
  /// Restarts an instance unless it is alive.
  void RestartInstance(std::size_t number);
  /// Sets a function that is called for each decision that an instance logs.
  void SetDecisionObserver(
      std::function<void(core::instance_id,
                         const decisions::decision_log_entry&)> observer) {
    decision_observer_ = std::move(observer);
  }
  /// Sends a request that belongs to no session to an instance.
  void SubmitStatement(std::size_t instance,
                       core::statement work,
                       model_instance::answer_callback done);
  /// Creates a write to a database, with a request number of its own.
  core::statement MakeWrite(core::database_id database,
                            core::milliseconds deadline);
  /// Creates a read that accepts data up to `max_staleness` old.
  core::statement MakeRead(core::database_id database,
                           core::milliseconds max_staleness,
                           core::milliseconds deadline);
  /// @}

  const history_checker& Checker() const { return checker_; }
  const session_counts& Counts() const { return counts_; }
  /// Faults that were injected, in order.
  const std::vector<std::string>& FaultLog() const { return fault_log_; }
  /// Returns a hash of all server logs and of the counts of requests, reads and
  /// platform calls, by which runs are compared.
  std::uint64_t Digest() const;

 private:
  bool ReplicaHasWrites(core::database_id database,
                        const std::vector<request_number>& needed) const;
  core::configuration MakeConfiguration() const;
  void MakeServers();
  void MakeInstances();
  void MakeSessions(std::uint64_t seed);
  void ScheduleFault();
  void InjectFault();
  void InjectInstanceFault();
  void InjectServerFault();
  void InjectNetworkFault();
  void InjectPlatformFault();
  void InjectConfigurationFault();
  void CutZones();
  void CutNodes();
  void ClearAllFaults();
  void CheckAvailability();
  core::backend_server_id RandomServer();
  core::duration RandomDuration(core::milliseconds shortest,
                                core::milliseconds longest);
  void LogFault(std::string text);
  bool DrawWithProbability(double probability);

  world_settings settings_;
  std::mt19937_64 random_;
  event_queue queue_;
  network net_;
  history_checker checker_;
  fake_platform platform_;
  std::map<core::backend_server_id, std::unique_ptr<fake_server>> servers_;
  std::vector<std::unique_ptr<model_instance>> instances_;
  std::vector<std::unique_ptr<model_session>> sessions_;
  session_counts counts_;
  request_number last_request_ = 0;
  core::time_point faults_end_;
  std::vector<std::string> fault_log_;
  std::function<void(core::instance_id, const decisions::decision_log_entry&)>
      decision_observer_;
};

}  // namespace plantaintiller::model
