#include "plantaintiller/http/client.h"

#include <doctest/doctest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace plantaintiller::http {

using boost::asio::ip::tcp;
using core::milliseconds;

namespace {

constexpr milliseconds kTimeout{50};
constexpr milliseconds kLongTimeout{5000};

/// A server on loopback that the test reads and answers by hand.
class manual_server {
 public:
  explicit manual_server(boost::asio::io_context& context)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}),
        connection_(context) {
    acceptor_.async_accept(connection_, [](boost::system::error_code) {});
  }
  /// Lets the next connection replace the present one.
  void AcceptNext() {
    acceptor_.async_accept([this](boost::system::error_code, tcp::socket next) {
      connection_ = std::move(next);
      accepted_ += 1;
    });
  }
  /// @return the number of connections accepted by `AcceptNext`.
  int Accepted() const { return accepted_; }
  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  /// @return the header fields of the next request.
  std::string ReadRequest() {
    std::string text;
    boost::asio::read_until(connection_, boost::asio::dynamic_buffer(text),
                            "\r\n\r\n");
    return text;
  }
  void Answer() {
    boost::asio::write(connection_, boost::asio::buffer(std::string(
                                        "HTTP/1.1 200 OK\r\n"
                                        "Content-Length: 0\r\n\r\n")));
  }
  /// @return how the connection ended, once all bytes have been read.
  boost::system::error_code ReadToEnd() {
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    while (!error) {
      connection_.read_some(boost::asio::buffer(bytes), error);
    }
    return error;
  }
  /// @return number of bytes that can be read; 0 before a client has connected.
  std::size_t BytesWaiting() const {
    boost::system::error_code error;
    return connection_.available(error);
  }

 private:
  tcp::acceptor acceptor_;
  tcp::socket connection_;
  int accepted_ = 0;
};

request Limited(milliseconds valid_for) {
  request limited{"POST", "/limited", ""};
  limited.valid_for = valid_for;
  return limited;
}

}  // namespace

// A promotion that was given up was still delivered once the link was back,
// after another instance had taken over (ONE and LOST on wirnik-diag).
TEST_CASE(
    "http client: a request with a limit is dropped when it is given up") {
  boost::asio::io_context context;
  manual_server server(context);
  client tested(context, "127.0.0.1", server.Port(), kTimeout);
  std::optional<exchange_status> ended;
  tested.Send(Limited(kLongTimeout),
              [&](exchange_status status, const response&) { ended = status; });
  context.run();
  CHECK(ended == exchange_status::kNoAnswer);
  CHECK(server.ReadToEnd() == boost::asio::error::connection_reset);
}

// An order waited behind the others of its process and was sent after its claim
// had lapsed.
TEST_CASE("http client: a request whose time is over is not sent") {
  boost::asio::io_context context;
  manual_server server(context);
  client tested(context, "127.0.0.1", server.Port(), kLongTimeout);
  std::vector<exchange_status> ended;
  const auto record = [&](exchange_status status, const response&) {
    ended.push_back(status);
  };
  tested.Send({"GET", "/first", ""}, record);
  tested.Send(Limited(milliseconds(0)), record);
  tested.Send({"GET", "/last", ""}, record);
  while (server.BytesWaiting() == 0) {
    context.run_one();
  }
  CHECK(server.ReadRequest().starts_with("GET /first"));
  server.Answer();
  while (ended.size() < 2) {
    context.run_one();
  }
  CHECK(ended ==
        std::vector{exchange_status::kAnswered, exchange_status::kNotSent});
  while (server.BytesWaiting() == 0) {
    context.run_one();
  }
  CHECK(server.ReadRequest().starts_with("GET /last"));
  server.Answer();
  while (ended.size() < 3) {
    context.run_one();
  }
  CHECK(ended.back() == exchange_status::kAnswered);
}

// What a server sends beyond its answer was taken for the answer to the next
// request, as on the links to databases (MIXED, issue 43).
TEST_CASE("http client: a second answer is not that of the next request") {
  boost::asio::io_context context;
  manual_server server(context);
  client tested(context, "127.0.0.1", server.Port(), kLongTimeout);
  std::vector<exchange_status> ended;
  const auto record = [&](exchange_status status, const response&) {
    ended.push_back(status);
  };
  tested.Send({"GET", "/first", ""}, record);
  while (server.BytesWaiting() == 0) {
    context.run_one();
  }
  server.ReadRequest();
  server.Answer();
  server.Answer();
  while (ended.empty()) {
    context.run_one();
  }
  server.AcceptNext();
  tested.Send({"GET", "/next", ""}, record);
  while (server.Accepted() == 0 && ended.size() == 1) {
    context.run_one();
  }
  REQUIRE(server.Accepted() == 1);
  while (server.BytesWaiting() == 0) {
    context.run_one();
  }
  CHECK(server.ReadRequest().starts_with("GET /next"));
  server.Answer();
  while (ended.size() < 2) {
    context.run_one();
  }
  CHECK(ended.back() == exchange_status::kAnswered);
}

}  // namespace plantaintiller::http
