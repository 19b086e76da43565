#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/model/history_checker.h"
#include "plantaintiller/model/model_result.h"
#include "plantaintiller/model/network.h"
#include "plantaintiller/standin/replica_log.h"

namespace plantaintiller::model {

/// Identifies a connection to a fake server.
struct connection_key {
  core::instance_id instance;
  std::uint64_t incarnation = 0;
  std::uint32_t number = 0;
  /// Distinguishes connections that an instance opens under the same number.
  std::uint64_t generation = 0;
  friend auto operator<=>(const connection_key&,
                          const connection_key&) = default;
};

/// Content of a log entry.
struct model_entry {
  /// Requests whose writes the entry commits; none for a tombstone.
  std::vector<request_number> writes;
  bool has_key = false;
  bool is_tombstone = false;
  core::request_key key;
  std::uint64_t fingerprint = 0;
};

/// Simulates a backend server: a log with request keys, replication from the
/// primary, and open connections.
class fake_server {
 public:
  /// Returns the server in a slot of the same database. The reference must stay
  /// valid.
  using server_lookup = std::function<fake_server&(core::slot_number)>;

  fake_server(core::backend_server_id id,
              std::size_t connections,
              event_queue& queue,
              network& net,
              history_checker& checker,
              server_lookup find);

  /// @name Messages from instances
  /// OnAttempt() runs `reply` at the server, the other functions run it at the
  /// instance.
  /// @{
  /// @param opens_connection whether the instance opens the connection for this
  /// attempt.
  void OnAttempt(const connection_key& connection,
                 bool opens_connection,
                 const decisions::attempt& work,
                 const std::function<void(decisions::attempt_result)>& reply);
  void OnClose(const connection_key& connection);
  void OnProbe(node_id from,
               const decisions::server_probe& probe,
               const std::function<void(core::server_state)>& reply);
  void OnRoleCommand(node_id from,
                     const decisions::role_command& command,
                     const std::function<void()>& reply);
  /// @}

  /// Called when the process is killed. Connections are lost, the log is kept.
  void OnKilled();
  /// Called when the process has been restarted.
  void OnRestarted();
  /// Closes the connections of an instance that has died.
  void OnInstanceDied(core::instance_id instance);

  const standin::replica_log<model_entry>& Log() const { return log_; }
  /// Returns all requests whose writes are in the log, in order of the log.
  std::vector<request_number> Writes() const;
  node_id Node() const { return node_id::Server(id_); }

  /// Delay before received log entries are applied.
  core::duration replication_lag{0};
  /// Execution time of a statement.
  core::duration service_time = std::chrono::milliseconds(1);

 private:
  struct open_connection {
    bool busy = false;
    bool in_transaction = false;
    core::term_number term = 0;
    request_number transaction = 0;
    std::vector<request_number> pending;
  };
  struct probe_waiter {
    std::uint64_t offset = 0;
    core::term_number term = 0;
    std::function<void()> answer;
    std::uint64_t number = 0;
  };
  struct fetch_waiter {
    core::slot_number follower = 0;
    core::term_number term = 0;
    std::uint64_t offset = 0;
  };

  decisions::attempt_result Execute(const connection_key& key,
                                    const decisions::attempt& work);
  decisions::attempt_status ExecuteWrite(const decisions::attempt& work,
                                         std::vector<request_number> writes);
  std::shared_ptr<model_result> ResultFor(const decisions::attempt& work) const;
  const model_entry* FindKey(const core::request_key& key) const;
  void OnLogChanged();

  void Fetch();
  void OnFetch(core::slot_number follower,
               core::term_number term,
               const standin::replica_log<model_entry>& follower_log);
  void SendEntries(const fetch_waiter& to);
  void OnCommonPrefix(core::term_number term,
                      std::size_t common,
                      core::log_position follower_position);
  void OnEntries(core::term_number term,
                 std::uint64_t after,
                 std::vector<standin::replica_log<model_entry>::entry> entries);

  core::backend_server_id id_;
  std::size_t connection_limit_;
  event_queue& queue_;
  network& net_;
  history_checker& checker_;
  server_lookup find_server_;
  standin::replica_log<model_entry> log_;
  std::map<connection_key, open_connection> connections_;
  // Closed connections; attempts that still arrive on them are dropped.
  std::set<connection_key> closed_;
  std::vector<probe_waiter> probe_waiters_;
  std::vector<fetch_waiter> fetch_waiters_;
  std::uint64_t next_waiter_ = 0;
  core::term_number follow_term_ = 0;
  core::slot_number follow_primary_ = 0;
  std::uint64_t fetch_round_ = 0;
};

}  // namespace plantaintiller::model
