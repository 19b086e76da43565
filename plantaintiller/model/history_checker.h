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

/// A promise that was broken.
struct violation {
  promise broken;
  std::string detail;
  core::time_point at;
};

/// What a session knows when it reads.
struct session_view {
  std::uint32_t session = 0;
  /// Own writes that were acknowledged to it, in this database.
  const std::vector<request_number>* own_writes = nullptr;
  /// Writes that its last read of this database saw.
  const std::vector<request_number>* last_seen = nullptr;
};

/// Watches a run and notes each promise that is broken. It sees everything, and
/// relies on nothing that the decisions say of themselves.
class history_checker {
 public:
  explicit history_checker(const decisions::injected_defects& defects)
      : defects_(defects) {}

  /// A statement reached a server. @param busy whether its connection had
  /// another unanswered; @param transaction open on its connection, or 0.
  void OnStatementAtServer(core::backend_server_id server,
                           const decisions::attempt& work,
                           bool busy,
                           request_number transaction,
                           core::time_point now);
  /// A server's log or term has changed.
  void OnLogChanged(core::backend_server_id server,
                    const core::server_state& state,
                    std::vector<request_number> writes,
                    core::time_point now);
  /// An instance gave a request its answer.
  void OnAnswer(const core::statement& work,
                const core::statement_outcome& outcome,
                core::time_point now);
  /// A session received a refusal, and will not repeat the request. A refusal
  /// that the caller gave up waiting for says nothing about its repetition.
  void OnRefused(const core::statement& work,
                 const core::statement_outcome& outcome,
                 core::time_point now);
  /// A session received the answer to a read.
  void OnRead(const session_view& view,
              const core::statement& work,
              const core::statement_outcome& outcome,
              core::time_point now);
  /// A configuration came into force at an instance.
  void OnConfiguration(core::instance_id instance,
                       std::uint64_t incarnation,
                       std::uint64_t version,
                       core::time_point now);
  /// A server is marked as leaving in the configuration of an instance.
  void OnLeaving(core::instance_id instance,
                 core::backend_server_id server,
                 bool leaving,
                 core::time_point now);
  /// An instance sends new work to a server.
  void OnWorkSent(core::instance_id instance,
                  const decisions::attempt& work,
                  core::time_point now);
  /// An instance ended a graceful shutdown.
  void OnShutdown(core::instance_id instance,
                  std::size_t unanswered,
                  core::time_point now);
  void ReportViolation(promise broken,
                       std::string detail,
                       core::time_point now);

  /// Whether the fake servers should run statements of any term.
  bool IgnoresTerm(decisions::attempt_kind kind) const {
    const bool read = kind == decisions::attempt_kind::kRead;
    return defects_.ignore_term || (read && defects_.read_any_term);
  }
  const std::vector<violation>& Violations() const { return violations_; }
  /// Writes acknowledged so far.
  std::size_t Acknowledged() const;
  /// Reads answered, in all and by replicas.
  std::uint64_t reads = 0;
  std::uint64_t replica_reads = 0;
  /// Reads that some replica could have answered, given perfect knowledge.
  std::uint64_t best_possible_replica_reads = 0;
  /// Asked whether some replica of a database holds all of the given writes.
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

  void CheckStaleness(const std::string& who,
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
