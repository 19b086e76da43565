#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/sessions/session_engine.h"
#include "platform/caller_line_codec.h"
#include "platform/line.h"
#include "platform/server_line_codec.h"

namespace plantaintiller::sessions {

/// Connection whose server is simulated by the test.
class fake_connection : public server_connection {
 public:
  explicit fake_connection(std::string server) : server_(std::move(server)) {}

  const std::string& Server() const override { return server_; }
  connection_state& State() override { return state_; }
  core::time_point LastReceived() const override { return last_received; }
  void Send(const std::string& bytes,
            const std::vector<command_kind>& commands) override {
    sent += bytes;
    outstanding += static_cast<int>(commands.size());
  }
  void Release(release_kind kind) override { released = kind; }

  /// @return the bytes sent since the last call.
  std::string TakeSent() { return std::exchange(sent, ""); }

  std::string sent;
  int outstanding = 0;
  std::optional<release_kind> released;
  core::time_point last_received;

 private:
  std::string server_;
  connection_state state_;
};

/// Host that records the requests of a session.
class fake_host : public session_host {
 public:
  fake_host() : group("g") {
    core::route route;
    route.group = "g";
    route.database = "primary";
    routes.routes["primary"] = route;
    route.database = "bounded";
    route.kind = core::consistency::kBoundedStaleness;
    route.max_staleness = core::milliseconds(1500);
    routes.routes["bounded"] = route;
    route.database = "own";
    route.kind = core::consistency::kReadYourWrites;
    route.max_staleness = core::milliseconds(2500);
    routes.routes["own"] = route;
    routes.version = 1;
    std::vector<replication::server_entry> servers;
    for (const char* id : {"a", "b", "c"}) {
      replication::server_entry entry;
      entry.id = id;
      entry.group = "g";
      entry.zone = "z";
      entry.reports_leader = entry.id == "a";
      servers.push_back(entry);
    }
    group.SetConfirmingReplicas(1);
    // Commits are checked for a while after the start.
    group.OnList(servers, {{"z", replication::distance::kSameZone}},
                 now - replication::group_state::kChangeNotice);
  }

  core::time_point Now() const override { return now; }
  const core::route_table& Routes() const override { return routes; }
  accounts::operation_limiter* OperationLimiter() override { return limiter; }
  replication::group_state* Group(const std::string& name) override {
    return name == "g" ? &group : nullptr;
  }
  admission::group_admission* Admission(const std::string&) override {
    return admission;
  }
  caller_codec& Callers() override { return callers; }
  server_codec& Servers() override { return servers; }
  void Acquire(const connection_requirements& requested) override {
    need = requested;
  }
  void CancelAcquire() override { need.reset(); }
  bool AcquirePermit(server_connection&) override {
    permits_requested += 1;
    return permits_free;
  }
  void CancelPermit(server_connection&) override { permits_cancelled += 1; }
  void ReleasePermit(server_connection&, bool) override {
    permits_released += 1;
  }
  void RequestLeadershipCheck(
      const std::string&,
      const std::string&,
      std::optional<replication::acknowledged_commit> commit,
      replication::leadership_check_listener&) override {
    checked_commit = commit;
    checks_requested += 1;
    check_pending = true;
  }
  void CancelLeadershipCheck(const std::string&,
                             replication::leadership_check_listener&) override {
    check_pending = false;
  }
  void OnCommitConfirmed(const std::string&,
                         const std::string&,
                         core::time_point) override {
    commits_confirmed += 1;
  }
  void Reply(const std::string& bytes) override { replies += bytes; }
  void OnAccessRefused(const accounts::caller_identity&,
                       accounts::access reason,
                       const std::string&) override {
    refused_access = reason;
  }
  void Close() override { closed = true; }
  void EndIdle(sessions::failure_code, std::string_view reason) override {
    Close();
    told_reason = reason;
  }
  void SetTimer(core::time_point when) override { timer = when; }
  void ClearTimer() override { timer.reset(); }
  void OnNotLeader(const std::string&, const std::string& server) override {
    not_leader.push_back(server);
  }
  void OnServerUnresponsive(const std::string&,
                            const std::string& server) override {
    unresponsive.push_back(server);
  }
  void LogRequest(const request_log_entry& entry) override {
    logged_events.emplace_back(entry.event);
  }
  void CountStatement(const core::route*,
                      bool,
                      core::duration,
                      const char*) override {}
  void CountEvent(const char* name) override { events[name] += 1; }

  std::string TakeReplies() { return std::exchange(replies, ""); }

  core::time_point now{std::chrono::hours(1)};
  core::route_table routes;
  replication::group_state group;
  /// Null unless a test sets it.
  admission::group_admission* admission = nullptr;
  platform::caller_line_codec callers;
  platform::server_line_codec servers;
  std::optional<connection_requirements> need;
  std::optional<core::time_point> timer;
  accounts::operation_limiter* limiter = nullptr;
  std::optional<accounts::access> refused_access;
  std::string replies;
  bool closed = false;
  /// Why the session has ended, if its caller was told apart from the answer.
  std::string told_reason;
  bool permits_free = true;
  int checks_requested = 0;
  /// Commit of the last check.
  std::optional<replication::acknowledged_commit> checked_commit;
  bool check_pending = false;
  int commits_confirmed = 0;
  int permits_requested = 0;
  int permits_released = 0;
  int permits_cancelled = 0;
  std::vector<std::string> not_leader;
  std::vector<std::string> unresponsive;
  std::vector<std::string> logged_events;
  /// Counted events by name.
  std::map<std::string, int> events;
};

/// A session with its host, driven by protocol lines.
class session_fixture {
 public:
  /// Makes a session that has not received its START yet.
  session_fixture() : engine(host, settings) {}
  explicit session_fixture(const std::string& database)
      : engine(host, settings) {
    SendLine("START " + database + " u1");
    host.TakeReplies();
  }

  /// Sends a line as the caller.
  void SendLine(const std::string& line) {
    std::string buffer = line + "\r\n";
    engine.OnMessage(*host.callers.Take(buffer));
  }
  /// Gives the session a connection to a server. @return the connection.
  /// @param silence how long ago the server has sent something.
  fake_connection& GrantConnection(
      const std::string& server,
      core::milliseconds silence = core::milliseconds(0)) {
    connections.push_back(std::make_unique<fake_connection>(server));
    connections.back()->last_received = host.now - silence;
    host.need.reset();
    engine.OnConnection(*connections.back());
    return *connections.back();
  }
  /// Sends lines as the server, given without their line ends.
  void AnswerLines(const std::vector<std::string>& lines) {
    std::string buffer;
    for (const std::string& line : lines) {
      buffer += line + "\r\n";
    }
    server_reply partial;
    while (auto reply = host.servers.Take(buffer, partial)) {
      engine.OnReply(std::move(*reply));
    }
  }
  /// Ends the check that the session has requested.
  void EndCheck(replication::leadership_result result) {
    host.check_pending = false;
    engine.OnLeadershipChecked(result);
  }
  void ConfirmLeader() { EndCheck(replication::leadership_result::kConfirmed); }
  void AdvanceTime(core::milliseconds span) { host.now += span; }

  session_settings settings;
  fake_host host;
  std::vector<std::unique_ptr<fake_connection>> connections;
  session_engine engine;
};

}  // namespace plantaintiller::sessions
