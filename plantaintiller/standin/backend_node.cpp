#include "plantaintiller/standin/backend_node.h"

#include <utility>

namespace plantaintiller::standin {

void backend_node::Begin(const void* session) {
  if (transaction_session_ == session) {
    return;
  }
  transaction_session_ = session;
  transaction_term_ = log_.State().adopted_term;
  engine_.Run("BEGIN", {}, true);
}

bool backend_node::IsAdoptedTerm(core::term_number term) {
  return term == log_.State().adopted_term;
}

sql_result backend_node::Run(const std::string& sql,
                             const std::vector<cell>& params) {
  sql_result result = engine_.Run(sql, params, log_.State().is_primary);
  if (!result.failed && result.is_write) {
    uncommitted_statements_.push_back({sql, params});
  }
  return result;
}

bool backend_node::Commit(const void* session) {
  if (transaction_session_ != session) {
    return true;
  }
  const core::server_state state = log_.State();
  const bool superseded =
      !uncommitted_statements_.empty() &&
      (state.adopted_term != transaction_term_ || !state.is_primary);
  if (superseded) {
    Rollback(session);
    return false;
  }
  engine_.Run("COMMIT", {}, true);
  transaction_session_ = nullptr;
  if (!uncommitted_statements_.empty()) {
    log_.Append(std::exchange(uncommitted_statements_, {}));
  }
  listener_.OnNodeChanged();
  return true;
}

void backend_node::Rollback(const void* session) {
  if (transaction_session_ != session) {
    return;
  }
  engine_.Run("ROLLBACK", {}, true);
  transaction_session_ = nullptr;
  uncommitted_statements_.clear();
  listener_.OnNodeChanged();
}

bool backend_node::Promote(core::term_number term) {
  const bool changed = term > log_.State().adopted_term;
  if (!log_.Promote(term)) {
    return false;
  }
  if (changed) {
    listener_.OnNodeChanged();
  }
  return true;
}

bool backend_node::Follow(core::term_number term,
                          const primary_address& primary) {
  if (log_.IsNewerTerm(term)) {
    listener_.OnFollowRequested(term, primary);
    return true;
  }
  return log_.State().adopted_term == term;
}

void backend_node::AdoptAsFollower(core::term_number term, std::size_t common) {
  const bool dropped = common < log_.Entries().size();
  if (transaction_session_ != nullptr) {
    Rollback(transaction_session_);
  }
  log_.Follow(term, common);
  if (dropped) {
    Replay();
  }
  listener_.OnNodeChanged();
}

void backend_node::Apply(const replica_log<log_content>::entry& received) {
  if (transaction_session_ != nullptr) {
    Rollback(transaction_session_);
  }
  log_.Receive(received);
  ApplyStatements(received.value);
  listener_.OnNodeChanged();
}

void backend_node::Replay() {
  engine_.Reset();
  for (const auto& entry : log_.Entries()) {
    ApplyStatements(entry.value);
  }
}

void backend_node::ApplyStatements(const log_content& statements) {
  if (statements.empty()) {
    return;
  }
  engine_.Run("BEGIN", {}, true);
  for (const logged_statement& statement : statements) {
    engine_.Run(statement.sql, statement.params, true);
  }
  engine_.Run("COMMIT", {}, true);
}

}  // namespace plantaintiller::standin
