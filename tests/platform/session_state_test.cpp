// What a pooled connection keeps of a session, and the end of a session at a
// planned stop.
#include <doctest/doctest.h>

#include "plantaintiller/sessions/session_engine.h"
#include "tests/platform/session_fixture.h"

namespace plantaintiller::sessions {

namespace {

/// Longer than a connection may be silent before a write is sent on it.
constexpr core::milliseconds kSilence{2000};

/// A session with a value and an open transaction at "a", of which one
/// statement has been answered.
struct transaction_session : session_fixture {
  transaction_session() : session_fixture("primary") {
    SendLine("QUERY 1 BEGIN");
    host.TakeReplies();
    SendLine("QUERY 2 READ 1a4");
    GrantConnection("a");
    AnswerLines({"COMPLETE -", "READY T 1.10"});
    ConfirmLeader();
    AnswerLines({"DATAROW x", "COMPLETE 1.2.3", "READY T 1.10"});
  }
  fake_connection& Connection() { return *connections.back(); }
};

}  // namespace

// Set-up that was refused because the database had lost the lead emptied the
// record of the connection's values, and other clients used the connection with
// these values (PINNED, review case 3).
TEST_CASE("session state: a connection with refused set-up is not used again") {
  session_fixture session("primary");
  session.SendLine("QUERY 1 SET x 5");
  session.host.TakeReplies();
  session.SendLine("QUERY 2 BEGIN");
  session.host.TakeReplies();
  session.SendLine("QUERY 3 READ 1a4");
  fake_connection& connection = session.GrantConnection("a");
  CHECK(connection.TakeSent().find("SET x 5") != std::string::npos);
  session.AnswerLines(
      {"ERROR READONLY a", "READY I 1.10", "COMPLETE -", "READY T 1.10"});
  REQUIRE(connection.released.has_value());
  CHECK(!connection.State().is_known);
}

TEST_CASE("session state: set-up without an answer leaves it unknown") {
  session_fixture session("primary");
  session.SendLine("QUERY 1 SET x 5");
  session.host.TakeReplies();
  session.SendLine("QUERY 2 READ 1a4");
  fake_connection& connection = session.GrantConnection("a");
  session.engine.OnCallerDisconnected();
  REQUIRE(connection.released.has_value());
  CHECK(!connection.State().is_known);
}

// A transaction that waited for an answer at half of the grace period went on,
// and the process ended in the middle of one of its statements (LOST, review
// case 5).
TEST_CASE("session stop: a transaction that waits for an answer ends with it") {
  transaction_session session;
  session.host.TakeReplies();
  session.SendLine("QUERY 4 READ 1a5");
  session.engine.RefuseFurtherWork("shutdown");
  session.AnswerLines({"DATAROW y", "COMPLETE 1.2.4", "READY T 1.10"});
  CHECK(session.host.TakeReplies().find("COMPLETE 1.2.4") != std::string::npos);
  CHECK(session.Connection().released == release_kind::kRollBack);
  session.SendLine("QUERY 5 READ 1a6");
  CHECK(session.host.TakeReplies().starts_with("ERROR ABORTED shutdown"));
}

TEST_CASE("session stop: a commit that waits for its answer gets it") {
  transaction_session session;
  session.host.TakeReplies();
  session.SendLine("QUERY 4 COMMIT");
  session.engine.RefuseFurtherWork("shutdown");
  session.AnswerLines({"COMPLETE 1.2.4", "READY I 1.10"});
  CHECK(session.host.TakeReplies().find("COMPLETE 1.2.4") != std::string::npos);
  CHECK(!session.engine.InTransaction());
}

// A statement that waited for a connection was sent shortly before the process
// ended, or never answered.
TEST_CASE("session stop: a statement that was not sent is refused at once") {
  session_fixture session("primary");
  session.SendLine("QUERY 1 BEGIN");
  session.host.TakeReplies();
  session.SendLine("QUERY 2 READ 1a4");
  REQUIRE(session.host.need.has_value());
  session.engine.RefuseFurtherWork("shutdown");
  CHECK(!session.host.need.has_value());
  CHECK(session.host.TakeReplies().starts_with("ERROR ABORTED shutdown"));
  CHECK(session.engine.IsIdle());
}

// A caller that sends ahead began a transaction after half of the grace period,
// and the process ended in the middle of one of its statements.
TEST_CASE("session stop: no transaction begins after the last one has ended") {
  transaction_session session;
  session.host.TakeReplies();
  session.engine.RefuseFurtherWork("shutdown");
  session.SendLine("QUERY 4 ROLLBACK");
  session.host.TakeReplies();
  session.host.need.reset();
  session.SendLine("QUERY 5 BEGIN");
  CHECK(session.host.TakeReplies().starts_with("ERROR BUSY shutdown"));
  CHECK(!session.engine.InTransaction());
}

// A single statement that waited for a connection when a planned stop ended got
// no answer.
TEST_CASE("session stop: a single statement that was not sent is refused") {
  session_fixture session("primary");
  session.SendLine("QUERY 1 WRITE 1a4 x");
  REQUIRE(session.host.need.has_value());
  session.engine.RefuseFurtherWork("shutdown");
  CHECK(!session.host.need.has_value());
  CHECK(session.host.TakeReplies().starts_with("ERROR BUSY shutdown"));
}

// A single statement behind others that were sent ahead was sent shortly before
// the process ended.
TEST_CASE("session stop: a single statement that follows is refused") {
  session_fixture session("primary");
  session.engine.RefuseFurtherWork("shutdown");
  session.SendLine("QUERY 1 WRITE 1a4 x");
  CHECK(!session.host.need.has_value());
  CHECK(session.host.TakeReplies().starts_with("ERROR BUSY shutdown"));
}

// A request that a server had refused was sent once more shortly before the
// process ended.
TEST_CASE("session stop: a refused request is not sent again") {
  session_fixture session("primary");
  session.SendLine("QUERY 1 WRITE 1a4 x");
  session.GrantConnection("a");
  session.engine.RefuseFurtherWork("shutdown");
  session.AnswerLines({"ERROR READONLY a", "READY I 1.10"});
  CHECK(!session.host.need.has_value());
  CHECK(session.host.TakeReplies().starts_with("ERROR BUSY shutdown"));
}

// The write behind the test of a silent connection was sent shortly before the
// process ended.
TEST_CASE("session stop: a write behind the test of a connection is refused") {
  session_fixture session("primary");
  session.SendLine("QUERY 1 WRITE 1a4 x");
  fake_connection& connection = session.GrantConnection("a", kSilence);
  session.engine.RefuseFurtherWork("shutdown");
  connection.TakeSent();
  session.AnswerLines(
      {"COMPLETE -", "READY T 1.10", "COMPLETE -", "READY I 1.10"});
  CHECK(connection.TakeSent().empty());
  CHECK(session.host.TakeReplies().starts_with("ERROR BUSY shutdown"));
}

}  // namespace plantaintiller::sessions
