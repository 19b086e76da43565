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

/// Limits of an executor.
struct executor_settings {
  /// Most statements in execution or queued, over all servers.
  std::size_t capacity = 4096;
  /// Most queued statements of one class at one server.
  std::size_t queue_capacity = 512;
  /// Pause of a connection that the server refused for too many connections.
  core::milliseconds connection_pause{250};
  /// Open transactions without a statement are ended after this long.
  core::milliseconds transaction_idle_timeout{5000};
  /// Part of a server's connections, in percent, that open transactions may
  /// hold, so that single statements always find one.
  int transaction_percent = 50;
  /// Longest time that a read waits for its replica to catch up.
  core::milliseconds catch_up_timeout{60};
  /// Most open transactions.
  std::size_t max_transactions = 1024;
};

/// Where a statement came from.
struct work_origin {
  /// Instance that forwarded it; this instance's own id for its callers.
  core::instance_id instance;
  std::uint64_t ticket = 0;
};

/// Told when a statement has its outcome.
class executor_listener {
 public:
  virtual ~executor_listener() = default;
  /// @param origin what Submit was given.
  virtual void OnExecuted(const work_origin& origin,
                          const core::statement_outcome& outcome,
                          core::time_point now) = 0;
};

/// Runs statements on the backend connections that this instance holds.
///
/// An answer is released once the position that it was produced at is
/// confirmed, covers the session's token and is as fresh as asked. Each
/// statement gets one attempt; repeating is the sender's decision.
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

  /// Sets the connections held to a server; 0 stops new work there. Work that
  /// has started goes on; what is queued is refused as not run when the limit
  /// becomes 0.
  void SetConnections(core::backend_server_id server,
                      int connections,
                      core::time_point now);
  /// Sets when a server stops getting work, even if this instance should be
  /// paused until after that; time_point::max() takes it back.
  void SetCloseTime(core::backend_server_id server, core::time_point at);
  /// Connections held to a server.
  int Connections(core::backend_server_id server) const;

  /// Takes a statement for a server. The outcome may come before this returns.
  /// @param keeper of the statement's database; it must outlive the executor.
  void Submit(const work_origin& origin,
              const core::statement& work,
              core::slot_number slot,
              group_controller& controller,
              core::time_point now);

  /// Result of an attempt. Results of attempts given up are ignored.
  void OnAttemptResult(const attempt_result& result, core::time_point now);
  /// New reports or a new record have reached a keeper.
  void OnControllerChanged(group_controller& controller, core::time_point now);
  /// Ends what is past its deadline. Call every few milliseconds.
  void OnTick(core::time_point now);

  /// Whether some answer waits for reports of this database.
  bool HasPendingAnswers(core::database_id database) const;
  /// Highest offset that answers of this database wait for.
  std::uint64_t NeededOffset(core::database_id database) const;
  /// Offset that reads of this server wait for it to reach; 0 if none does.
  std::uint64_t CatchUpOffset(core::backend_server_id server) const;
  /// Latest time that some answer needs reports to be sent after.
  core::time_point NeededFreshness(core::database_id database) const;

  /// Statements and transactions not finished.
  std::size_t Unfinished() const;

 private:
  enum class work_state : std::uint8_t {
    kQueued,
    kRunning,
    /// Has run; its answer waits for reports.
    kAwaitingConfirmation,
    /// A read that has to run later, when its replica has caught up.
    kCatchingUp,
  };
  struct work_item {
    work_origin origin;
    core::statement work;
    core::slot_number slot = 0;
    work_state state = work_state::kQueued;
    bool holds_connection = false;
    // Offset that the replica must reach, and until when it may take.
    std::uint64_t needed_offset = 0;
    core::time_point catch_up_until;
    std::uint32_t connection = 0;
    attempt_kind kind = attempt_kind::kRead;
    core::term_number term = 0;
    attempt_status status = attempt_status::kDone;
    core::server_state seen;
    std::shared_ptr<const core::result_body> result;
    core::time_point started;
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
  core::refusal_type UncoveredReason(const work_item& item,
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
