#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "platform/caller_line_codec.h"
#include "platform/line.h"
#include "platform/server_line_codec.h"

namespace platform {

using plantaintiller::sessions::caller_message;
using plantaintiller::sessions::failure_code;
using plantaintiller::sessions::kMaxMessageBytes;
using plantaintiller::sessions::server_reply;
using plantaintiller::sessions::session_state;
using plantaintiller::sessions::statement_kind;
using message_kind = caller_message::message_kind;

TEST_CASE("line codec: statements are parsed") {
  const auto read = [](const char* text) { return ParseStatement("1", text); };
  CHECK(read("BEGIN").kind == statement_kind::kBegin);
  CHECK(read("BEGIN READ").kind == statement_kind::kBeginReadOnly);
  CHECK(read("BEGIN WRITE").kind == statement_kind::kUnknown);
  CHECK(read("COMMIT").kind == statement_kind::kCommit);
  CHECK(read("ROLLBACK").kind == statement_kind::kRollback);
  CHECK(read("READ 1a4").kind == statement_kind::kRead);
  CHECK(read("WRITE 1a4 a b").kind == statement_kind::kWrite);
  CHECK(read("SET x a b").name == "x");
  CHECK(read("SET x a b").rest == "a b");
  CHECK(read("PREPARE s1 WRITE q2c").writes);
  CHECK(read("PREPARE s1 READ q2c").rest == "q2c");
  CHECK(read("PREPARE s1 CALL q2c").kind == statement_kind::kUnknown);
  CHECK(read("EXECUTE s1 1a4 x").rest == "1a4 x");
  CHECK(read("DEALLOC s1").kind == statement_kind::kDeallocate);
  CHECK(read("").kind == statement_kind::kUnknown);
}

TEST_CASE("line codec: a message is decoded only when it is complete") {
  caller_line_codec codec;
  const std::string whole = "QUERY 7 READ 1a4\r\nQUERY 8 COMMIT\r\n";
  std::string buffer;
  std::vector<std::string> ids;
  for (const char each : whole) {
    buffer += each;
    while (const auto message = codec.Take(buffer)) {
      ids.push_back(message->request.id);
    }
  }
  CHECK(ids == std::vector<std::string>{"7", "8"});
  CHECK(buffer.empty());
}

TEST_CASE("line codec: oversized and malformed messages are distinguished") {
  caller_line_codec codec;
  std::string endless(kMaxMessageBytes + 1, 'x');
  CHECK(codec.Take(endless)->kind == message_kind::kTooLarge);
  std::string big =
      "QUERY 1 WRITE a " + std::string(kMaxMessageBytes, 'x') + "\r\n";
  CHECK(codec.Take(big)->kind == message_kind::kTooLarge);
  for (const char* line :
       {"\r\n", "HELLO\r\n", "QUERY\r\n", "query 1 READ\r\n"}) {
    std::string buffer = line;
    CHECK(codec.Take(buffer)->kind == message_kind::kMalformed);
  }
}

TEST_CASE("line codec: several answers of a server in one read") {
  server_line_codec codec;
  std::string buffer =
      "READY I 3.1\r\nDATAROW a b\r\nDATAROW c\r\nCOMPLETE r.1\r\nREADY T "
      "3.2\r\n"
      "ERROR LAGGING too far\r\nREADY E -\r\nERROR CONNLIMIT 16\r\n";
  server_reply partial;
  const auto opened = codec.Take(buffer, partial);
  CHECK(opened->succeeded);
  CHECK(opened->receipt.empty());
  const auto rows = codec.Take(buffer, partial);
  CHECK(rows->rows == std::vector<std::string>{"a b", "c"});
  CHECK(rows->receipt == "r.1");
  CHECK(rows->state == session_state::kInTransaction);
  CHECK(rows->position->offset == 2);
  const auto behind = codec.Take(buffer, partial);
  CHECK(behind->failure == failure_code::kLagging);
  CHECK(behind->failure_text == "LAGGING too far");
  CHECK_FALSE(behind->position.has_value());
  CHECK(codec.Take(buffer, partial)->failure ==
        failure_code::kTooManyConnections);
  CHECK_FALSE(codec.Take(buffer, partial).has_value());
}

TEST_CASE("line codec: an answer without COMPLETE is not a success") {
  server_line_codec codec;
  std::string buffer = "DATAROW a\r\nREADY I 3.1\r\n";
  server_reply partial;
  CHECK_FALSE(codec.Take(buffer, partial)->succeeded);
  std::string noise = "HTTP/1.1 200 OK\r\n";
  CHECK(codec.Take(noise, partial)->malformed);
}

// The lines of two answers were joined to one, with the rows of both (MIXED).
TEST_CASE("line codec: nothing but READY follows the outcome of an answer") {
  const char* const ends[] = {"COMPLETE r.1\r\n", "ERROR BUSY full\r\n"};
  const char* const others[] = {"DATAROW b\r\n", "COMPLETE r.2\r\n",
                                "ERROR FAILED x\r\n"};
  for (const char* end : ends) {
    for (const char* other : others) {
      server_line_codec codec;
      std::string buffer =
          "DATAROW a\r\n" + std::string(end) + other + "READY I 1.1\r\n";
      server_reply partial;
      const auto reply = codec.Take(buffer, partial);
      REQUIRE(reply.has_value());
      CHECK(reply->malformed);
    }
  }
  for (const char* line : {"READY X 1.1\r\n", "READY I\r\n", "READY I 1\r\n",
                           "ERROR \r\n", "DATAROW a\r\nREADY I 1.1\r\n"}) {
    server_line_codec codec;
    std::string buffer = line;
    server_reply partial;
    CHECK(codec.Take(buffer, partial)->malformed);
  }
}

TEST_CASE("line codec: the status row of a server") {
  server_line_codec codec;
  const auto read = [&codec](const char* row) {
    server_reply reply;
    reply.succeeded = true;
    reply.rows = {row};
    return codec.Read(reply);
  };
  const auto status = read("replica 3 3.1209 4 12 2 17");
  REQUIRE(status.has_value());
  CHECK_FALSE(status->is_primary);
  CHECK(status->term == 3);
  CHECK(status->received.offset == 1209);
  CHECK(status->held_term == 4);
  CHECK(status->busy == 2);
  for (const char* bad : {"", "leader 3 3.1 0 1 1 1", "replica x 3.1 0 1 1 1",
                          "replica 3 31 0 1 1 1", "replica 3 3.1"}) {
    CHECK_FALSE(read(bad).has_value());
  }
}

TEST_CASE("line codec: an encoded position is parsed to the same value") {
  std::mt19937_64 random(7);
  for (int n = 0; n < 1000; ++n) {
    const plantaintiller::core::log_position position{random() >> 1U,
                                                      random() >> 1U};
    std::string text;
    AppendPosition(text, position);
    CHECK(ParsePosition(text) == position);
  }
  for (const char* bad : {"-", "", "3", "3.", ".3", "3.x", "3.1.2", "-1.2"}) {
    CHECK_FALSE(ParsePosition(bad).has_value());
  }
}

TEST_CASE("line codec: every received line is consumed, whatever its bytes") {
  // Random sequences of pieces of valid lines and other bytes.
  const std::vector<std::string> pieces{
      "QUERY ",   "START ",    "READY ",
      "DATAROW ", "COMPLETE ", "ERROR ",
      "BEGIN",    "PREPARE ",  "\r\n",
      "\n",       " ",         "I ",
      "3.1",      "-",         "BUSY",
      "\r",       "x",         std::string(1, '\0')};
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    caller_line_codec callers;
    server_line_codec servers;
    std::string from_caller;
    std::string from_server;
    server_reply partial;
    std::size_t lines = 0;
    std::size_t taken = 0;
    for (int n = 0; n < 200; ++n) {
      const std::string& piece = pieces[random() % pieces.size()];
      from_caller += piece;
      from_server += piece;
      lines += from_caller.ends_with(kLineEnd) ? 1U : 0U;
      while (callers.Take(from_caller).has_value()) {
        taken += 1;
      }
      while (servers.Take(from_server, partial).has_value()) {
      }
    }
    CHECK(taken == lines);
    CHECK(from_caller.find(kLineEnd) == std::string::npos);
    CHECK(from_server.find(kLineEnd) == std::string::npos);
  }
}

namespace {

/// @return a text of bytes that a field may hold: all but CR LF in a row. A
/// blank comes often, as it separates fields.
std::string DrawField(std::mt19937_64& random, std::size_t max_size) {
  std::string text;
  const std::size_t size = random() % (max_size + 1);
  while (text.size() < size) {
    const auto drawn = random();
    const char each = drawn % 8 == 0   ? ' '
                      : drawn % 8 == 1 ? '\n'
                      : drawn % 8 == 2 ? '\r'
                                       : static_cast<char>(drawn >> 8U);
    if (each != '\n' || text.empty() || text.back() != '\r') {
      text += each;
    }
  }
  return text;
}

}  // namespace

// A line feed in a client's data ended the line, and what followed ran as a
// request that nobody had sent (UNASKED, review case 8).
TEST_CASE("line codec: any bytes of a statement reach the server unchanged") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    const std::string text = "WRITE 1a4 " + DrawField(random, 40);
    caller_line_codec callers;
    std::string buffer = "QUERY 7 " + text + "\r\nQUERY 8 COMMIT\r\n";
    const auto message = callers.Take(buffer);
    REQUIRE(message.has_value());
    CHECK(message->kind == message_kind::kStatement);
    server_line_codec servers;
    std::string sent;
    servers.AppendStatement(sent, message->request, std::nullopt);
    CHECK(sent == "QUERY 7 " + text + "\r\n");
    CHECK(callers.Take(buffer)->request.id == "8");
    CHECK(buffer.empty());
  }
}

// As above for prepared statements; a blank at the end of the data was dropped.
TEST_CASE("line codec: a prepared statement keeps all bytes but its name") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    const std::string arguments =
        random() % 8 == 0 ? "" : " " + DrawField(random, 40);
    caller_line_codec callers;
    std::string buffer = "QUERY 7 EXECUTE s1" + arguments + "\r\n";
    server_line_codec servers;
    std::string sent;
    servers.AppendExecute(sent, callers.Take(buffer)->request, "w2f",
                          std::nullopt);
    CHECK(sent == "QUERY 7 EXECUTE w2f" + arguments + "\r\n");
  }
}

// A row that held a line feed ended there, so that the caller got a part of it
// or the connection was out of step (MIXED).
TEST_CASE("line codec: any bytes of a row reach the caller unchanged") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    const std::string row = DrawField(random, 40);
    server_line_codec servers;
    std::string buffer =
        "DATAROW " + row + "\r\nCOMPLETE r.1\r\nREADY I 1.1\r\n";
    server_reply partial;
    const auto reply = servers.Take(buffer, partial);
    REQUIRE(reply.has_value());
    REQUIRE(reply->rows.size() == 1);
    caller_line_codec callers;
    std::string sent;
    callers.AppendRow(sent, reply->rows.front());
    CHECK(sent == "DATAROW " + row + "\r\n");
    CHECK(buffer.empty());
  }
}

// Guards against other bytes to servers in deployments without accounts.
TEST_CASE("line codec: a connection is started for an account or for none") {
  server_line_codec codec;
  std::string out;
  codec.AppendStart(out, "", "g", "a");
  CHECK(out == "START g plantaintiller a\r\n");
  out.clear();
  codec.AppendStart(out, "acme", "g", "a");
  CHECK(out == "START g acme a\r\n");
}

TEST_CASE("line codec: the key is the second field of START") {
  caller_line_codec codec;
  std::string buffer = "START db k-1\r\nSTART db\r\n";
  CHECK(codec.Take(buffer)->key == "k-1");
  CHECK(codec.Take(buffer)->key.empty());
}

}  // namespace platform
