#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "plantaintiller/core/slot_pool.h"
#include "plantaintiller/core/statement.h"
#include "plantaintiller/decisions/backend_pool.h"
#include "plantaintiller/decisions/group_controller.h"
#include "plantaintiller/decisions/injected_defects.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::decisions {

/// Settings of statement_executor.
struct executor_settings {
  /// Maximum number of running and queued statements over all servers.
  std::size_t capacity = 4096;
  /// Maximum number of queued statements of one class at one server.
  std::size_t queue_capacity = 512;
  /// How long a connection is not used after the server refused it because it
  /// had too many connections.
  core::milliseconds connection_pause{250};
  /// Time without a statement after which an open transaction is ended.
  core::milliseconds transaction_idle_timeout{5000};
  /// Percentage of a server's connections that open transactions may hold, so
  /// that connections are always left for single statements.
  int transaction_percent = 50;
  /// Maximum time that a read waits for its replica to catch up.
  core::milliseconds catch_up_timeout{60};
  /// Maximum number of open transactions.
  std::size_t max_transactions = 1024;
};

/// Origin of a statement.
struct work_origin {
  /// Instance that forwarded it; this instance for statements of its own
  /// callers.
  core::instance_id instance;
  std::uint64_t ticket = 0;
};

/// Receives the outcomes of statements. statement_executor calls it once for
/// each submitted statement, possibly before Submit returns.
class executor_listener {
 public:
  virtual ~executor_listener() = default;
  /// Called with the outcome of a statement. @param origin as passed to Submit.
  virtual void OnExecuted(const work_origin& origin,
                          const core::statement_outcome& outcome,
                          core::time_point now) = 0;
};

/// Runs statements on the backend connections that this instance holds.
///
/// An answer is sent once the position at which it was produced is confirmed,
/// covers the session's token and is as fresh as requested. Each statement gets
/// one attempt; the sender decides whether to repeat it.
class statement_executor {
 public:
  /// @param incarnation random number of this process.
  statement_executor(core::instance_id self,
                     std::uint64_t incarnation,
                     const executor_settings& settings,
                     const injected_defects& defects,
                     instance_actions& actions,
                     executor_listener& listener);
  ~statement_executor();

  /// Sets the number of connections held to a server; 0 stops new work there.
  /// Running statements continue. Queued statements are refused as not run when
  /// the number becomes 0.
  void SetConnections(core::backend_server_id server,
                      int connections,
                      core::time_point now);
  /// Sets the time at which a server stops receiving work; time_point::max()
  /// cancels it. The time is set in advance, so that it takes effect even if
  /// this process is paused until after it.
  void SetCloseTime(core::backend_server_id server, core::time_point at);
  /// Number of connections held to a server.
  int Connections(core::backend_server_id server) const;

  /// Accepts a statement for a server. The listener may be called before this
  /// returns.
  /// @param controller of the statement's database; must outlive the executor.
  void Submit(const work_origin& origin,
              const core::statement& work,
              core::slot_number slot,
              group_controller& controller,
              core::time_point now);

  /// Called with the result of an attempt. Results of expired attempts are
  /// ignored.
  void OnAttemptResult(const attempt_result& result, core::time_point now);
  /// Called when a controller has received new reports or a new record.
  void OnControllerChanged(group_controller& controller, core::time_point now);
  /// Ends statements past their deadline and idle transactions. Call every few
  /// milliseconds.
  void OnTick(core::time_point now);

  /// Whether any answer waits for reports from the servers of a database.
  bool HasPendingAnswers(core::database_id database) const;
  /// Highest offset that pending answers of a database must have confirmed.
  std::uint64_t NeededOffset(core::database_id database) const;
  /// Highest offset that pending reads require a server to reach; 0 if there
  /// are no such reads.
  std::uint64_t CatchUpOffset(core::backend_server_id server) const;
  /// Time at or after which probes must have been sent so that their reports
  /// prove the freshness of all pending reads of a database.
  core::time_point NeededFreshness(core::database_id database) const;

  /// Number of unfinished statements and open transactions.
  std::size_t Unfinished() const;

 private:
  enum class work_state : std::uint8_t {
    kQueued,
    kRunning,
    /// Has run; its answer waits for reports that confirm it.
    kAwaitingConfirmation,
    /// A read that runs again once its replica has caught up.
    kCatchingUp,
  };
  struct work_item {
    work_origin origin;
    core::statement work;
    core::slot_number slot = 0;
    work_state state = work_state::kQueued;
    bool holds_connection = false;
    // Offset that the replica must reach by `catch_up_until`.
    std::uint64_t needed_offset = 0;
    core::time_point catch_up_until;
    std::uint32_t connection = 0;
    attempt_kind kind = attempt_kind::kRead;
    core::term_number term = 0;
    attempt_status status = attempt_status::kDone;
    core::server_state observed_state;
    std::shared_ptr<const core::result_body> result;
    core::time_point started_at;
  };
  struct open_transaction {
    core::backend_server_id server;
    core::request_class priority = core::request_class::kFresh;
    std::uint32_t connection = 0;
    core::term_number term = 0;
    core::time_point last_used;
    bool busy = false;
  };

  backend_pool* PoolOf(core::backend_server_id server);
  group_controller* ControllerOf(core::database_id database);
  void SubmitInTransaction(work_item item, core::time_point now);
  bool Admit(backend_pool& pool, const work_item& item, core::time_point now);
  void Dispatch(core::backend_server_id server, core::time_point now);
  bool CheckTarget(const work_item& item,
                   const group_controller& controller,
                   core::time_point now);
  void ReportRefusal(const work_item& item,
                     core::refusal_type type,
                     core::milliseconds retry_after,
                     core::time_point now);
  void Start(std::uint64_t handle,
             work_item& item,
             std::uint32_t connection,
             core::time_point now);
  void ReleaseConnection(work_item& item, bool close, core::time_point now);
  void ReturnToPool(core::backend_server_id server,
                    std::uint32_t connection,
                    core::request_class priority,
                    bool close);
  void Finish(std::uint64_t handle,
              core::statement_outcome outcome,
              core::time_point now);
  bool TryFinish(std::uint64_t handle,
                 work_item& item,
                 group_controller& controller,
                 core::time_point now);
  void FinishConfirmed(std::uint64_t handle,
                       const work_item& item,
                       core::time_point now);
  void ExpireStatement(std::uint64_t handle,
                       work_item& item,
                       core::time_point now);
  void EndIdleTransactions(core::time_point now);
  void OpenTransaction(std::uint64_t handle,
                       work_item& item,
                       core::time_point now);
  void CloseTransaction(std::uint64_t number, bool clean, core::time_point now);
  core::statement_outcome MakeOutcome(const work_item& item) const;
  bool TryFinishRead(std::uint64_t handle,
                     work_item& item,
                     group_controller& controller,
                     core::time_point now);
  bool WaitForCatchUp(std::uint64_t handle,
                      work_item& item,
                      group_controller& controller,
                      std::uint64_t offset,
                      core::time_point now);
  bool RetryAfterCatchUp(std::uint64_t handle,
                         work_item& item,
                         group_controller& controller,
                         core::time_point now);
  bool CoversToken(const work_item& item) const;
  core::refusal_type RefusalForUncoveredToken(const work_item& item,
                                              bool at_primary) const;
  core::effect_state EffectIfLost(attempt_kind kind) const;
  static bool IsWrite(attempt_kind kind);

  core::instance_id self_;
  std::uint64_t incarnation_;
  const executor_settings& settings_;
  const injected_defects& defects_;
  instance_actions& actions_;
  executor_listener& listener_;
  core::slot_pool<work_item> statements_;
  core::slot_pool<open_transaction> transactions_;
  std::map<core::backend_server_id, backend_pool> pools_;
  std::map<core::database_id, group_controller*> controllers_;
  // Handles of answers that wait for reports, by database.
  std::map<core::database_id, std::vector<std::uint64_t>> waiting_;
};

}  // namespace plantaintiller::decisions
