#include "plantaintiller/model/history_checker.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::model {

namespace {

/// Time after a server is marked as leaving in which it may still get new work.
constexpr core::milliseconds kLeavingServerGracePeriod{3000};

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
  const bool in_transaction =
      work.kind == decisions::attempt_kind::kInTransaction ||
      work.kind == decisions::attempt_kind::kCommit ||
      work.kind == decisions::attempt_kind::kRollback;
  if (transaction != (in_transaction ? body.transaction : 0)) {
    ReportViolation(promise::kNoMixedTransactions,
                    RequestName(body.request) + " ran in transaction " +
                        std::to_string(transaction) + " instead of its own",
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
  const auto duplicate = std::ranges::adjacent_find(sorted);
  if (duplicate != sorted.end()) {
    ReportViolation(promise::kAtMostOnce,
                    RequestName(*duplicate) + " is in the log twice", now);
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
      ReportViolation(
          promise::kNotRunHasNoEffect,
          RequestName(refused) + " was reported as not run but is in the log",
          now);
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
      ReportViolation(promise::kNoMisdirectedAnswer,
                      RequestName(body.request) + " received the answer to " +
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
  const bool not_executed =
      outcome.effect != core::effect_state::kOutcomeUnknown;
  if (!not_executed || work.access != core::access_kind::kWrite) {
    return;
  }
  database_history& database = databases_[work.database];
  const request_number request = BodyOf(work).request;
  if (Contains(database.writes, request)) {
    ReportViolation(
        promise::kNotRunHasNoEffect,
        RequestName(request) + " was reported as not run but is in the log",
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
  const auto was_seen = [&seen](request_number write) {
    return std::ranges::binary_search(seen, write);
  };
  const std::string session_name = "session " + std::to_string(view.session);
  for (const request_number own_write : *view.own_writes) {
    if (!was_seen(own_write)) {
      ReportViolation(
          promise::kReadYourWrites,
          session_name + " does not see its own " + RequestName(own_write),
          now);
    }
  }
  for (const request_number earlier_write : *view.last_seen) {
    if (!was_seen(earlier_write)) {
      ReportViolation(
          promise::kMonotonicReads,
          session_name + " no longer sees " + RequestName(earlier_write), now);
    }
  }
  CheckStaleness(session_name, seen, work, now);
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
  const core::time_point staleness_limit = work.arrived - work.max_staleness;
  for (const auto& [write, at] : databases_[work.database].acknowledged) {
    if (at <= staleness_limit) {
      needed.push_back(write);
    }
  }
  best_possible_replica_reads +=
      replica_has_writes(work.database, needed) ? 1 : 0;
}

void history_checker::CheckStaleness(const std::string& session_name,
                                     const std::vector<request_number>& seen,
                                     const core::statement& work,
                                     core::time_point now) {
  const core::time_point staleness_limit = work.arrived - work.max_staleness;
  for (const auto& [write, at] : databases_[work.database].acknowledged) {
    if (at <= staleness_limit && !std::ranges::binary_search(seen, write)) {
      ReportViolation(promise::kMaxStaleness,
                      session_name + " does not see " + RequestName(write) +
                          ", which is older than the allowed staleness",
                      now);
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
  const bool is_new_work = work.work.transaction.number == 0;
  if (found != leaving_.end() && is_new_work &&
      now - found->second > kLeavingServerGracePeriod) {
    ReportViolation(promise::kNoWorkForLeavingServers,
                    "instance " + std::to_string(instance.value) +
                        " sent new work to a leaving server",
                    now);
  }
}

void history_checker::OnShutdown(core::instance_id instance,
                                 std::size_t unanswered,
                                 core::time_point now) {
  if (unanswered > 0) {
    ReportViolation(promise::kGracefulShutdown,
                    "instance " + std::to_string(instance.value) +
                        " shut down with " + std::to_string(unanswered) +
                        " unanswered requests",
                    now);
  }
}

}  // namespace plantaintiller::model
