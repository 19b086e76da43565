// What a connection to a server carries when a session releases it.
#include "plantaintiller/gateway/server_link.h"

#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "platform/server_line_codec.h"

namespace plantaintiller::gateway {

using boost::asio::ip::tcp;
using sessions::command_kind;

namespace {

/// Counts the events of a link.
struct recording_listener : server_link_listener {
  void OnLinkIdle(server_link&, link_phase) override { idle += 1; }
  void OnLinkClosed(server_link&, link_close_reason, link_phase) override {
    closed += 1;
  }
  void OnLinkFault(server_link&, link_fault fault, int) override {
    faults.emplace_back(LinkFaultName(fault));
  }
  int idle = 0;
  int closed = 0;
  std::vector<std::string> faults;
};

struct recording_replies : sessions::reply_listener {
  void OnReply(sessions::server_reply reply) override {
    replies += 1;
    outcomes.push_back(reply.succeeded ? reply.receipt : reply.failure_text);
  }
  void OnConnectionLost() override {}
  int replies = 0;
  /// The receipt or the failure of each.
  std::vector<std::string> outcomes;
};

/// An acquired link to a server on loopback that the test plays by hand.
class acquired_link {
 private:
  // Freed after the link, which uses them.
  boost::asio::io_context context_;
  platform::server_line_codec codec_;

 public:
  acquired_link()
      : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        server_(context_) {
    acceptor_.async_accept(server_, [](boost::system::error_code) {});
    link = server_link::Open(
        context_, codec_,
        {"g", "a", "127.0.0.1", acceptor_.local_endpoint().port(), ""},
        listener);
    TakeLine();
    Answer("READY I 1.1");
    RunUntil([this] { return listener.idle == 1; });
    link->Acquire(session);
  }

  /// Sends a command, to which the server gives an answer of two lines.
  void Exchange(const std::string& command,
                sessions::command_kind kind,
                const std::string& answer) {
    const int expected = session.replies + 1;
    Send(command, kind);
    Answer(answer);
    RunUntil([&] { return session.replies == expected; });
  }
  /// Sends a command and lets the server receive it.
  void Send(const std::string& command, sessions::command_kind kind) {
    link->Send(command + "\r\n", {kind});
    CHECK(TakeLine() == command);
  }
  bool HasReceivedLines() { return server_.available() > 0; }
  /// @return the next line that the server receives, without its end.
  std::string TakeLine() {
    RunUntil([this] { return server_.is_open() && server_.available() > 0; });
    const std::size_t size = boost::asio::read_until(
        server_, boost::asio::dynamic_buffer(received_), "\r\n");
    std::string line = received_.substr(0, size - 2);
    received_.erase(0, size);
    return line;
  }
  void Answer(const std::string& lines) {
    boost::asio::write(server_, boost::asio::buffer(lines + "\r\n"));
  }
  /// Gives up after some seconds, so that a fault ends the test.
  template <class condition>
  void RunUntil(condition holds) {
    for (int event = 0; event < 1000 && !holds(); ++event) {
      context_.restart();
      context_.run_one_for(core::milliseconds(5));
    }
    REQUIRE(holds());
  }

  recording_listener listener;
  recording_replies session;
  std::shared_ptr<server_link> link;

 private:
  tcp::acceptor acceptor_;
  tcp::socket server_;
  std::string received_;
};

}  // namespace

// A connection with refused set-up was given to another client, whose
// statements ran with values that it had not set (PINNED, review case 3).
TEST_CASE("server link: with unknown session values it is not used again") {
  acquired_link test;
  test.Exchange("QUERY - SET x 5", command_kind::kSetting,
                "ERROR READONLY a\r\nREADY I 1.1");
  test.link->State().is_known = false;
  test.link->Release(sessions::release_kind::kRollBack);
  CHECK(test.listener.closed == 1);
  CHECK(test.listener.idle == 1);
}

// The second answer to an earlier command was taken for the success of refused
// set-up, and the next statement ran with other values (PINNED).
TEST_CASE(
    "server link: set-up that may be answered by a repetition is tested") {
  const std::string done = "COMPLETE -\r\nREADY I 1.1";
  acquired_link test;
  test.Exchange("QUERY - SET x 4", command_kind::kSetting, done);
  test.Send("QUERY - SET x 5", command_kind::kSetting);
  test.Answer(done);
  CHECK(test.TakeLine() == "QUERY - PAUSE 0");
  CHECK(test.session.replies == 1);
  test.Answer("ERROR BUSY full\r\nREADY I 1.1");
  test.RunUntil([&] { return test.listener.closed == 1; });
  CHECK(test.session.replies == 1);
}

// A connection that a refused statement had left in a failed transaction was
// given to another client, whose statements were refused as malformed.
TEST_CASE("server link: a failed transaction is rolled back before reuse") {
  acquired_link test;
  test.Exchange("QUERY 1 EXECUTE s 1a4", command_kind::kStatement,
                "ERROR READONLY a\r\nREADY E 1.1");
  test.link->Release(sessions::release_kind::kClean);
  CHECK(test.listener.idle == 1);
  CHECK(test.TakeLine() == "QUERY - ROLLBACK");
  test.Answer("COMPLETE -\r\nREADY I 1.1");
  test.RunUntil([&] { return test.listener.idle == 2; });
  CHECK(test.listener.closed == 0);
}

// A connection whose roll-back was refused was given to another client, whose
// statements ran in the transaction that was still open.
TEST_CASE("server link: after a refused roll-back it is not used again") {
  acquired_link test;
  test.Exchange("QUERY - BEGIN", command_kind::kBegin,
                "COMPLETE -\r\nREADY T 1.1");
  test.link->Release(sessions::release_kind::kRollBack);
  CHECK(test.TakeLine() == "QUERY - ROLLBACK");
  test.Answer("ERROR BUSY full\r\nREADY T 1.1");
  test.RunUntil([&] { return test.listener.closed == 1; });
  CHECK(test.listener.idle == 1);
}

// Guards against the answer of a read that ran in the empty transaction which
// tests its leader, because the roll-back before it was refused.
TEST_CASE("server link: a read behind a refused roll-back has no answer") {
  acquired_link test;
  test.link->Send("QUERY - BEGIN\r\nQUERY - ROLLBACK\r\nQUERY 7 READ k\r\n",
                  {command_kind::kBegin, command_kind::kRollback,
                   command_kind::kStatement});
  test.Answer("COMPLETE -\r\nREADY T 1.1");
  test.Answer("ERROR BUSY full\r\nREADY T 1.1");
  test.Answer("DATAROW v\r\nCOMPLETE r.7\r\nREADY T 1.1");
  test.RunUntil([&] { return test.listener.closed == 1; });
  CHECK(test.session.outcomes == std::vector<std::string>{"-"});
}

// A late second answer was passed on as the answer to the next statement, and
// each caller from then on got that of the one before (MIXED).
TEST_CASE("server link: a second answer is not that of the next statement") {
  acquired_link test;
  const std::string first = "DATAROW x\r\nCOMPLETE r.1\r\nREADY I 1.1";
  test.Exchange("QUERY 1 READ a", command_kind::kStatement, first);
  test.Send("QUERY 2 READ b", command_kind::kStatement);
  test.Answer(first);
  test.Answer("DATAROW y\r\nCOMPLETE r.2\r\nREADY I 1.1");
  test.RunUntil([&] { return test.session.replies == 2; });
  CHECK(test.session.outcomes == std::vector<std::string>{"r.1", "r.2"});
  CHECK(test.listener.faults == std::vector<std::string>{"repeated_answer"});
  test.link->Release(sessions::release_kind::kClean);
  CHECK(test.listener.idle == 2);
}

// The second refusal of an earlier statement was taken for that of a write,
// which ran all the same and was run again at another server.
TEST_CASE("server link: a second refusal is not that of the next statement") {
  acquired_link test;
  const std::string refusal = "ERROR BUSY full\r\nREADY I 1.1";
  test.Exchange("QUERY 1 WRITE a 1", command_kind::kStatement, refusal);
  test.Send("QUERY 2 WRITE b 1", command_kind::kStatement);
  test.Answer(refusal);
  test.RunUntil([&] { return test.HasReceivedLines(); });
  CHECK(test.session.replies == 1);
  test.Answer("COMPLETE r.2\r\nREADY I 1.2");
  test.RunUntil([&] { return test.listener.closed == 1; });
  CHECK(test.session.replies == 1);
  CHECK(test.listener.faults == std::vector<std::string>{"out_of_step"});
}

TEST_CASE("server link: a refusal like an earlier one is passed on") {
  acquired_link test;
  const std::string refusal = "ERROR BUSY full\r\nREADY I 1.1";
  test.Exchange("QUERY 1 WRITE a 1", command_kind::kStatement, refusal);
  test.Send("QUERY 2 WRITE b 1", command_kind::kStatement);
  test.Answer(refusal);
  CHECK(test.TakeLine() == "QUERY - PAUSE 0");
  CHECK(test.session.replies == 1);
  test.Answer("DATAROW primary 1 1.1 0 0 1 1\r\nCOMPLETE -\r\nREADY I 1.1");
  test.RunUntil([&] { return test.session.replies == 2; });
  CHECK(test.session.outcomes.back() == "BUSY full");
  CHECK(test.listener.faults.empty());
}

// The second answer to an earlier BEGIN was taken for that of a later one,
// which was refused: what followed ran outside of a transaction.
TEST_CASE("server link: a second answer to BEGIN begins no transaction") {
  acquired_link test;
  const std::string begun = "COMPLETE -\r\nREADY T 1.1";
  test.Exchange("QUERY - BEGIN", command_kind::kBegin, begun);
  test.Exchange("QUERY - ROLLBACK", command_kind::kRollback,
                "COMPLETE -\r\nREADY I 1.1");
  test.Send("QUERY - BEGIN", command_kind::kBegin);
  test.Answer(begun);
  CHECK(test.TakeLine() == "QUERY - PAUSE 0");
  test.Answer("ERROR BUSY full\r\nREADY I 1.1");
  test.RunUntil([&] { return test.listener.closed == 1; });
  CHECK(test.session.replies == 2);
}

// The answer to an earlier status query was taken for that of the test.
TEST_CASE("server link: a test that is answered as before is repeated") {
  acquired_link test;
  const std::string refusal = "ERROR BUSY full\r\nREADY I 1.1";
  const std::string status =
      "DATAROW primary 1 1.1 0 0 1 1\r\nCOMPLETE -\r\nREADY I 1.1";
  test.Exchange("QUERY - PAUSE 0", command_kind::kStatus, status);
  test.Exchange("QUERY 1 WRITE a 1", command_kind::kStatement, refusal);
  test.Send("QUERY 2 WRITE b 1", command_kind::kStatement);
  test.Answer(refusal);
  CHECK(test.TakeLine() == "QUERY - PAUSE 0");
  test.Answer(status);
  CHECK(test.TakeLine() == "QUERY - PAUSE 0");
  CHECK(test.session.replies == 2);
  test.Answer("COMPLETE r.2\r\nREADY I 1.2");
  test.RunUntil([&] { return test.listener.closed == 1; });
  CHECK(test.session.replies == 2);
}

// A second answer that came while a connection was idle closed it.
TEST_CASE("server link: a second answer between two sessions does no harm") {
  acquired_link test;
  const std::string first = "COMPLETE r.1\r\nREADY I 1.1";
  test.Exchange("QUERY 1 WRITE a 1", command_kind::kStatement, first);
  test.link->Release(sessions::release_kind::kClean);
  test.Answer(first);
  test.RunUntil([&] { return !test.listener.faults.empty(); });
  CHECK(test.listener.closed == 0);
  test.Answer("COMPLETE r.9\r\nREADY I 1.1");
  test.RunUntil([&] { return test.listener.closed == 1; });
  CHECK(test.listener.faults.back() == "unexpected_answer");
}

}  // namespace plantaintiller::gateway
