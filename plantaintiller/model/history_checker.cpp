#include "plantaintiller/model/history_checker.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::model {

namespace {

/// How long a leaving server may still be given work.
constexpr core::milliseconds kLeavingLimit{3000};

bool Contains(const std::vector<request_number>& writes, request_number write) {
  return std::ranges::find(writes, write) != writes.end();
}

std::string RequestName(request_number request) {
  return "request " + std::to_string(request);
}

}  // namespace

void history_checker::ReportViolation(promise broken,
                                      std::string detail,
                                      core::time_point now) {
  violations_.push_back({broken, std::move(detail), now});
}

std::size_t history_checker::Acknowledged() const {
  std::size_t count = 0;
  for (const auto& [id, database] : databases_) {
    count += database.acknowledged.size();
  }
  return count;
}

void history_checker::OnStatementAtServer(core::backend_server_id /*server*/,
                                          const decisions::attempt& work,
                                          bool busy,
                                          request_number transaction,
                                          core::time_point now) {
  const model_body& body = BodyOf(work.work);
  if (busy) {
    ReportViolation(promise::kNoMixedTransactions,
                    RequestName(body.request) +
                        " on a connection with an answer outstanding",
                    now);
  }
  const bool inside = work.kind == decisions::attempt_kind::kInTransaction ||
                      work.kind == decisions::attempt_kind::kCommit ||
                      work.kind == decisions::attempt_kind::kRollback;
  if (transaction != (inside ? body.transaction : 0)) {
    ReportViolation(promise::kNoMixedTransactions,
                    RequestName(body.request) + " in transaction " +
                        std::to_string(transaction) + " of another",
                    now);
  }
}

void history_checker::OnLogChanged(core::backend_server_id server,
                                   const core::server_state& state,
                                   std::vector<request_number> writes,
                                   core::time_point now) {
  database_history& database = databases_[server.database];
  if (!state.is_primary || state.adopted_term < database.term) {
    return;
  }
  database.term = state.adopted_term;
  database.writes = std::move(writes);
  CheckLog(database, now);
}

void history_checker::CheckLog(database_history& database,
                               core::time_point now) {
  std::vector<request_number> sorted = database.writes;
  std::ranges::sort(sorted);
  const auto twice = std::ranges::adjacent_find(sorted);
  if (twice != sorted.end()) {
    ReportViolation(promise::kAtMostOnce,
                    RequestName(*twice) + " is in the log twice", now);
  }
  for (const auto& [write, at] : database.acknowledged) {
    if (!std::ranges::binary_search(sorted, write)) {
      ReportViolation(promise::kNoAcknowledgedWriteLost,
                      RequestName(write) + " is missing in term " +
                          std::to_string(database.term),
                      now);
    }
  }
  for (const request_number refused : database.not_run) {
    if (std::ranges::binary_search(sorted, refused)) {
      ReportViolation(promise::kTrueNotRun,
                      RequestName(refused) + " ran all the same", now);
    }
  }
}

void history_checker::OnAnswer(const core::statement& work,
                               const core::statement_outcome& outcome,
                               core::time_point now) {
  database_history& database = databases_[work.database];
  const model_body& body = BodyOf(work);
  const bool write = work.kind == core::statement_kind::kRun
                         ? work.access == core::access_kind::kWrite
                         : work.kind == core::statement_kind::kCommit;
  if (!outcome.Succeeded()) {
    return;
  }
  if (outcome.result != nullptr) {
    const auto& result = static_cast<const model_result&>(*outcome.result);
    if (result.request != body.request) {
      ReportViolation(promise::kOwnWholeAnswer,
                      RequestName(body.request) + " was given the answer to " +
                          RequestName(result.request),
                      now);
    }
  }
  if (!write) {
    return;
  }
  database.acknowledged.try_emplace(body.request, now);
  if (!Contains(database.writes, body.request)) {
    ReportViolation(promise::kNoSupersededAcknowledgement,
                    RequestName(body.request) + " acknowledged in term " +
                        std::to_string(outcome.term) + " is missing in term " +
                        std::to_string(database.term),
                    now);
  }
}

void history_checker::OnRefused(const core::statement& work,
                                const core::statement_outcome& outcome,
                                core::time_point now) {
  const bool never = outcome.effect != core::effect_state::kOutcomeUnknown;
  if (!never || work.access != core::access_kind::kWrite) {
    return;
  }
  database_history& database = databases_[work.database];
  const request_number request = BodyOf(work).request;
  if (Contains(database.writes, request)) {
    ReportViolation(promise::kTrueNotRun, RequestName(request) + " had run",
                    now);
  }
  database.not_run.insert(request);
}

void history_checker::OnRead(const session_view& view,
                             const core::statement& work,
                             const core::statement_outcome& outcome,
                             core::time_point now) {
  const auto& result = static_cast<const model_result&>(*outcome.result);
  reads += 1;
  replica_reads += outcome.at_primary ? 0 : 1;
  std::vector<request_number> seen = result.seen;
  std::ranges::sort(seen);
  const auto has = [&seen](request_number write) {
    return std::ranges::binary_search(seen, write);
  };
  const std::string who = "session " + std::to_string(view.session);
  for (const request_number own : *view.own_writes) {
    if (!has(own)) {
      ReportViolation(promise::kReadYourWrites,
                      who + " misses " + RequestName(own), now);
    }
  }
  for (const request_number before : *view.last_seen) {
    if (!has(before)) {
      ReportViolation(promise::kMonotonicReads,
                      who + " no longer sees " + RequestName(before), now);
    }
  }
  CheckStaleness(who, seen, work, now);
  CountBestPossibleReplicaRead(view, work, outcome);
}

void history_checker::CountBestPossibleReplicaRead(
    const session_view& view,
    const core::statement& work,
    const core::statement_outcome& outcome) {
  if (!outcome.at_primary) {
    best_possible_replica_reads += 1;
    return;
  }
  if (!replica_has_writes) {
    return;
  }
  std::vector<request_number> needed = *view.own_writes;
  needed.insert(needed.end(), view.last_seen->begin(), view.last_seen->end());
  const core::time_point since = work.arrived - work.max_staleness;
  for (const auto& [write, at] : databases_[work.database].acknowledged) {
    if (at <= since) {
      needed.push_back(write);
    }
  }
  best_possible_replica_reads +=
      replica_has_writes(work.database, needed) ? 1 : 0;
}

void history_checker::CheckStaleness(const std::string& who,
                                     const std::vector<request_number>& seen,
                                     const core::statement& work,
                                     core::time_point now) {
  const core::time_point since = work.arrived - work.max_staleness;
  for (const auto& [write, at] : databases_[work.database].acknowledged) {
    if (at <= since && !std::ranges::binary_search(seen, write)) {
      ReportViolation(
          promise::kStatedAge,
          who + " misses " + RequestName(write) + ", older than allowed", now);
    }
  }
}

void history_checker::OnConfiguration(core::instance_id instance,
                                      std::uint64_t incarnation,
                                      std::uint64_t version,
                                      core::time_point now) {
  std::uint64_t& known = versions_[{instance, incarnation}];
  if (version < known) {
    ReportViolation(promise::kConfigurationOnlyRises,
                    "instance " + std::to_string(instance.value) +
                        " went from version " + std::to_string(known) + " to " +
                        std::to_string(version),
                    now);
  }
  known = version;
}

void history_checker::OnLeaving(core::instance_id instance,
                                core::backend_server_id server,
                                bool leaving,
                                core::time_point now) {
  if (leaving) {
    leaving_.try_emplace({instance, server}, now);
  } else {
    leaving_.erase({instance, server});
  }
}

void history_checker::OnWorkSent(core::instance_id instance,
                                 const decisions::attempt& work,
                                 core::time_point now) {
  const auto found = leaving_.find({instance, work.server});
  const bool opens = work.work.transaction.number == 0;
  if (found != leaving_.end() && opens && now - found->second > kLeavingLimit) {
    ReportViolation(promise::kLeavingServerRests,
                    "instance " + std::to_string(instance.value) +
                        " gave new work to a leaving server",
                    now);
  }
}

void history_checker::OnShutdown(core::instance_id instance,
                                 std::size_t unanswered,
                                 core::time_point now) {
  if (unanswered > 0) {
    ReportViolation(promise::kGracefulShutdown,
                    "instance " + std::to_string(instance.value) +
                        " ended with " + std::to_string(unanswered) +
                        " requests in flight",
                    now);
  }
}

}  // namespace plantaintiller::model
