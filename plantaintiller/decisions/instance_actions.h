#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/core/group_record.h"
#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/statement.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::decisions {

/// What one attempt does at a backend server.
enum class attempt_kind : std::uint8_t {
  kRead,
  /// Write, with its request key in the same database transaction.
  kWrite,
  /// Writes a tombstone for the request key unless the key is there.
  kTombstone,
  kBegin,
  kInTransaction,
  kCommit,
  kRollback,
};

/// Work for one backend connection. An attempt keeps the term it was made with.
struct attempt {
  std::uint64_t id = 0;
  core::backend_server_id server;
  /// Number of the connection among those held to this server.
  std::uint32_t connection = 0;
  attempt_kind kind = attempt_kind::kRead;
  core::term_number term = 0;
  core::statement work;
};

enum class attempt_status : std::uint8_t {
  kDone,
  /// The request key was there: a write had committed with it before.
  kAlreadyDone,
  /// A tombstone was there: the write has not run and cannot.
  kTombstoned,
  /// The key was there with other content.
  kKeyReused,
  /// The server is in another term and refused before running anything.
  kWrongTerm,
  /// The server rejected the statement and rolled it back.
  kStatementFailed,
  kTooManyConnections,
  /// Nothing was sent; it did not run.
  kNotSent,
  /// Sent, and no answer came; it may have run.
  kConnectionLost,
};

/// Result of an attempt, with the server's state after it.
struct attempt_result {
  std::uint64_t id = 0;
  core::backend_server_id server;
  attempt_status status = attempt_status::kNotSent;
  core::server_state state;
  std::shared_ptr<const core::result_body> result;
};

/// Asks a server for its state. The server may hold the answer until it has
/// reached `wait_offset` in `wait_term`, for `max_wait` at most.
struct server_probe {
  /// Comes back with the answer, so that a late answer is recognised.
  std::uint64_t id = 0;
  core::backend_server_id server;
  core::term_number wait_term = 0;
  std::uint64_t wait_offset = 0;
  core::milliseconds max_wait{0};
};

/// Orders a server into a term, as primary or as follower of `primary`.
struct role_command {
  core::backend_server_id server;
  core::term_number term = 0;
  core::slot_number primary = 0;
};

/// A statement on its way to the instance that holds the connections.
struct forwarded_statement {
  /// Number given by the sender; the reply carries it back.
  std::uint64_t ticket = 0;
  core::slot_number slot = 0;
  core::statement work;
};

/// What an executor tells the sender of a forwarded statement.
struct forwarded_reply {
  std::uint64_t ticket = 0;
  core::statement_outcome outcome;
  /// Term and primary as the executor knows them; 0 if it knows none.
  core::term_number known_term = 0;
  core::slot_number known_primary = 0;
};

/// A backend server that the sender of a heartbeat has heard from.
struct server_report {
  core::backend_server_id server;
  /// Time since the last answer, at sending.
  core::milliseconds since_last_answer{0};
};

/// Periodic message between instances.
struct heartbeat {
  core::instance_id from;
  core::zone_id zone;
  /// Address of the sender, so that an instance that the platform's list does
  /// not have yet can be answered.
  std::string host;
  std::uint16_t port = 0;
  bool leaving = false;
  std::uint64_t configuration_version = 0;
  std::vector<server_report> reports;
};

enum class compare_and_set_status : std::uint8_t {
  kApplied,
  kConflict,
  kUnavailable,
  /// The request was sent and its answer lost.
  kUnknown,
};

/// Routing and placement decisions that get a log line.
enum class decision_kind : std::uint8_t {
  kRouteWrite,
  kRouteReplica,
  kRoutePrimary,
  kResolveOutcome,
  kPlaceConnections,
  kProposePromotion,
  kProposeShrink,
  kProposeGrow,
  kProposeAdmit,
  kProposeFirstRecord,
  kAdoptRecord,
  kAdoptConfiguration,
  kPeerLost,
  kPeerFound,
};

struct decision_log_entry {
  decision_kind kind;
  core::backend_server_id server;
  core::instance_id instance;
  std::uint64_t term = 0;
};

/// Everything the decisions ask of the world around them. Implementations must
/// not call back into the decisions before the call returns.
class instance_actions {
 public:
  virtual ~instance_actions() = default;

  /// Runs an attempt; its result comes once, or never if the connection hangs.
  virtual void RunAttempt(const attempt& work) = 0;
  /// Drops a backend connection whose state is no longer known.
  virtual void CloseConnection(core::backend_server_id server,
                               std::uint32_t connection) = 0;
  virtual void ProbeServer(const server_probe& probe) = 0;
  virtual void SendRoleCommand(const role_command& order) = 0;

  virtual void ForwardStatement(core::instance_id to,
                                const forwarded_statement& work) = 0;
  virtual void ReplyToPeer(core::instance_id to,
                           const forwarded_reply& reply) = 0;
  /// Ends the connection to a peer, so that the next message opens a new one.
  virtual void ClosePeerConnection(core::instance_id peer) = 0;
  virtual void SendHeartbeat(core::instance_id to, const heartbeat& beat) = 0;

  virtual void ReadGroupRecord(core::database_id database) = 0;
  /// Writes the record if the row still has `record.version`.
  virtual void CompareAndSetGroupRecord(core::database_id database,
                                        const core::group_record& record) = 0;
  virtual void ReadConfiguration(std::uint64_t known_version) = 0;
  /// Asks a peer for its configuration.
  virtual void PullConfiguration(core::instance_id from) = 0;
  virtual void ReadInstanceList() = 0;

  /// Gives a caller's request its one final answer.
  virtual void AnswerCaller(std::uint64_t ticket,
                            const core::statement_outcome& outcome) = 0;
  virtual void LogDecision(const decision_log_entry& note) = 0;
};

}  // namespace plantaintiller::decisions
