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

/// Limits of the router.
struct router_settings {
  /// Most callers' requests at a time.
  std::size_t capacity = 8192;
  /// Most requests that wait for a retry at a time.
  std::size_t max_pending_retries = 2048;
  /// Shortest and longest delay before a retry.
  core::milliseconds min_retry_delay{20};
  core::milliseconds max_retry_delay{200};
  /// Longest time for one attempt of a write, so that it can be repeated before
  /// the request's deadline.
  core::milliseconds attempt_timeout{2000};
  /// Part of the deadline, in percent, after which a write of unknown outcome
  /// is no longer repeated but cancelled by a tombstone.
  int retry_window_percent = 70;
  /// Whether replicas answer reads at all.
  bool use_replicas = true;
  /// Chance below which a replica is not tried, but for a few explorations.
  double min_success_rate = 0.6;
  /// Share of reads that try a replica of low chance all the same.
  double exploration_rate = 0.03;
};

/// Carries each caller's request to one final answer: chooses the backend
/// server and the instance that holds its connections, repeats what may be
/// repeated, and finds out what became of a write whose answer was lost.
///
/// A write with a key may be repeated whatever became of earlier attempts: the
/// key is unique in the database, so that at most one of them commits. Towards
/// the end of its time a write of unknown outcome is cancelled instead, by a
/// tombstone under its key.
class request_router {
 public:
  request_router(const router_settings& settings,
                 const injected_defects& defects,
                 core::instance_id self,
                 router_host& host,
                 instance_actions& actions,
                 std::uint64_t seed);

  /// Takes a caller's request. @param ticket names it in AnswerCaller.
  void OnRequest(std::uint64_t ticket,
                 const core::statement& work,
                 core::time_point now);
  /// Outcome of an attempt. @param handle as given with the attempt.
  /// @param known_term term and primary that the executor knows; 0 for none.
  void OnOutcome(std::uint64_t handle,
                 const core::statement_outcome& outcome,
                 core::term_number known_term,
                 core::slot_number known_primary,
                 core::time_point now);
  /// A forwarded statement may never be answered.
  void OnForwardLost(std::uint64_t handle, core::time_point now);
  /// A peer is gone, and all that was forwarded to it.
  void OnPeerLost(core::instance_id peer, core::time_point now);
  /// Starts retries and ends what is past its deadline.
  void OnTick(core::time_point now);

  /// Requests without an answer yet.
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
  /// Whether a refused request, of which nothing ran, waits for another try.
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
