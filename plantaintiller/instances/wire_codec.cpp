#include "plantaintiller/instances/wire_codec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace plantaintiller::instances {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

capnp::Data::Reader Bytes(const std::string& text) {
  return {reinterpret_cast<const capnp::byte*>(text.data()), text.size()};
}

std::string Text(capnp::Data::Reader bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

void EncodeValue(const std::optional<std::string>& from,
                 wire::Value::Builder to) {
  if (from.has_value()) {
    to.setText(Bytes(*from));
  } else {
    to.setNull();
  }
}

std::optional<std::string> DecodeValue(wire::Value::Reader from) {
  if (from.isText()) {
    return Text(from.getText());
  }
  return std::nullopt;
}

void EncodePosition(const core::log_position& from,
                    wire::Position::Builder to) {
  to.setEntryTerm(from.entry_term);
  to.setOffset(from.offset);
}

core::log_position DecodePosition(wire::Position::Reader from) {
  return {from.getEntryTerm(), from.getOffset()};
}

void EncodeTransaction(const core::transaction_id& from,
                       wire::Transaction::Builder to) {
  to.setExecutor(from.executor.value);
  to.setNumber(from.number);
  to.setIncarnation(from.incarnation);
}

core::transaction_id DecodeTransaction(wire::Transaction::Reader from) {
  return {{from.getExecutor()}, from.getIncarnation(), from.getNumber()};
}

std::uint64_t Microseconds(core::duration span) {
  const auto count = duration_cast<microseconds>(span).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

// Out-of-range numbers from another version fall back to the safest value.
template <class enumeration>
enumeration DecodeEnum(std::uint8_t value,
                       enumeration last,
                       enumeration fallback) {
  return value <= static_cast<std::uint8_t>(last)
             ? static_cast<enumeration>(value)
             : fallback;
}

void EncodeResult(const core::result_body& from, wire::Outcome::Builder to) {
  to.setHasResult(true);
  auto columns = to.initColumns(static_cast<unsigned>(from.columns.size()));
  for (unsigned n = 0; n < columns.size(); ++n) {
    columns.set(n, from.columns[n].c_str());
  }
  auto rows = to.initRows(static_cast<unsigned>(from.rows.size()));
  for (unsigned n = 0; n < rows.size(); ++n) {
    auto cells = rows[n].initCells(static_cast<unsigned>(from.rows[n].size()));
    for (unsigned m = 0; m < cells.size(); ++m) {
      EncodeValue(from.rows[n][m], cells[m]);
    }
  }
  to.setAffectedRows(from.affected_rows);
  to.setSqlstate(from.sqlstate.c_str());
  to.setMessage(from.message.c_str());
}

std::shared_ptr<const core::result_body> DecodeResult(
    wire::Outcome::Reader from) {
  if (!from.getHasResult()) {
    return nullptr;
  }
  const auto to = std::make_shared<core::result_body>();
  for (const auto column : from.getColumns()) {
    to->columns.emplace_back(column.cStr());
  }
  for (const auto row : from.getRows()) {
    auto& cells = to->rows.emplace_back();
    for (const auto cell : row.getCells()) {
      cells.push_back(DecodeValue(cell));
    }
  }
  to->affected_rows = from.getAffectedRows();
  to->sqlstate = from.getSqlstate().cStr();
  to->message = from.getMessage().cStr();
  return to;
}

}  // namespace

void Encode(const decisions::forwarded_statement& from,
            core::time_point now,
            wire::Statement::Builder to) {
  const core::statement& work = from.work;
  to.setKind(static_cast<std::uint8_t>(work.kind));
  to.setDatabase(work.database.value);
  to.setSlot(from.slot);
  to.setIsWrite(work.access == core::access_kind::kWrite);
  to.setPriority(static_cast<std::uint8_t>(work.priority));
  to.setIdempotent(work.idempotent);
  to.setHasKey(work.has_key);
  to.setKeyHigh(work.key.high);
  to.setKeyLow(work.key.low);
  to.setFingerprint(work.fingerprint);
  EncodePosition(work.token, to.initToken());
  to.setMaxStalenessMs(static_cast<std::uint64_t>(work.max_staleness.count()));
  to.setAgeUs(Microseconds(now - work.arrived));
  to.setRemainingUs(Microseconds(work.deadline - now));
  EncodeTransaction(work.transaction, to.initTransaction());
  if (work.body == nullptr) {
    return;
  }
  to.setSql(Bytes(work.body->sql));
  to.setRequestId(work.body->request_id.c_str());
  auto params = to.initParams(static_cast<unsigned>(work.body->params.size()));
  for (unsigned n = 0; n < params.size(); ++n) {
    EncodeValue(work.body->params[n], params[n]);
  }
}

decisions::forwarded_statement Decode(wire::Statement::Reader from,
                                      core::time_point now) {
  decisions::forwarded_statement to;
  to.slot = from.getSlot();
  core::statement& work = to.work;
  work.kind = DecodeEnum(from.getKind(), core::statement_kind::kRollback,
                         core::statement_kind::kRun);
  work.database = {from.getDatabase()};
  work.access =
      from.getIsWrite() ? core::access_kind::kWrite : core::access_kind::kRead;
  work.priority =
      DecodeEnum(from.getPriority(), core::request_class::kBackground,
                 core::request_class::kBackground);
  work.idempotent = from.getIdempotent();
  work.has_key = from.getHasKey();
  work.key = {from.getKeyHigh(), from.getKeyLow()};
  work.fingerprint = from.getFingerprint();
  work.token = DecodePosition(from.getToken());
  work.max_staleness = core::milliseconds(from.getMaxStalenessMs());
  work.arrived = now - microseconds(from.getAgeUs());
  work.deadline = now + microseconds(from.getRemainingUs());
  work.transaction = DecodeTransaction(from.getTransaction());
  const auto body = std::make_shared<core::statement_body>();
  body->sql = Text(from.getSql());
  body->request_id = from.getRequestId().cStr();
  for (const auto param : from.getParams()) {
    body->params.push_back(DecodeValue(param));
  }
  work.body = body;
  return to;
}

void Encode(const decisions::forwarded_reply& from, wire::Outcome::Builder to) {
  const core::statement_outcome& outcome = from.outcome;
  to.setRefusal(static_cast<std::uint8_t>(outcome.refusal));
  to.setEffect(static_cast<std::uint8_t>(outcome.effect));
  to.setRetryAfterMs(static_cast<std::uint32_t>(outcome.retry_after.count()));
  to.setDatabase(outcome.server.database.value);
  to.setSlot(outcome.server.slot);
  to.setTerm(outcome.term);
  to.setAtPrimary(outcome.at_primary);
  EncodePosition(outcome.position, to.initPosition());
  to.setAlreadyDone(outcome.already_done);
  EncodeTransaction(outcome.transaction, to.initTransaction());
  to.setKnownTerm(from.known_term);
  to.setKnownPrimary(from.known_primary);
  if (outcome.result != nullptr) {
    EncodeResult(*outcome.result, to);
  }
}

decisions::forwarded_reply Decode(wire::Outcome::Reader from) {
  decisions::forwarded_reply to;
  core::statement_outcome& outcome = to.outcome;
  outcome.refusal =
      DecodeEnum(from.getRefusal(), core::refusal_type::kInternalQueueFull,
                 core::refusal_type::kConnectionLost);
  outcome.effect = DecodeEnum(from.getEffect(), core::effect_state::kRolledBack,
                              core::effect_state::kOutcomeUnknown);
  outcome.retry_after = core::milliseconds(from.getRetryAfterMs());
  outcome.server = {{from.getDatabase()}, from.getSlot()};
  outcome.term = from.getTerm();
  outcome.at_primary = from.getAtPrimary();
  outcome.position = DecodePosition(from.getPosition());
  outcome.already_done = from.getAlreadyDone();
  outcome.transaction = DecodeTransaction(from.getTransaction());
  outcome.result = DecodeResult(from);
  to.known_term = from.getKnownTerm();
  to.known_primary = from.getKnownPrimary();
  return to;
}

void Encode(const decisions::heartbeat& from, wire::Heartbeat::Builder to) {
  to.setFrom(from.from.value);
  to.setZone(from.zone.value);
  to.setHost(from.host.c_str());
  to.setPort(from.port);
  to.setLeaving(from.leaving);
  to.setConfigurationVersion(from.configuration_version);
  auto reports = to.initReports(static_cast<unsigned>(from.reports.size()));
  for (unsigned n = 0; n < reports.size(); ++n) {
    const decisions::server_report& report = from.reports[n];
    reports[n].setDatabase(report.server.database.value);
    reports[n].setSlot(report.server.slot);
    reports[n].setHeardAgoMs(
        static_cast<std::uint32_t>(report.since_last_answer.count()));
  }
}

decisions::heartbeat Decode(wire::Heartbeat::Reader from) {
  decisions::heartbeat to;
  to.from = {from.getFrom()};
  to.zone = {from.getZone()};
  to.host = from.getHost().cStr();
  to.port = from.getPort();
  to.leaving = from.getLeaving();
  to.configuration_version = from.getConfigurationVersion();
  for (const auto report : from.getReports()) {
    to.reports.push_back({{{report.getDatabase()}, report.getSlot()},
                          core::milliseconds(report.getHeardAgoMs())});
  }
  return to;
}

}  // namespace plantaintiller::instances
