#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/standin/replica_log.h"
#include "plantaintiller/standin/sql_engine.h"

namespace plantaintiller::standin {

/// A statement that changed data, as stored in the log.
struct logged_statement {
  std::string sql;
  std::vector<cell> params;
};
using log_content = std::vector<logged_statement>;

/// Address of the primary that a follower replicates from.
struct primary_address {
  std::string host;
  std::uint16_t port = 0;
};

/// Receives the changes of a node that sessions may be waiting for, and the
/// commands to follow a primary.
class node_listener {
 public:
  virtual ~node_listener() = default;
  /// Called when the log or the term has changed or the open transaction has
  /// ended.
  virtual void OnNodeChanged() = 0;
  /// Called when the node has accepted a command to follow a primary in a newer
  /// term. The listener starts replication, which adopts the term.
  virtual void OnFollowRequested(core::term_number term,
                                 const primary_address& primary) = 0;
};

/// State of one stand-in backend server: data, log, term, and the open
/// transaction, of which there is at most one.
class backend_node {
 public:
  explicit backend_node(node_listener& listener) : listener_(listener) {}

  core::server_state State() const { return log_.State(); }
  const replica_log<log_content>& Log() const { return log_; }

  /// Whether a session may run a statement now, that is, whether no other
  /// session has a transaction open.
  /// @param session identifies the session and is never dereferenced.
  bool MayRun(const void* session) const {
    return transaction_session_ == nullptr || transaction_session_ == session;
  }
  /// Opens a transaction unless the session has one open. Requires MayRun.
  void Begin(const void* session);
  /// Whether `term` is the adopted term.
  bool IsAdoptedTerm(core::term_number term);
  /// Runs a statement in the open transaction.
  sql_result Run(const std::string& sql, const std::vector<cell>& params);
  /// Names of a statement's result columns; empty if it has none or is invalid.
  std::vector<std::string> Describe(const std::string& sql) const {
    return engine_.Describe(sql);
  }
  /// Commits the session's transaction, if it has one open.
  /// @return false if its changes were rolled back, because the server is no
  /// longer the primary of the term in which the transaction began.
  bool Commit(const void* session);
  /// Rolls back the session's transaction, if it has one open.
  void Rollback(const void* session);

  /// Becomes the primary of a term, on command of the proxy.
  /// @return false if a later term, or this term as a follower, has been
  /// adopted.
  bool Promote(core::term_number term);
  /// Starts to follow a primary in a term, on command of the proxy.
  /// @return false if a later term has been adopted.
  bool Follow(core::term_number term, const primary_address& primary);

  /// Adopts a term as a follower and truncates the log to its first `common`
  /// entries. Rolls back the open transaction.
  void AdoptAsFollower(core::term_number term, std::size_t common);
  /// Appends and applies an entry received from the primary. Rolls back the
  /// open transaction.
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
