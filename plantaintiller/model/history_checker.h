#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/statement.h"
#include "plantaintiller/decisions/injected_defects.h"
#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/model/model_result.h"
#include "plantaintiller/model/promise.h"

namespace plantaintiller::model {

/// A violation of a promise.
struct violation {
  promise broken;
  std::string detail;
  core::time_point at;
};

/// Writes that a read of a session must see.
struct session_view {
  std::uint32_t session = 0;
  /// The session's acknowledged writes to the database.
  const std::vector<request_number>* own_writes = nullptr;
  /// Writes that the session's previous read of the database saw.
  const std::vector<request_number>* last_seen = nullptr;
};

/// Observes a run and records each violation of a promise. It checks answers
/// against the real logs of all servers and does not rely on what the decision
/// classes report about their own state.
class history_checker {
 public:
  /// @param defects tell which statements the fake servers run; must outlive
  /// the checker.
  explicit history_checker(const decisions::injected_defects& defects)
      : defects_(defects) {}

  /// Called when a statement reaches a server.
  /// @param busy whether another statement on its connection is unanswered.
  /// @param transaction transaction that is open on its connection, or 0.
  void OnStatementAtServer(core::backend_server_id server,
                           const decisions::attempt& work,
                           bool busy,
                           request_number transaction,
                           core::time_point now);
  /// Called when a server's log or term has changed.
  void OnLogChanged(core::backend_server_id server,
                    const core::server_state& state,
                    std::vector<request_number> writes,
                    core::time_point now);
  /// Called when an instance answers a request.
  void OnAnswer(const core::statement& work,
                const core::statement_outcome& outcome,
                core::time_point now);
  /// Called when a session receives a refusal and does not retry the request.
  /// Not called for a refusal that arrives after the caller's time-out, since
  /// the retried request may still run.
  void OnRefused(const core::statement& work,
                 const core::statement_outcome& outcome,
                 core::time_point now);
  /// Called when a session receives the answer to a read.
  void OnRead(const session_view& view,
              const core::statement& work,
              const core::statement_outcome& outcome,
              core::time_point now);
  /// Called when a configuration has taken effect at an instance.
  void OnConfiguration(core::instance_id instance,
                       std::uint64_t incarnation,
                       std::uint64_t version,
                       core::time_point now);
  /// Called for each server when an instance has received a configuration.
  /// @param leaving whether the instance's configuration marks the server as
  /// leaving.
  void OnLeaving(core::instance_id instance,
                 core::backend_server_id server,
                 bool leaving,
                 core::time_point now);
  /// Called when an instance sends an attempt to a server.
  void OnWorkSent(core::instance_id instance,
                  const decisions::attempt& work,
                  core::time_point now);
  /// Called when an instance ends a graceful shutdown.
  /// @param unanswered number of requests that it has not answered.
  void OnShutdown(core::instance_id instance,
                  std::size_t unanswered,
                  core::time_point now);
  /// Records a violation of a promise.
  void ReportViolation(promise broken,
                       std::string detail,
                       core::time_point now);

  /// Returns whether the fake servers run statements of this kind in any term,
  /// because of an injected defect.
  bool IgnoresTerm(decisions::attempt_kind kind) const {
    const bool read = kind == decisions::attempt_kind::kRead;
    return defects_.ignore_term || (read && defects_.read_any_term);
  }
  const std::vector<violation>& Violations() const { return violations_; }
  /// Returns the number of writes acknowledged so far.
  std::size_t Acknowledged() const;
  /// Number of reads answered, in total and by replicas.
  std::uint64_t reads = 0;
  std::uint64_t replica_reads = 0;
  /// Number of reads that a replica answered or, given perfect knowledge of all
  /// logs, could have answered.
  std::uint64_t best_possible_replica_reads = 0;
  /// Returns whether some replica of a database has all of the given writes;
  /// may be empty.
  std::function<bool(core::database_id, const std::vector<request_number>&)>
      replica_has_writes;

 private:
  struct database_history {
    std::map<request_number, core::time_point> acknowledged;
    std::set<request_number> not_run;
    // Log of the primary of the highest term.
    core::term_number term = 0;
    std::vector<request_number> writes;
  };

  void CheckStaleness(const std::string& session_name,
                      const std::vector<request_number>& seen,
                      const core::statement& work,
                      core::time_point now);
  void CountBestPossibleReplicaRead(const session_view& view,
                                    const core::statement& work,
                                    const core::statement_outcome& outcome);
  void CheckLog(database_history& database, core::time_point now);

  const decisions::injected_defects& defects_;
  std::map<core::database_id, database_history> databases_;
  std::map<std::pair<core::instance_id, std::uint64_t>, std::uint64_t>
      versions_;
  std::map<std::pair<core::instance_id, core::backend_server_id>,
           core::time_point>
      leaving_;
  std::vector<violation> violations_;
};

}  // namespace plantaintiller::model
