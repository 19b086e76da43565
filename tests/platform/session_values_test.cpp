// Sessions that share connections to servers, under random refusals, losses of
// lead, cuts and disconnects.
#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/sessions/session_engine.h"
#include "tests/platform/session_fixture.h"

namespace plantaintiller::sessions {

namespace {

constexpr int kSeeds = 300;
constexpr int kSteps = 600;
constexpr std::size_t kSessions = 4;

/// A caller with what it has been told about its session.
struct tracked_session : session_fixture {
  tracked_session(const std::string& database, int session_number)
      : session_fixture(database), number(session_number) {}
  /// Ids of statements begin with this number, so that servers know whose they
  /// are.
  int number;
  std::map<std::string, std::string> values;
  std::map<std::string, std::string> shapes;
};

class shared_servers;

/// A connection as its server knows it. It is released as by the pool.
class true_connection : public server_connection {
 public:
  true_connection(std::string server, shared_servers& servers)
      : server_(std::move(server)), servers_(servers) {}

  const std::string& Server() const override { return server_; }
  connection_state& State() override { return state_; }
  core::time_point LastReceived() const override { return last_received; }
  void Send(const std::string& bytes,
            const std::vector<command_kind>&) override {
    for (std::size_t begin = 0; begin < bytes.size();) {
      const std::size_t end = bytes.find("\r\n", begin);
      commands_.push_back(bytes.substr(begin, end - begin));
      begin = end + 2;
    }
  }
  void Release(release_kind kind) override {
    user = nullptr;
    if (kind == release_kind::kBroken || !state_.is_known) {
      closed = true;
    } else if (kind == release_kind::kRollBack || !commands_.empty()) {
      commands_.emplace_back("QUERY - ROLLBACK");
    }
  }
  bool IsFree() const {
    return !closed && user == nullptr && commands_.empty() && !in_transaction_;
  }
  /// Runs the next command, if there is one, and passes on the answer.
  void Step();
  /// The server drops the connection.
  void Cut() {
    closed = true;
    if (tracked_session* holder = std::exchange(user, nullptr)) {
      holder->engine.OnConnectionLost();
    }
  }

  /// The session that has acquired it; null if there is none.
  tracked_session* user = nullptr;
  bool closed = false;
  core::time_point last_received;

 private:
  std::string Run(const std::string& id, const std::string& text);
  std::string RunStatement(int session, const std::string& text);

  std::string server_;
  shared_servers& servers_;
  connection_state state_;
  std::deque<std::string> commands_;
  std::map<std::string, std::string> values_;
  std::map<std::string, std::string> shapes_;
  bool in_transaction_ = false;
  bool is_plain_ = false;
  bool has_failed_ = false;
  bool has_lost_lead_ = false;
  /// Session whose statements run in the open transaction; 0 before the first.
  int owner_ = 0;
};

/// The connections and sessions of one run.
class shared_servers {
 public:
  explicit shared_servers(std::uint32_t seed) : random(seed) {
    for (std::size_t i = 0; i < kSessions; ++i) {
      sessions.push_back(NewSession());
    }
  }
  void Step();
  int Draw(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random);
  }
  tracked_session* Find(int number) {
    for (const auto& each : sessions) {
      if (each->number == number) {
        return each.get();
      }
    }
    return nullptr;
  }

  std::mt19937 random;
  /// How many of 100 commands servers refuse as busy, without running them.
  int busy_percent = 0;
  std::vector<std::unique_ptr<true_connection>> connections;
  /// Freed first, because sessions release their connections.
  std::vector<std::unique_ptr<tracked_session>> sessions;
  /// The first fault that a server saw; empty if there is none.
  std::string broken;
  int statements = 0;

 private:
  std::unique_ptr<tracked_session> NewSession() {
    static constexpr const char* kDatabases[] = {"primary", "bounded", "own"};
    return std::make_unique<tracked_session>(kDatabases[Draw(3)],
                                             ++last_number_);
  }
  void SendNext(tracked_session& session);
  void Connect(tracked_session& session);
  void StepSession(std::unique_ptr<tracked_session>& session);

  int last_number_ = 0;
  int last_statement_ = 0;
};

std::string true_connection::RunStatement(int number, const std::string& text) {
  tracked_session* session = servers_.Find(number);
  if (session == nullptr) {
    return "COMPLETE gone";
  }
  servers_.statements += 1;
  if (session->values != values_) {
    servers_.broken = "other values for " + text;
  }
  if (in_transaction_ && owner_ != 0 && owner_ != number) {
    servers_.broken = "transaction of another session for " + text;
  }
  owner_ = number;
  return "COMPLETE 1";
}

std::string true_connection::Run(const std::string& id,
                                 const std::string& text) {
  if (servers_.Draw(100) < servers_.busy_percent) {
    return "ERROR BUSY full";
  }
  const std::string verb = text.substr(0, text.find(' '));
  const std::string rest =
      verb.size() < text.size() ? text.substr(verb.size() + 1) : "";
  const std::string first = rest.substr(0, rest.find(' '));
  if (verb == "WAITLSN") {
    return Run(id, rest.substr(first.size() + 1));
  }
  if (verb == "ROLLBACK") {
    const bool open = std::exchange(in_transaction_, false);
    return open ? "COMPLETE -" : "ERROR MALFORMED no transaction";
  }
  if (in_transaction_ && has_failed_) {
    in_transaction_ = verb != "COMMIT";
    return "ERROR MALFORMED failed";
  }
  if (in_transaction_ && is_plain_ && has_lost_lead_ && verb != "COMMIT") {
    has_failed_ = true;
    return "ERROR READONLY " + server_;
  }
  if (verb == "SET") {
    values_[first] = rest.substr(first.size() + 1);
    return "COMPLETE -";
  }
  if (verb == "PREPARE") {
    shapes_[first] = rest.substr(rest.rfind(' ') + 1);
    return "COMPLETE -";
  }
  if (verb == "RESET") {
    values_.clear();
    shapes_.clear();
    return "COMPLETE -";
  }
  if (verb == "BEGIN") {
    has_failed_ = false;
    owner_ = 0;
    is_plain_ = first != "READ";
    has_lost_lead_ = false;
    if (is_plain_ && server_ != "a") {
      return "ERROR READONLY " + server_;
    }
    in_transaction_ = true;
    return "COMPLETE -";
  }
  std::string answer = RunStatement(std::stoi(id), text);
  if (verb == "EXECUTE") {
    const tracked_session* session = servers_.Find(std::stoi(id));
    const auto found = shapes_.find(first);
    if (found == shapes_.end()) {
      return "ERROR NOSTMT " + first;
    }
    if (session != nullptr && session->shapes.at("s") != found->second) {
      servers_.broken = "other shape for " + text;
    }
  }
  if (verb == "COMMIT") {
    in_transaction_ = false;
  }
  return answer;
}

void true_connection::Step() {
  if (closed || commands_.empty()) {
    return;
  }
  const std::string command = commands_.front();
  commands_.pop_front();
  const std::size_t id = command.find(' ') + 1;
  const std::size_t text = command.find(' ', id) + 1;
  const std::string answer =
      Run(command.substr(id, text - id - 1), command.substr(text));
  const char* ready = !in_transaction_ ? "READY I 1.9"
                      : has_failed_    ? "READY E 1.9"
                                       : "READY T 1.9";
  if (in_transaction_ && servers_.Draw(12) == 0) {
    has_lost_lead_ = true;
  }
  if (command.ends_with("ROLLBACK") && in_transaction_) {
    // The connection can't be used any more.
    Cut();
    return;
  }
  if (user != nullptr) {
    last_received = user->host.now;
    user->AnswerLines({answer, ready});
  } else if (commands_.empty() && in_transaction_) {
    closed = true;
  }
}

void shared_servers::SendNext(tracked_session& session) {
  session.host.TakeReplies();
  const std::string head = "QUERY " + std::to_string(session.number) + "." +
                           std::to_string(++last_statement_) + " ";
  const std::string name(1, static_cast<char>('x' + Draw(3)));
  const std::string value = std::to_string(Draw(3));
  switch (Draw(9)) {
    case 0:
      session.SendLine(head + "SET " + name + " " + value);
      if (session.host.TakeReplies().starts_with("COMPLETE")) {
        session.values[name] = value;
      }
      return;
    case 1:
      session.SendLine(head + "PREPARE s " + "READ " + name);
      if (session.host.TakeReplies().starts_with("COMPLETE")) {
        session.shapes["s"] = name;
      }
      return;
    case 2:
      session.SendLine(head + "BEGIN");
      return;
    case 3:
      session.SendLine(head + "ROLLBACK");
      return;
    case 4:
      session.SendLine(head + "COMMIT");
      return;
    case 5:
      session.SendLine(head + "WRITE 1 " + value);
      return;
    case 6:
      session.SendLine(head + "EXECUTE s 1");
      return;
    default:
      session.SendLine(head + "READ 1");
      return;
  }
}

void shared_servers::Connect(tracked_session& session) {
  const std::string server =
      session.host.need->leader || Draw(2) == 0 ? "a" : "b";
  session.host.need.reset();
  true_connection* chosen = nullptr;
  for (const auto& each : connections) {
    if (each->IsFree() && each->Server() == server) {
      chosen = each.get();
    }
  }
  if (chosen == nullptr) {
    connections.push_back(std::make_unique<true_connection>(server, *this));
    chosen = connections.back().get();
  }
  chosen->user = &session;
  session.engine.OnConnection(*chosen);
}

void shared_servers::StepSession(std::unique_ptr<tracked_session>& session) {
  session->host.now += core::milliseconds(5);
  session->host.group.OnLeaderSeen("a", 1, session->host.now);
  if (session->host.need.has_value()) {
    Connect(*session);
  } else if (session->host.check_pending && Draw(2) == 0) {
    session->EndCheck(Draw(8) == 0
                          ? replication::leadership_result::kUnproven
                          : replication::leadership_result::kConfirmed);
  } else if (session->engine.IsIdle()) {
    SendNext(*session);
  } else if (session->host.timer.has_value() && Draw(40) == 0) {
    session->host.now = *session->host.timer;
    session->engine.OnTimer();
  }
  if (session->host.closed || Draw(60) == 0) {
    session->engine.OnCallerDisconnected();
    session = NewSession();
  }
}

void shared_servers::Step() {
  StepSession(sessions[static_cast<std::size_t>(Draw(kSessions))]);
  for (std::size_t i = 0; i < connections.size(); ++i) {
    if (Draw(2) == 0) {
      connections[i]->Step();
    }
    if (Draw(400) == 0) {
      connections[i]->Cut();
    }
  }
}

/// Plays all seeds until the first fault of each.
/// @return how many statements were run.
int PlaySeeds(int busy_percent) {
  int statements = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    shared_servers run(static_cast<std::uint32_t>(seed));
    run.busy_percent = busy_percent;
    for (int step = 0; step < kSteps && run.broken.empty(); ++step) {
      run.Step();
    }
    CHECK(run.broken == "");
    statements += run.statements;
  }
  return statements;
}

}  // namespace

// Statements ran with the session values, the prepared statements or in the
// transaction of another client that had used the connection (PINNED, review
// case 3).
TEST_CASE("session values: sessions that share connections keep their own") {
  CHECK(PlaySeeds(0) > kSeeds * 20);
}

// Servers refused RESET, SET or PREPARE and ran the statement that had been
// sent behind it, with the values of another client (PINNED, review case 13).
TEST_CASE("session values: no statement runs without its refused set-up") {
  CHECK(PlaySeeds(8) > kSeeds * 20);
}

}  // namespace plantaintiller::sessions
