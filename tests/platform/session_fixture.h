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

/// A connection whose server is played by the test.
class fake_connection : public server_connection {
 public:
  explicit fake_connection(std::string server) : server_(std::move(server)) {}

  const std::string& Server() const override { return server_; }
  connection_memory& Memory() override { return memory_; }
  core::time_point LastHeard() const override { return last_heard; }
  void Send(const std::string& bytes, int replies) override {
    sent += bytes;
    outstanding += replies;
  }
  void Leave(leave_kind how) override { left = how; }

  /// What was sent since the last call.
  std::string TakeSent() { return std::exchange(sent, ""); }

  std::string sent;
  int outstanding = 0;
  std::optional<leave_kind> left;
  core::time_point last_heard;

 private:
  std::string server_;
  connection_memory memory_;
};

/// A host that records what a session asks for.
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
    group.OnList(servers, {{"z", replication::distance::kSameZone}}, now);
  }

  core::time_point Now() const override { return now; }
  const core::route_table& Routes() const override { return routes; }
  replication::group_state* Group(const std::string& name) override {
    return name == "g" ? &group : nullptr;
  }
  caller_codec& Callers() override { return callers; }
  server_codec& Servers() override { return servers; }
  void Acquire(const connection_need& asked) override { need = asked; }
  void CancelAcquire() override { need.reset(); }
  bool TakeTurn(server_connection&) override {
    turns_asked += 1;
    return turns_free;
  }
  void CancelTurn(server_connection&) override { turns_cancelled += 1; }
  void EndTurn(server_connection&, bool) override { turns_ended += 1; }
  void Reply(const std::string& bytes) override { replies += bytes; }
  void Close() override { closed = true; }
  void SetTimer(core::time_point when) override { timer = when; }
  void ClearTimer() override { timer.reset(); }
  void OnNotLeader(const std::string&, const std::string& server) override {
    not_leader.push_back(server);
  }
  void OnServerTrouble(const std::string&, const std::string& server) override {
    trouble.push_back(server);
  }
  void Note(const request_note& note) override {
    notes.emplace_back(note.event);
  }
  void Count(const core::route*, bool, core::duration, const char*) override {}

  std::string TakeReplies() { return std::exchange(replies, ""); }

  core::time_point now{std::chrono::hours(1)};
  core::route_table routes;
  replication::group_state group;
  platform::caller_line_codec callers;
  platform::server_line_codec servers;
  std::optional<connection_need> need;
  std::optional<core::time_point> timer;
  std::string replies;
  bool closed = false;
  bool turns_free = true;
  int turns_asked = 0;
  int turns_ended = 0;
  int turns_cancelled = 0;
  std::vector<std::string> not_leader;
  std::vector<std::string> trouble;
  std::vector<std::string> notes;
};

/// A session with its host, driven by lines.
class session_fixture {
 public:
  explicit session_fixture(const std::string& database)
      : engine(host, settings) {
    Say("START " + database + " u1");
    host.TakeReplies();
  }

  /// The caller sends a line.
  void Say(const std::string& line) {
    std::string buffer = line + "\r\n";
    engine.OnMessage(*host.callers.Take(buffer));
  }
  /// Grants what was asked for. @return the connection.
  fake_connection& Grant(const std::string& server) {
    connections.push_back(std::make_unique<fake_connection>(server));
    connections.back()->last_heard = host.now;
    host.need.reset();
    engine.OnConnection(*connections.back());
    return *connections.back();
  }
  /// The server sends lines, each without its end.
  void Answer(const std::vector<std::string>& lines) {
    std::string buffer;
    for (const std::string& line : lines) {
      buffer += line + "\r\n";
    }
    server_reply partial;
    while (auto reply = host.servers.Take(buffer, partial)) {
      engine.OnReply(std::move(*reply));
    }
  }
  void Pass(core::milliseconds span) { host.now += span; }

  session_settings settings;
  fake_host host;
  std::vector<std::unique_ptr<fake_connection>> connections;
  session_engine engine;
};

}  // namespace plantaintiller::sessions
