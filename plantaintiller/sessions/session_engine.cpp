#include "plantaintiller/sessions/session_engine.h"

#include <algorithm>
#include <utility>

#include "plantaintiller/accounts/key_digest.h"
#include "plantaintiller/admission/group_admission.h"
#include "plantaintiller/sessions/prepared_name.h"

namespace plantaintiller::sessions {

session_engine::session_engine(session_host& host,
                               const session_settings& settings)
    : host_(host), settings_(settings) {}

session_engine::~session_engine() {
  OnCallerDisconnected();
}

void session_engine::OnMessage(const caller_message& message) {
  using kind = caller_message::message_kind;
  std::string out;
  switch (message.kind) {
    case kind::kStart:
      OnStart(message);
      return;
    case kind::kStatement:
      if (started_) {
        OnStatement(message.request);
        return;
      }
      break;
    case kind::kTerminate:
      host_.Close();
      return;
    case kind::kTooLarge:
      host_.Callers().AppendFailure(out, failure_code::kTooLarge,
                                    "message over 1 MiB");
      host_.Reply(out);
      host_.Close();
      return;
    case kind::kMalformed:
      break;
  }
  host_.Callers().AppendFailure(out, failure_code::kMalformed,
                                "message not understood");
  host_.Reply(out);
  host_.Close();
}

void session_engine::OnStart(const caller_message& message) {
  if (started_) {
    ReplyFailure(failure_code::kMalformed, "the session has started");
    return;
  }
  std::string out;
  database_ = message.database;
  access_.Start(message.key.empty() ? message.identity
                                    : accounts::caller_identity{
                                          "", accounts::DigestOf(message.key)});
  if (host_.Routes().Find(database_) == nullptr) {
    host_.Callers().AppendFailure(out, failure_code::kUnknownDatabase,
                                  database_);
    host_.Reply(out);
    host_.Close();
    return;
  }
  if (!HasAccess()) {
    host_.OnAccessRefused(access_.Identity(),
                          access_.Check(host_.Routes(), database_), database_);
    host_.Callers().AppendFailure(out, failure_code::kNotAuthorized,
                                  kNoAccessText);
    host_.Reply(out);
    host_.Close();
    return;
  }
  started_ = true;
  host_.Callers().AppendReady(out, session_state::kIdle, std::nullopt);
  host_.Reply(out);
}

bool session_engine::HasAccess() {
  return access_.Check(host_.Routes(), database_) == accounts::access::kAllowed;
}

void session_engine::RefuseAccess() {
  host_.OnAccessRefused(access_.Identity(),
                        access_.Check(host_.Routes(), database_), database_);
  ReleaseConnection(release_kind::kRollBack);
  transaction_ = transaction::kNone;
  FinishFailure(failure_code::kNotAuthorized, std::string(kNoAccessText),
                session_state::kIdle);
  host_.Close();
}

bool session_engine::AdmitOperation() {
  accounts::operation_limiter* limiter = host_.OperationLimiter();
  if (limiter == nullptr || access_.Account().empty()) {
    return true;
  }
  const std::optional<core::duration> retry_after =
      limiter->Admit(access_.Account(), host_.Now());
  if (!retry_after.has_value()) {
    return true;
  }
  ReleaseConnection(release_kind::kRollBack);
  if (HasTransaction()) {
    // No statement of it was run, so that the caller may repeat all of it.
    transaction_ = IsCommit() ? transaction::kNone : transaction::kFailed;
  }
  // Rounded up, so that a caller does not come back too early.
  const core::milliseconds pause =
      std::chrono::ceil<core::milliseconds>(*retry_after);
  FinishFailure(failure_code::kBusy,
                "rate_limit retry-after-ms=" + std::to_string(pause.count()),
                State());
  return false;
}

void session_engine::OnStatement(const statement& request) {
  current_ = request;
  arrived_ = host_.Now();
  host_.ClearTimer();
  if (!HasAccess()) {
    RefuseAccess();
    return;
  }
  if (transaction_ == transaction::kFailed &&
      request.kind != statement_kind::kRollback &&
      request.kind != statement_kind::kCommit) {
    ReplyFailure(failure_code::kMalformed, "the transaction failed");
    return;
  }
  switch (request.kind) {
    case statement_kind::kBegin:
    case statement_kind::kBeginReadOnly:
      OnBegin(request);
      return;
    case statement_kind::kRollback:
      OnRollback();
      return;
    case statement_kind::kSet:
    case statement_kind::kPrepare:
    case statement_kind::kDeallocate:
      OnLocalStatement(request);
      return;
    case statement_kind::kUnknown:
      ReplyFailure(failure_code::kMalformed, "statement not understood");
      return;
    case statement_kind::kRead:
    case statement_kind::kWrite:
    case statement_kind::kExecute:
    case statement_kind::kCommit:
      OnForwardedStatement(request);
      return;
  }
}

void session_engine::OnLocalStatement(const statement& request) {
  switch (request.kind) {
    case statement_kind::kSet:
      values_[request.name] = request.rest;
      break;
    case statement_kind::kPrepare:
      prepared_[request.name] = {request.writes, request.rest,
                                 PreparedName(request.writes, request.rest)};
      break;
    default:
      if (prepared_.erase(request.name) == 0) {
        ReplyFailure(failure_code::kNoStatement, request.name);
        return;
      }
      break;
  }
  ReplyLocal();
}

void session_engine::OnBegin(const statement& request) {
  if (HasTransaction()) {
    ReplyFailure(failure_code::kMalformed, "a transaction is open");
    return;
  }
  if (!ResolveRoute()) {
    ReplyFailure(failure_code::kUnknownDatabase, database_);
    return;
  }
  if (refusal_reason_ != nullptr) {
    // The time to return depends on the deadline.
    deadline_ = arrived_ + route_->statement_timeout;
    RefuseUnsent();
    return;
  }
  transaction_ = transaction::kDeferred;
  transaction_read_only_ = request.kind == statement_kind::kBeginReadOnly;
  transaction_wrote_ = false;
  transaction_answered_ = false;
  ReplyLocal();
}

void session_engine::OnRollback() {
  if (!HasTransaction()) {
    ReplyFailure(failure_code::kMalformed, "no transaction is open");
    return;
  }
  ReleaseConnection(release_kind::kRollBack);
  transaction_ = transaction::kNone;
  ReplyLocal();
}

void session_engine::OnForwardedStatement(const statement& request) {
  current_writes_ = request.kind == statement_kind::kWrite;
  if (request.kind == statement_kind::kExecute) {
    const auto found = prepared_.find(request.name);
    if (found == prepared_.end()) {
      ReplyFailure(failure_code::kNoStatement, request.name);
      return;
    }
    current_writes_ = found->second.writes;
  }
  if (IsCommit() && transaction_ == transaction::kNone) {
    ReplyFailure(failure_code::kMalformed, "no transaction is open");
    return;
  }
  if (IsCommit() && transaction_ == transaction::kFailed) {
    transaction_ = transaction::kNone;
    ReplyFailure(failure_code::kAborted, "the transaction failed");
    return;
  }
  if (transaction_ == transaction::kLost) {
    FailTransaction(last_reason_);
    return;
  }
  if (!HasTransaction() && !ResolveRoute()) {
    ReplyFailure(failure_code::kUnknownDatabase, database_);
    return;
  }
  deadline_ = arrived_ + route_->statement_timeout;
  excluded_.clear();
  attempts_ = 0;
  last_reason_ = "no_server";
  if (transaction_ == transaction::kOpen) {
    SendWithPermit();
    return;
  }
  attempt_sent_ = false;
  BeginOperation();
  if (refusal_reason_ != nullptr) {
    RefuseUnsent();
    return;
  }
  if (AdmitOperation()) {
    StartAttempt();
  }
}

bool session_engine::ResolveRoute() {
  const core::route_table& table = host_.Routes();
  const core::route* found = table.Find(database_);
  if (found == nullptr) {
    route_.reset();
    return false;
  }
  if (!route_.has_value() || route_version_ != table.version) {
    route_ = *found;
    route_version_ = table.version;
  }
  return true;
}

bool session_engine::NeedsLeader() const {
  if (route_->kind == core::consistency::kPrimary) {
    return true;
  }
  if (HasTransaction() ? !transaction_read_only_ : current_writes_) {
    return true;
  }
  return !PositionForRead().has_value();
}

std::optional<core::log_position> session_engine::PositionForRead() const {
  if (route_->kind == core::consistency::kPrimary) {
    return std::nullopt;
  }
  replication::group_state* group = host_.Group(route_->group);
  if (group == nullptr) {
    return std::nullopt;
  }
  std::optional<core::log_position> position =
      group->Proofs().MinPositionSince(host_.Now() - route_->max_staleness);
  if (position.has_value() &&
      route_->kind == core::consistency::kReadYourWrites) {
    position = std::max(*position, last_commit_);
  }
  return position;
}

void session_engine::OnCallerDisconnected() {
  if (phase_ == phase::kAcquiring) {
    host_.CancelAcquire();
  }
  kept_reply_.reset();
  ReleaseConnection(release_kind::kRollBack);
  phase_ = phase::kIdle;
  transaction_ = transaction::kNone;
  host_.ClearTimer();
}

session_state session_engine::State() const {
  switch (transaction_) {
    case transaction::kNone:
      return session_state::kIdle;
    case transaction::kFailed:
      return session_state::kFailedTransaction;
    default:
      return session_state::kInTransaction;
  }
}

void session_engine::ReplyLocal() {
  std::string out;
  host_.Callers().AppendSuccess(out, "-");
  host_.Callers().AppendReady(out, State(), std::nullopt);
  EndRequest();
  host_.Reply(out);
  SendCallerElsewhere();
}

void session_engine::ReplyFailure(failure_code code, const std::string& text) {
  std::string out;
  LogRequest("refuse", std::string(FailureName(code)) + " " + text);
  host_.Callers().AppendFailure(out, code, text);
  host_.Callers().AppendReady(out, State(), std::nullopt);
  EndRequest();
  host_.Reply(out);
}

void session_engine::LogRequest(const char* event, std::string_view detail) {
  request_log_entry note;
  note.event = event;
  note.request = current_.id;
  note.database = database_;
  note.group = route_.has_value() ? std::string_view(route_->group) : "";
  note.server = server_;
  note.detail = detail;
  note.version = route_version_;
  note.age = host_.Now() - arrived_;
  host_.LogRequest(note);
}

}  // namespace plantaintiller::sessions
