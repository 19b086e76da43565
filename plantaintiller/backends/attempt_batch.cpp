#include "plantaintiller/backends/attempt_batch.h"

#include <charconv>
#include <string>
#include <utility>

namespace plantaintiller::backends {

namespace {

using core::statement;
using decisions::attempt;
using decisions::attempt_kind;
using decisions::attempt_result;
using decisions::attempt_status;

constexpr const char* kTermCheckSql = "SELECT * FROM plantaintiller_guard($1)";
constexpr const char* kStateSql =
    "SELECT * FROM plantaintiller_state($1, $2, $3)";
constexpr const char* kClaimSql =
    "INSERT INTO plantaintiller_requests(id, fingerprint, state) "
    "VALUES ($1, $2, $3)";
constexpr const char* kKeyLookupSql =
    "SELECT fingerprint, state FROM plantaintiller_requests WHERE id = $1";
constexpr const char* kDoneState = "done";
constexpr const char* kTombstoneState = "tombstone";
constexpr std::string_view kWrongTermSqlState = "PT001";
constexpr std::string_view kUniqueViolation = "23505";

batch_step TermCheckStep(core::term_number term) {
  return {kTermCheckSql, {std::to_string(term)}, false};
}

batch_step ClaimStep(const statement& work, const char* state) {
  return {kClaimSql,
          {work.body->request_id, std::to_string(work.fingerprint),
           std::string(state)},
          false};
}

batch_step StatementStep(const statement& work) {
  return {work.body->sql, work.body->params, false};
}

std::optional<std::uint64_t> ParseNumber(
    const std::optional<std::string>& text) {
  std::uint64_t number = 0;
  if (!text.has_value()) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  return is_number ? std::optional(number) : std::nullopt;
}

std::shared_ptr<const core::result_body> Body(const step_result& from) {
  const auto body = std::make_shared<core::result_body>();
  body->columns = from.columns;
  body->rows = from.rows;
  body->affected_rows = from.affected_rows;
  body->sqlstate = from.sqlstate;
  body->message = from.message;
  return body;
}

bool HasKeyLookup(const attempt& work) {
  const bool claims = work.kind == attempt_kind::kWrite ||
                      work.kind == attempt_kind::kTombstone ||
                      work.kind == attempt_kind::kCommit;
  return claims && work.work.has_key;
}

// Status of an attempt whose request key was claimed before, by the stored row
// of the key.
attempt_status StatusFromLookup(const attempt& work, const step_result& found) {
  if (found.rows.empty() || found.rows[0].size() < 2) {
    return attempt_status::kStatementFailed;
  }
  const std::vector<std::optional<std::string>>& row = found.rows[0];
  if (row[0] != std::to_string(work.work.fingerprint)) {
    return attempt_status::kKeyReused;
  }
  return row[1] == kDoneState ? attempt_status::kAlreadyDone
                              : attempt_status::kTombstoned;
}

// Status by the first `statement_step_count` steps: those of the statement
// itself.
attempt_status StatusOf(const attempt& work,
                        const std::vector<batch_step>& steps,
                        const std::vector<step_result>& results,
                        std::size_t statement_step_count) {
  for (std::size_t n = 0; n < statement_step_count; ++n) {
    const step_result& step = results[n];
    if (step.status != step_status::kFailed) {
      continue;
    }
    if (step.sqlstate == kWrongTermSqlState) {
      return attempt_status::kWrongTerm;
    }
    const bool key_taken =
        steps[n].sql == kClaimSql && step.sqlstate == kUniqueViolation;
    return key_taken ? StatusFromLookup(work, results[statement_step_count])
                     : attempt_status::kStatementFailed;
  }
  return attempt_status::kDone;
}

// Step whose result is reported: the failed step, or the caller's statement.
const step_result* ReportedStep(const std::vector<batch_step>& steps,
                                const std::vector<step_result>& results,
                                const statement& work,
                                std::size_t statement_step_count) {
  const step_result* reported = nullptr;
  for (std::size_t n = 0; n < statement_step_count; ++n) {
    if (results[n].status == step_status::kFailed) {
      return &results[n];
    }
    if (work.body != nullptr && steps[n].sql == work.body->sql) {
      reported = &results[n];
    }
  }
  return reported;
}

}  // namespace

batch_step attempt_batch::StateQuery(core::term_number wait_term,
                                     std::uint64_t wait_offset,
                                     core::milliseconds max_wait) {
  return {kStateSql,
          {std::to_string(wait_term), std::to_string(wait_offset),
           std::to_string(max_wait.count())},
          true};
}

std::vector<batch_step> attempt_batch::Build(const attempt& work) {
  std::vector<batch_step> steps;
  switch (work.kind) {
    case attempt_kind::kRead:
      steps.push_back(TermCheckStep(work.term));
      steps.push_back(StatementStep(work.work));
      break;
    case attempt_kind::kWrite:
      steps.push_back(TermCheckStep(work.term));
      if (work.work.has_key) {
        steps.push_back(ClaimStep(work.work, kDoneState));
      }
      steps.push_back(StatementStep(work.work));
      break;
    case attempt_kind::kTombstone:
      steps.push_back(TermCheckStep(work.term));
      steps.push_back(ClaimStep(work.work, kTombstoneState));
      break;
    case attempt_kind::kBegin:
      steps.push_back({"BEGIN", {}, false});
      steps.push_back(TermCheckStep(work.term));
      break;
    case attempt_kind::kInTransaction:
      steps.push_back(StatementStep(work.work));
      break;
    case attempt_kind::kCommit:
      if (work.work.has_key) {
        steps.push_back(ClaimStep(work.work, kDoneState));
      }
      steps.push_back({"COMMIT", {}, false});
      break;
    case attempt_kind::kRollback:
      steps.push_back({"ROLLBACK", {}, false});
      break;
  }
  steps.back().sync_after = true;
  if (HasKeyLookup(work)) {
    steps.push_back({kKeyLookupSql, {work.work.body->request_id}, false});
  }
  steps.push_back(StateQuery(0, 0, core::milliseconds(0)));
  return steps;
}

attempt_result attempt_batch::Interpret(const attempt& work,
                                        const std::vector<batch_step>& steps,
                                        const batch_result& result) {
  attempt_result outcome;
  outcome.id = work.id;
  outcome.server = work.server;
  switch (result.status) {
    case batch_status::kNotSent:
    case batch_status::kRefused:
      outcome.status = attempt_status::kNotSent;
      return outcome;
    case batch_status::kTooManyConnections:
      outcome.status = attempt_status::kTooManyConnections;
      return outcome;
    case batch_status::kLost:
      outcome.status = attempt_status::kConnectionLost;
      return outcome;
    case batch_status::kAnswered:
      break;
  }
  const std::optional<core::server_state> state =
      ParseState(result.steps.back());
  if (result.steps.size() != steps.size() || !state.has_value()) {
    outcome.status = attempt_status::kConnectionLost;
    return outcome;
  }
  const std::size_t statement_step_count =
      steps.size() - (HasKeyLookup(work) ? 2 : 1);
  outcome.state = *state;
  outcome.status = StatusOf(work, steps, result.steps, statement_step_count);
  const step_result* reported =
      ReportedStep(steps, result.steps, work.work, statement_step_count);
  if (reported != nullptr) {
    outcome.result = Body(*reported);
  }
  return outcome;
}

std::optional<core::server_state> attempt_batch::ParseState(
    const step_result& row) {
  if (row.status != step_status::kDone || row.rows.size() != 1 ||
      row.rows[0].size() != 4) {
    return std::nullopt;
  }
  const std::vector<std::optional<std::string>>& cells = row.rows[0];
  const auto adopted_term = ParseNumber(cells[0]);
  const auto entry_term = ParseNumber(cells[1]);
  const auto offset = ParseNumber(cells[2]);
  if (!adopted_term || !entry_term || !offset) {
    return std::nullopt;
  }
  return core::server_state{
      *adopted_term, {*entry_term, *offset}, cells[3] == "1"};
}

}  // namespace plantaintiller::backends
