#pragma once

namespace plantaintiller::decisions {

/// Defects that tests enable to verify that the invariant checker detects them.
/// All are disabled in production.
struct injected_defects {
  /// Acknowledges a write before all servers of the confirming set have it.
  bool acknowledge_unconfirmed = false;
  /// Adds a member to the sets without raising the term.
  bool grow_without_term = false;
  /// Raises the term but adds the member to both sets only later.
  bool grow_one_set_later = false;
  /// Compares positions by the server's adopted term.
  bool compare_adopted_term = false;
  /// Compares positions by offset alone.
  bool compare_offset_only = false;
  /// Reports an unknown outcome as not run without a tombstone.
  bool not_run_without_tombstone = false;
  /// Reports a tombstone as effective before it is confirmed.
  bool unconfirmed_tombstone = false;
  /// Returns a connection with an answer outstanding to the pool.
  bool reuse_busy_connection = false;
  /// Accepts a configuration of a lower version.
  bool accept_older_configuration = false;
  /// Assumes that a replica's data is current.
  bool trust_replica_age = false;
  /// Leaves out the request key of non-idempotent writes.
  bool write_without_key = false;
  /// Runs writes on a server of any term.
  bool ignore_term = false;
  /// Reads from servers of any term, whether confirmed or not.
  bool read_any_term = false;
  /// Does not compare positions with the session's token.
  bool ignore_token = false;
  /// Keeps sending new work to a leaving server.
  bool use_leaving_server = false;
  /// Drops requests in flight when shutting down.
  bool drop_on_shutdown = false;
  /// Sends an answer to the request that has waited longest instead of to its
  /// own.
  bool answer_oldest_request = false;
};

}  // namespace plantaintiller::decisions
