#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/standin/replica_log.h"
#include "plantaintiller/standin/sql_engine.h"

namespace plantaintiller::standin {

/// A statement that changed data, as the log keeps it.
struct logged_statement {
  std::string sql;
  std::vector<cell> params;
};
using log_content = std::vector<logged_statement>;

/// Address of the primary that a follower copies from.
struct primary_address {
  std::string host;
  std::uint16_t port = 0;
};

/// Told of changes in a node that others may wait for.
class node_listener {
 public:
  virtual ~node_listener() = default;
  /// The log or the term has changed, or the open transaction has ended.
  virtual void OnNodeChanged() = 0;
  /// The node is to follow a primary in a term.
  virtual void OnFollowRequested(core::term_number term,
                                 const primary_address& primary) = 0;
};

/// State of one stand-in backend server: data, log, term, and the one
/// transaction that may be open.
class backend_node {
 public:
  explicit backend_node(node_listener& listener) : listener_(listener) {}

  core::server_state State() const { return log_.State(); }
  const replica_log<log_content>& Log() const { return log_; }

  /// Whether a session may run a statement now: no other's transaction is open.
  bool MayRun(const void* session) const {
    return transaction_session_ == nullptr || transaction_session_ == session;
  }
  /// Opens a transaction, if the session has none open.
  void Begin(const void* session);
  /// Refuses a term other than the adopted one. @return whether it is adopted.
  bool IsAdoptedTerm(core::term_number term);
  /// Runs a statement in the session's transaction.
  sql_result Run(const std::string& sql, const std::vector<cell>& params);
  /// Names of a statement's result columns; empty if it has none or is wrong.
  std::vector<std::string> Describe(const std::string& sql) const {
    return engine_.Describe(sql);
  }
  /// Ends the session's transaction. @return whether its changes were kept.
  bool Commit(const void* session);
  void Rollback(const void* session);

  /// Orders from the proxy. @return false if the term forbids them.
  bool Promote(core::term_number term);
  bool Follow(core::term_number term, const primary_address& primary);

  /// As a follower: adopts a term, keeping the log up to `common`.
  void AdoptAsFollower(core::term_number term, std::size_t common);
  /// As a follower: applies an entry of the primary.
  void Apply(const replica_log<log_content>::entry& received);

 private:
  void Replay();
  void ApplyStatements(const log_content& statements);

  node_listener& listener_;
  sql_engine engine_;
  replica_log<log_content> log_;
  const void* transaction_session_ = nullptr;
  core::term_number transaction_term_ = 0;
  log_content uncommitted_statements_;
};

}  // namespace plantaintiller::standin
