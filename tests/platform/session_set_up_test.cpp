// Set-up of a shared connection that its server refuses. Guards against
// statements that run although a SET, RESET or PREPARE before them was refused,
// with the values of another client (PINNED, review case 13).
#include <doctest/doctest.h>

#include <map>
#include <string>

#include "plantaintiller/sessions/session_engine.h"
#include "tests/platform/session_fixture.h"

namespace plantaintiller::sessions {

namespace {

using value_map = std::map<std::string, std::string>;

constexpr const char* kTest = "QUERY - BEGIN\r\nQUERY - ROLLBACK\r\n";

/// A session with the value x = 5.
struct valued_session : session_fixture {
  explicit valued_session(const std::string& database)
      : session_fixture(database) {
    SendLine("QUERY 1 SET x 5");
    host.TakeReplies();
  }
  /// Answers that the value is set, behind earlier positions.
  void AnswerSet() { AnswerLines({"COMPLETE -", "READY I 3.5"}); }
  void AnswerTest() {
    AnswerLines({"COMPLETE -", "READY T 3.5", "COMPLETE -", "READY I 3.5"});
  }
  void RefuseSet() { AnswerLines({"ERROR BUSY full", "READY I 3.5"}); }
};

/// The same in an open transaction, in which a statement was answered and the
/// value changed afterwards.
struct valued_transaction : valued_session {
  valued_transaction() : valued_session("primary") {
    SendLine("QUERY 2 BEGIN");
    SendLine("QUERY 3 READ k");
    GrantConnection("a");
    AnswerLines({"COMPLETE -", "READY I 3.5", "COMPLETE -", "READY T 3.5"});
    ConfirmLeader();
    AnswerLines({"DATAROW v", "COMPLETE r.3", "READY T 3.5"});
    SendLine("QUERY 4 SET x 6");
    host.TakeReplies();
    Connection().TakeSent();
    SendLine("QUERY 5 WRITE k v");
  }
  fake_connection& Connection() { return *connections.back(); }
  void Refuse(const std::string& code) {
    AnswerLines({"ERROR " + code, "READY T 3.5"});
  }
};

}  // namespace

TEST_CASE("session set-up: a read at a replica waits, and is sent elsewhere") {
  valued_session session("bounded");
  session.host.group.Proofs().OnProof(session.host.now, {3, 5});
  session.SendLine("QUERY 2 READ k");
  fake_connection& refusing = session.GrantConnection("b");
  CHECK(refusing.TakeSent() ==
        "QUERY - SET x 5\r\nQUERY - WAITLSN 3.5 BEGIN READ\r\n"
        "QUERY - ROLLBACK\r\n");
  session.RefuseSet();
  session.AnswerTest();
  CHECK(refusing.TakeSent().empty());
  CHECK(refusing.released == release_kind::kClean);
  REQUIRE(session.host.need.has_value());
  CHECK(session.host.need->excluded == std::vector<std::string>{"b"});
  CHECK(session.host.logged_events ==
        std::vector<std::string>{"set_up_refused", "retry"});
  CHECK(session.host.events["set_up_refusals"] == 1);
}

TEST_CASE("session set-up: a write waits") {
  valued_session session("own");
  session.SendLine("QUERY 2 WRITE k v");
  fake_connection& connection = session.GrantConnection("a");
  CHECK(connection.TakeSent() == std::string("QUERY - SET x 5\r\n") + kTest);
  SUBCASE("and is sent again after a refusal") {
    session.RefuseSet();
    session.AnswerTest();
    CHECK(connection.TakeSent().empty());
    CHECK(connection.released.has_value());
    session.engine.OnTimer();
    CHECK(session.host.need.has_value());
  }
  SUBCASE("and is sent once the value is set") {
    session.AnswerSet();
    CHECK(connection.TakeSent().empty());
    session.AnswerTest();
    CHECK(connection.TakeSent() == "QUERY 2 WRITE k v\r\n");
    CHECK(session.host.events["set_up_waits"] == 1);
  }
}

TEST_CASE("session set-up: a read at the leader waits") {
  valued_session session("primary");
  session.SendLine("QUERY 2 READ k");
  fake_connection& connection = session.GrantConnection("a");
  CHECK(connection.TakeSent() == std::string("QUERY - SET x 5\r\n") + kTest);
  SUBCASE("and is not sent after a refusal") {
    session.RefuseSet();
    session.AnswerTest();
    CHECK(connection.TakeSent().empty());
    CHECK(connection.released.has_value());
    CHECK(session.host.checks_requested == 0);
  }
  SUBCASE("and its leader is checked after the set-up") {
    session.AnswerSet();
    CHECK(session.host.checks_requested == 0);
    session.AnswerTest();
    CHECK(connection.TakeSent() == std::string(kTest) + "QUERY 2 READ k\r\n");
    CHECK(session.host.checks_requested == 1);
  }
}

TEST_CASE("session set-up: a statement in a transaction waits") {
  valued_transaction session;
  CHECK(session.Connection().TakeSent() == "QUERY - SET x 6\r\n");
  SUBCASE("and is sent once the value is set") {
    session.AnswerLines({"COMPLETE -", "READY T 3.5"});
    CHECK(session.Connection().TakeSent() == "QUERY 5 WRITE k v\r\n");
  }
  SUBCASE("and the value is sent again to a busy server") {
    session.Refuse("BUSY full");
    CHECK(session.Connection().TakeSent().empty());
    CHECK(session.host.permits_released == 2);
    session.AdvanceTime(session.settings.busy_pause);
    session.engine.OnTimer();
    CHECK(session.Connection().TakeSent() == "QUERY - SET x 6\r\n");
  }
  SUBCASE("and the transaction ends if it is open whether the value was set") {
    session.Refuse("FAILED disk");
    CHECK(session.host.TakeReplies().starts_with("ERROR ABORTED failed"));
    CHECK(session.Connection().released == release_kind::kRollBack);
    CHECK(!session.Connection().State().is_known);
  }
  SUBCASE("and the transaction ends if its server has lost the lead") {
    session.Refuse("READONLY a");
    CHECK(session.host.TakeReplies().starts_with("ERROR ABORTED read_only"));
    CHECK(session.host.not_leader == std::vector<std::string>{"a"});
  }
  SUBCASE("and the transaction ends without an answer") {
    REQUIRE(session.host.timer.has_value());
    session.host.now = *session.host.timer;
    session.engine.OnTimer();
    CHECK(session.host.TakeReplies().starts_with("ERROR ABORTED timeout"));
    CHECK(session.Connection().released == release_kind::kBroken);
  }
  SUBCASE("and the transaction ends at a planned stop") {
    session.engine.RefuseFurtherWork("shutdown");
    session.AnswerLines({"COMPLETE -", "READY T 3.5"});
    CHECK(session.Connection().TakeSent().empty());
    CHECK(session.host.TakeReplies().starts_with("ERROR ABORTED shutdown"));
  }
}

TEST_CASE("session set-up: a commit waits for values of its transaction") {
  valued_transaction session;
  session.AnswerLines(
      {"COMPLETE -", "READY T 3.5", "COMPLETE w.5", "READY T 3.5"});
  session.host.TakeReplies();
  session.SendLine("QUERY 6 SET x 7");
  session.Connection().TakeSent();
  session.SendLine("QUERY 7 COMMIT");
  CHECK(session.Connection().TakeSent() == "QUERY - SET x 7\r\n");
  session.host.TakeReplies();
  session.Refuse("FAILED disk");
  CHECK(session.Connection().TakeSent().empty());
  CHECK(session.host.TakeReplies().starts_with("ERROR ABORTED failed"));
  CHECK(!session.engine.InTransaction());
}

TEST_CASE("session set-up: a prepared statement waits for its preparation") {
  session_fixture session("bounded");
  session.host.group.Proofs().OnProof(session.host.now, {3, 5});
  session.SendLine("QUERY 1 PREPARE s READ q");
  session.SendLine("QUERY 2 EXECUTE s k");
  fake_connection& refusing = session.GrantConnection("b");
  CHECK(refusing.TakeSent().find("EXECUTE") == std::string::npos);
  session.AnswerLines({"ERROR BUSY full", "READY I 3.5", "COMPLETE -",
                       "READY T 3.5", "COMPLETE -", "READY I 3.5"});
  CHECK(refusing.State().prepared.empty());
  CHECK(refusing.State().is_known);
  CHECK(refusing.TakeSent().empty());
}

// A refused command changed the record of the connection as if it had been run.
TEST_CASE("session set-up: the record of a connection is what its server has") {
  valued_session session("bounded");
  session.host.group.Proofs().OnProof(session.host.now, {3, 5});
  session.SendLine("QUERY 2 READ k");
  session.connections.push_back(std::make_unique<fake_connection>("b"));
  fake_connection& used = *session.connections.back();
  used.last_received = session.host.now;
  used.State().values = {{"y", "1"}};
  session.engine.OnConnection(used);
  SUBCASE("after a clear refusal") {
    session.RefuseSet();
    session.AnswerSet();
    session.AnswerTest();
    CHECK(used.State().is_known);
    CHECK(used.State().values == value_map{{"x", "5"}, {"y", "1"}});
  }
  SUBCASE("or it is closed if a refused command may have run") {
    session.AnswerLines({"ERROR FAILED disk", "READY I 3.5"});
    session.AnswerSet();
    session.AnswerTest();
    CHECK(!used.State().is_known);
  }
  CHECK(used.released.has_value());
  CHECK(used.TakeSent().find("READ k") == std::string::npos);
}

// A repeated answer stood for the success of a value, and its refusal for that
// of the transaction behind it, so that the connection seemed to have the
// value.
TEST_CASE("session set-up: a refusal behind a repeated answer leaves it open") {
  valued_session session("bounded");
  session.host.group.Proofs().OnProof(session.host.now, {3, 5});
  session.SendLine("QUERY 2 READ k");
  fake_connection& connection = session.GrantConnection("b");
  server_reply repeated;
  repeated.succeeded = true;
  repeated.may_be_repeated = true;
  session.engine.OnReply(repeated);
  session.RefuseSet();
  session.RefuseSet();
  CHECK(connection.released.has_value());
  CHECK(!connection.State().is_known);
}

}  // namespace plantaintiller::sessions
