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

/// Operation that an attempt runs at a backend server.
enum class attempt_kind : std::uint8_t {
  kRead,
  /// Write that stores its request key in the same database transaction.
  kWrite,
  /// Writes a tombstone for the request key unless the key exists.
  kTombstone,
  kBegin,
  kInTransaction,
  kCommit,
  kRollback,
};

/// One execution of a statement on a backend connection. An attempt keeps the
/// term in which it was created.
struct attempt {
  std::uint64_t id = 0;
  core::backend_server_id server;
  /// Index of the connection among those held to this server.
  std::uint32_t connection = 0;
  attempt_kind kind = attempt_kind::kRead;
  core::term_number term = 0;
  core::statement work;
};

enum class attempt_status : std::uint8_t {
  kDone,
  /// The request key exists: a write has already committed with it.
  kAlreadyDone,
  /// A tombstone exists: the write has not run and cannot run any more.
  kTombstoned,
  /// The request key exists with a different statement.
  kKeyReused,
  /// The server has adopted another term and refused before running anything.
  kWrongTerm,
  /// The server rejected the statement and rolled it back.
  kStatementFailed,
  kTooManyConnections,
  /// Nothing was sent, so the attempt did not run.
  kNotSent,
  /// The attempt was sent and not answered, so it may have run.
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

/// Asks a server for its state. The server may delay the answer until it has
/// reached `wait_offset` in `wait_term`, for at most `max_wait`.
struct server_probe {
  /// Echoed in the answer, so that late answers can be recognised.
  std::uint64_t id = 0;
  core::backend_server_id server;
  core::term_number wait_term = 0;
  std::uint64_t wait_offset = 0;
  core::milliseconds max_wait{0};
};

/// Tells a server to adopt a term, as primary or as a follower of `primary`.
struct role_command {
  core::backend_server_id server;
  core::term_number term = 0;
  core::slot_number primary = 0;
};

/// Statement forwarded to the instance that holds the server's connections.
struct forwarded_statement {
  /// Number chosen by the sender and echoed in the reply.
  std::uint64_t ticket = 0;
  core::slot_number slot = 0;
  core::statement work;
};

/// Reply of an executor to the sender of a forwarded statement.
struct forwarded_reply {
  std::uint64_t ticket = 0;
  core::statement_outcome outcome;
  /// Term and primary in the executor's group record; term 0 if it has none.
  core::term_number known_term = 0;
  core::slot_number known_primary = 0;
};

/// Backend server that has recently answered the sender of a heartbeat.
struct server_report {
  core::backend_server_id server;
  /// Time since the server's last answer when the heartbeat was sent.
  core::milliseconds since_last_answer{0};
};

/// Periodic message between instances.
struct heartbeat {
  core::instance_id from;
  core::zone_id zone;
  /// Address of the sender, so that the receiver can answer an instance that is
  /// not yet in the platform's list.
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
  /// The request was sent and its answer was lost, so it may have been applied.
  kUnknown,
};

/// Routing and placement decisions that are logged.
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

/// Actions that instance_decider requests from its environment. Implementations
/// must not call back into the decider before the call returns.
class instance_actions {
 public:
  virtual ~instance_actions() = default;

  /// Runs an attempt. Its result is reported once, or never if the connection
  /// hangs.
  virtual void RunAttempt(const attempt& work) = 0;
  /// Closes a backend connection that is no longer needed or whose state is no
  /// longer known.
  virtual void CloseConnection(core::backend_server_id server,
                               std::uint32_t connection) = 0;
  virtual void ProbeServer(const server_probe& probe) = 0;
  virtual void SendRoleCommand(const role_command& order) = 0;

  virtual void ForwardStatement(core::instance_id to,
                                const forwarded_statement& work) = 0;
  virtual void ReplyToPeer(core::instance_id to,
                           const forwarded_reply& reply) = 0;
  /// Closes the connection to a peer, so that the next message opens a new one.
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

  /// Sends the final answer to a caller's request; called once per request.
  virtual void AnswerCaller(std::uint64_t ticket,
                            const core::statement_outcome& outcome) = 0;
  virtual void LogDecision(const decision_log_entry& entry) = 0;
};

}  // namespace plantaintiller::decisions
