#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "plantaintiller/core/slot_pool.h"
#include "plantaintiller/core/statement.h"
#include "plantaintiller/decisions/injected_defects.h"
#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/decisions/replica_success.h"
#include "plantaintiller/decisions/retry_budget.h"
#include "plantaintiller/decisions/router_host.h"

namespace plantaintiller::decisions {

/// Settings of request_router.
struct router_settings {
  /// Maximum number of concurrent caller requests.
  std::size_t capacity = 8192;
  /// Maximum number of requests that wait for a retry.
  std::size_t max_pending_retries = 2048;
  /// Bounds of the delay before a retry.
  core::milliseconds min_retry_delay{20};
  core::milliseconds max_retry_delay{200};
  /// Time limit of one attempt of a write, so that the write can be repeated
  /// before the request's deadline.
  core::milliseconds attempt_timeout{2000};
  /// Percentage of the time until the deadline after which a write of unknown
  /// outcome is cancelled by a tombstone instead of repeated.
  int retry_window_percent = 70;
  /// Whether reads may be sent to replicas.
  bool use_replicas = true;
  /// Success rate below which a replica is tried only at `exploration_rate`.
  double min_success_rate = 0.6;
  /// Fraction of reads that may try a replica despite its low success rate.
  double exploration_rate = 0.03;
};

/// Processes each caller's request until its one final answer: chooses the
/// backend server and the instance that holds its connections, retries where
/// this is safe, and resolves writes of unknown outcome.
///
/// A write with a request key may be repeated regardless of earlier attempts:
/// the key is unique in the database, so at most one attempt commits. Close to
/// the deadline, a write of unknown outcome is cancelled instead by a tombstone
/// under its key.
class request_router {
 public:
  request_router(const router_settings& settings,
                 const injected_defects& defects,
                 core::instance_id self,
                 router_host& host,
                 instance_actions& actions,
                 std::uint64_t seed);

  /// Accepts a caller's request. @param ticket identifies it in AnswerCaller.
  void OnRequest(std::uint64_t ticket,
                 const core::statement& work,
                 core::time_point now);
  /// Called with the outcome of an attempt. @param handle of the request;
  /// @param known_term term in the executor's group record, 0 if it has none;
  /// @param known_primary primary in that record.
  void OnOutcome(std::uint64_t handle,
                 const core::statement_outcome& outcome,
                 core::term_number known_term,
                 core::slot_number known_primary,
                 core::time_point now);
  /// Called when a forwarded statement may never be answered.
  void OnForwardLost(std::uint64_t handle, core::time_point now);
  /// Called when a peer is lost, with all statements forwarded to it.
  void OnPeerLost(core::instance_id peer, core::time_point now);
  /// Starts the retries that are due and ends requests past their deadline.
  void OnTick(core::time_point now);

  /// Number of requests that have no answer yet.
  std::size_t Unfinished() const { return requests_.Size(); }

 private:
  enum class phase : std::uint8_t { kRunning, kAwaitingRetry };
  struct request {
    std::uint64_t ticket = 0;
    core::statement work;
    phase state = phase::kAwaitingRetry;
    // Whether the write is being cancelled rather than repeated.
    bool resolving = false;
    bool may_have_run = false;
    bool avoid_replicas = false;
    bool at_replica = false;
    // Replicas that could not answer.
    core::server_set tried_replicas;
    int attempts = 0;
    core::slot_number slot = 0;
    core::instance_id executor;
    core::time_point retry_at;
    core::refusal_type last_refusal = core::refusal_type::kNone;
  };
  struct primary_hint {
    core::term_number term = 0;
    core::slot_number primary = 0;
  };

  void Route(std::uint64_t handle, request& item, core::time_point now);
  void Send(std::uint64_t handle,
            request& item,
            core::slot_number slot,
            core::time_point now);
  std::optional<core::instance_id> ChooseHolder(core::backend_server_id server);
  core::slot_number PrimaryOf(core::database_id database);
  std::optional<core::slot_number> ChooseReplica(const request& item,
                                                 core::time_point now);
  bool IsReplicaEligible(const request& item,
                         core::slot_number slot,
                         core::time_point now);
  void ScheduleRetry(request& item, core::time_point now);
  void Answer(std::uint64_t handle, core::statement_outcome outcome);
  void AnswerRefusal(std::uint64_t handle,
                     core::refusal_type type,
                     core::milliseconds retry_after);
  void OnWriteOutcomeUnknown(std::uint64_t handle,
                             request& item,
                             const core::statement_outcome& outcome,
                             core::time_point now);
  bool ShouldCancelWrite(const request& item, core::time_point now) const;
  void OnRefusal(std::uint64_t handle,
                 request& item,
                 const core::statement_outcome& outcome,
                 core::time_point now);
  /// Whether a refused request that did not run may be retried later.
  bool CanRetryLater(const request& item,
                     core::refusal_type refusal,
                     core::time_point now);
  static bool IsRetryable(core::refusal_type type);
  static bool IsPinned(const core::statement& work);
  static replica_success::read_kind ReadKindOf(const core::statement& work);

  const router_settings& settings_;
  const injected_defects& defects_;
  core::instance_id self_;
  router_host& host_;
  instance_actions& actions_;
  std::mt19937_64 random_;
  core::slot_pool<request> requests_;
  std::size_t pending_retries_ = 0;
  retry_budget budget_{0.2, 200.0};
  replica_success success_;
  std::map<core::database_id, primary_hint> hints_;
};

}  // namespace plantaintiller::decisions
