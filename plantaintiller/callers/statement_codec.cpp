#include "plantaintiller/callers/statement_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <utility>

namespace plantaintiller::callers {

namespace {

using boost::json::object;
using boost::json::value;
using core::milliseconds;
using core::refusal_type;
using core::statement_kind;

constexpr milliseconds kDefaultDeadline{5000};
constexpr milliseconds kMaxDeadline{600000};
constexpr milliseconds kMaxStaleness{86400000};
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxParams = 1000;
constexpr int kMillisecondsPerSecond = 1000;

template <class value_type>
using parse_result = boost::leaf::result<value_type>;

boost::leaf::error_id RequestError(refusal_type type,
                                   std::string field,
                                   std::string detail) {
  return boost::leaf::new_error(
      request_error{type, std::move(field), std::move(detail)});
}

boost::leaf::error_id BadRequest(std::string field, std::string detail) {
  return RequestError(refusal_type::kBadRequest, std::move(field),
                      std::move(detail));
}

parse_result<std::string> OptionalString(const object& fields,
                                         const char* name,
                                         std::string default_value) {
  const value* field = fields.if_contains(name);
  if (field == nullptr || field->is_null()) {
    return default_value;
  }
  if (!field->is_string()) {
    return BadRequest(name, "expected text");
  }
  return std::string(field->get_string());
}

parse_result<bool> OptionalBool(const object& fields, const char* name) {
  const value* field = fields.if_contains(name);
  if (field == nullptr || field->is_null()) {
    return false;
  }
  if (!field->is_bool()) {
    return BadRequest(name, "expected true or false");
  }
  return field->get_bool();
}

parse_result<milliseconds> OptionalDuration(const object& fields,
                                            const char* name,
                                            milliseconds default_value,
                                            milliseconds max_value) {
  const value* field = fields.if_contains(name);
  if (field == nullptr || field->is_null()) {
    return default_value;
  }
  const bool valid = field->is_int64() && field->get_int64() >= 0 &&
                     field->get_int64() <= max_value.count();
  if (!valid) {
    return BadRequest(name, "expected whole milliseconds from 0 to " +
                                std::to_string(max_value.count()));
  }
  return milliseconds(field->get_int64());
}

std::string NumberText(const value& number) {
  return boost::json::serialize(number);
}

parse_result<std::vector<std::optional<std::string>>> ParseParams(
    const object& fields) {
  std::vector<std::optional<std::string>> params;
  const value* field = fields.if_contains("params");
  if (field == nullptr || field->is_null()) {
    return params;
  }
  if (!field->is_array() || field->get_array().size() > kMaxParams) {
    return BadRequest("params", "expected a list of at most 1000 values");
  }
  for (const value& each : field->get_array()) {
    if (each.is_null()) {
      params.emplace_back(std::nullopt);
    } else if (each.is_string()) {
      params.emplace_back(std::string(each.get_string()));
    } else if (each.is_bool()) {
      params.emplace_back(each.get_bool() ? "true" : "false");
    } else if (each.is_number()) {
      params.emplace_back(NumberText(each));
    } else {
      return BadRequest("params", "expected text, numbers, booleans or null");
    }
  }
  return params;
}

bool HasNul(const core::statement_body& body) {
  if (body.sql.find('\0') != std::string::npos) {
    return true;
  }
  for (const auto& param : body.params) {
    if (param.has_value() && param->find('\0') != std::string::npos) {
      return true;
    }
  }
  return false;
}

std::uint64_t Fingerprint(const core::statement_body& body) {
  std::string content = body.sql;
  for (const auto& param : body.params) {
    content.push_back('\0');
    content += param.has_value() ? "v" + *param : "n";
  }
  return XXH3_64bits(content.data(), content.size());
}

core::request_key KeyOf(const std::string& request_id) {
  const XXH128_hash_t hash = XXH3_128bits(request_id.data(), request_id.size());
  return {hash.high64, hash.low64};
}

parse_result<core::request_class> ParseClass(const object& fields,
                                             const core::statement& work) {
  const bool stale = work.access == core::access_kind::kRead &&
                     work.max_staleness > milliseconds(0);
  BOOST_LEAF_AUTO(name,
                  OptionalString(fields, "class", stale ? "stale" : "fresh"));
  if (name == "fresh") {
    return core::request_class::kFresh;
  }
  if (name == "stale") {
    return core::request_class::kStale;
  }
  if (name == "background") {
    return core::request_class::kBackground;
  }
  return BadRequest("class", "expected fresh, stale or background");
}

parse_result<core::access_kind> ParseAccess(const object& fields,
                                            statement_kind kind) {
  if (kind != statement_kind::kRun) {
    return core::access_kind::kWrite;
  }
  BOOST_LEAF_AUTO(name, OptionalString(fields, "access", ""));
  if (name == "read") {
    return core::access_kind::kRead;
  }
  if (name == "write") {
    return core::access_kind::kWrite;
  }
  return BadRequest("access", "expected read or write");
}

parse_result<object> ParseObject(const std::string& body) {
  boost::json::error_code error;
  value parsed = boost::json::parse(body, error);
  if (error) {
    return BadRequest("body", "not JSON: " + error.message());
  }
  if (!parsed.is_object()) {
    return BadRequest("body", "expected a JSON object");
  }
  return std::move(parsed.get_object());
}

parse_result<void> CheckFieldNames(const object& fields) {
  constexpr std::array<std::string_view, 11> kFieldNames{
      "database",         "sql",        "params",     "access",
      "session_token",    "request_id", "idempotent", "deadline_ms",
      "max_staleness_ms", "class",      "repeated"};
  for (const auto& field : fields) {
    const bool known =
        std::find(kFieldNames.begin(), kFieldNames.end(),
                  std::string_view(field.key().data(), field.key().size())) !=
        kFieldNames.end();
    if (!known) {
      return BadRequest(std::string(field.key()), "no such field");
    }
  }
  return {};
}

parse_result<core::session_token> ParseToken(const object& fields,
                                             const std::string& deployment) {
  BOOST_LEAF_AUTO(text, OptionalString(fields, "session_token", ""));
  refusal_type type = refusal_type::kTokenDamaged;
  std::optional<core::session_token> token;
  boost::leaf::try_handle_all(
      [&]() -> core::result<void> {
        BOOST_LEAF_ASSIGN(token, core::session_token::Decode(text, deployment));
        return {};
      },
      [&](const core::error& problem) {
        if (problem.type == core::error_type::kForeignToken) {
          type = refusal_type::kTokenForeign;
        }
      },
      [] {});
  if (!token.has_value()) {
    return RequestError(type, "session_token",
                        "expected a token from an earlier answer");
  }
  return std::move(*token);
}

parse_result<void> ParseWork(const object& fields,
                             statement_kind kind,
                             const core::database_settings& database,
                             const std::string& generated_id,
                             core::time_point now,
                             caller_request& request) {
  core::statement& work = request.work;
  const auto body = std::make_shared<core::statement_body>();
  BOOST_LEAF_ASSIGN(body->sql, OptionalString(fields, "sql", ""));
  BOOST_LEAF_ASSIGN(body->params, ParseParams(fields));
  const bool needs_sql =
      kind == statement_kind::kRun || kind == statement_kind::kInTransaction;
  if (needs_sql && body->sql.empty()) {
    return BadRequest("sql", "expected a statement");
  }
  if (HasNul(*body)) {
    return BadRequest("sql", "text may not contain the character 0");
  }
  BOOST_LEAF_ASSIGN(work.access, ParseAccess(fields, kind));
  BOOST_LEAF_ASSIGN(work.idempotent, OptionalBool(fields, "idempotent"));
  BOOST_LEAF_ASSIGN(work.repeated, OptionalBool(fields, "repeated"));
  BOOST_LEAF_ASSIGN(
      work.max_staleness,
      OptionalDuration(fields, "max_staleness_ms",
                       database.default_max_staleness, kMaxStaleness));
  BOOST_LEAF_ASSIGN(work.priority, ParseClass(fields, work));
  BOOST_LEAF_AUTO(deadline, OptionalDuration(fields, "deadline_ms",
                                             kDefaultDeadline, kMaxDeadline));
  work.arrived = now;
  work.deadline = now + deadline;
  BOOST_LEAF_ASSIGN(body->request_id,
                    OptionalString(fields, "request_id", generated_id));
  if (body->request_id.empty() ||
      body->request_id.size() > kMaxRequestIdBytes ||
      body->request_id.find('\0') != std::string::npos) {
    return BadRequest("request_id", "expected 1 to 128 characters");
  }
  work.has_key =
      work.access == core::access_kind::kWrite &&
      (kind == statement_kind::kRun || kind == statement_kind::kCommit);
  work.key = KeyOf(body->request_id);
  work.fingerprint = Fingerprint(*body);
  work.body = body;
  return {};
}

value CellValue(const std::optional<std::string>& cell) {
  return cell.has_value() ? value(*cell) : value(nullptr);
}

object ResultObject(const core::result_body& result) {
  boost::json::array columns;
  for (const std::string& column : result.columns) {
    columns.emplace_back(column);
  }
  boost::json::array rows;
  for (const auto& cells : result.rows) {
    boost::json::array row;
    for (const auto& cell : cells) {
      row.push_back(CellValue(cell));
    }
    rows.push_back(std::move(row));
  }
  return object{{"columns", std::move(columns)},
                {"rows", std::move(rows)},
                {"affected_rows", result.affected_rows}};
}

object ErrorObject(const core::statement_outcome& outcome) {
  object error{{"type", core::RefusalName(outcome.refusal)},
               {"effect", core::EffectName(outcome.effect)}};
  if (outcome.retry_after > milliseconds(0)) {
    error["retry_after_ms"] = outcome.retry_after.count();
  }
  if (outcome.result != nullptr) {
    error["sqlstate"] = outcome.result->sqlstate;
    error["message"] = outcome.result->message;
  }
  return error;
}

}  // namespace

parse_result<caller_request> ParseRequest(
    const std::string& body,
    statement_kind kind,
    const core::configuration& configuration,
    const std::string& generated_id,
    core::time_point now) {
  caller_request request;
  request.deployment = configuration.deployment;
  request.work.kind = kind;
  BOOST_LEAF_AUTO(fields, ParseObject(body));
  BOOST_LEAF_CHECK(CheckFieldNames(fields));
  BOOST_LEAF_AUTO(name, OptionalString(fields, "database", ""));
  const core::database_settings* database = configuration.FindByName(name);
  if (database == nullptr) {
    return RequestError(refusal_type::kUnknownDatabase, "database",
                        "no database of that name");
  }
  request.work.database = database->id;
  BOOST_LEAF_ASSIGN(request.token,
                    ParseToken(fields, configuration.deployment));
  request.work.token = request.token.PositionOf(database->id);
  BOOST_LEAF_CHECK(
      ParseWork(fields, kind, *database, generated_id, now, request));
  return request;
}

std::string TransactionName(core::transaction_id transaction) {
  return std::to_string(transaction.executor.value) + "-" +
         std::to_string(transaction.incarnation) + "-" +
         std::to_string(transaction.number);
}

parse_result<core::transaction_id> ParseTransactionName(
    const std::string& name) {
  core::transaction_id transaction;
  const char* end = name.data() + name.size();
  const char* cursor = name.data();
  // Parses a number and the '-' after it, unless the number is the last one.
  // Returns false if either is missing.
  const auto read = [&cursor, end](auto& number, bool last) {
    const auto parsed = std::from_chars(cursor, end, number);
    const bool ends = parsed.ptr == end;
    const bool is_valid =
        parsed.ec == std::errc() && (last ? ends : !ends && *parsed.ptr == '-');
    cursor = is_valid && !last ? parsed.ptr + 1 : parsed.ptr;
    return is_valid;
  };
  const bool is_complete = read(transaction.executor.value, false) &&
                           read(transaction.incarnation, false) &&
                           read(transaction.number, true);
  if (!is_complete || transaction.number == 0) {
    return RequestError(refusal_type::kTransactionUnknown, "transaction",
                        "no such transaction");
  }
  return transaction;
}

http::response FormatOutcome(const caller_request& request,
                             const core::statement_outcome& outcome) {
  http::response answer;
  object body;
  if (request.work.access == core::access_kind::kWrite &&
      request.work.body != nullptr) {
    body["request_id"] = request.work.body->request_id;
  }
  if (outcome.transaction.number != 0) {
    body["transaction"] = TransactionName(outcome.transaction);
  }
  core::session_token token = request.token;
  if (!outcome.Succeeded()) {
    body["error"] = ErrorObject(outcome);
    answer.status = core::RefusalHttpStatus(outcome.refusal);
    answer.retry_after_seconds = static_cast<int>(
        (outcome.retry_after.count() + kMillisecondsPerSecond - 1) /
        kMillisecondsPerSecond);
  } else {
    const bool provisional =
        request.work.kind == statement_kind::kInTransaction ||
        request.work.kind == statement_kind::kBegin ||
        request.work.kind == statement_kind::kRollback;
    if (!provisional) {
      token.Raise(request.work.database, outcome.position);
    }
    if (outcome.result != nullptr) {
      body["result"] = ResultObject(*outcome.result);
    }
    body["already_done"] = outcome.already_done;
    body["served_by"] = object{{"slot", outcome.server.slot},
                               {"term", outcome.term},
                               {"entry_term", outcome.position.entry_term},
                               {"position", outcome.position.offset}};
  }
  body["session_token"] = token.Encode(request.deployment);
  answer.body = boost::json::serialize(body);
  answer.close = outcome.refusal == refusal_type::kShuttingDown;
  return answer;
}

http::response FormatRequestError(const request_error& error) {
  http::response answer;
  answer.status = core::RefusalHttpStatus(error.type);
  answer.body = boost::json::serialize(
      object{{"error", object{{"type", core::RefusalName(error.type)},
                              {"effect", "not_run"},
                              {"field", error.field},
                              {"message", error.detail}}}});
  return answer;
}

}  // namespace plantaintiller::callers
