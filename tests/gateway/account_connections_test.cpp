#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "plantaintiller/gateway/connection_pool.h"
#include "platform/server_line_codec.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// Server that accepts connections up to a limit and records their accounts.
class fake_server {
 public:
  explicit fake_server(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// Accounts of the connections accepted so far.
  std::vector<std::string> started;
  int open = 0;
  int max_open = 100;

 private:
  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string input;
  };

  void Accept() {
    acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
      if (!failed) {
        Read(std::make_shared<connection>(std::move(socket)), false);
        Accept();
      }
    });
  }
  void Read(const std::shared_ptr<connection>& from, bool counted) {
    asio::async_read_until(
        from->socket, asio::dynamic_buffer(from->input), "\r\n",
        [this, from, counted](error_code failed, std::size_t) {
          if (failed) {
            open -= counted ? 1 : 0;
            return;
          }
          std::istringstream words(from->input);
          std::string word;
          std::string account;
          words >> word >> word >> account;
          const bool full = open >= max_open;
          open += full ? 0 : 1;
          if (!full) {
            started.push_back(account);
          }
          from->input.clear();
          asio::write(from->socket,
                      asio::buffer(std::string(full ? "ERROR CONNLIMIT full\r\n"
                                                    : "READY I 0.0\r\n")));
          if (!full) {
            Read(from, true);
          }
        });
  }

  tcp::acceptor acceptor_;
};

class fake_request : public connection_waiter, public sessions::reply_listener {
 public:
  sessions::reply_listener& Listener() override { return *this; }
  void OnConnection(sessions::server_connection& given) override {
    connection = &given;
  }
  void OnReply(sessions::server_reply) override {}
  void OnConnectionLost() override {}

  sessions::server_connection* connection = nullptr;
};

struct fixture : connection_pool::listener {
  fixture() : server(context), group("g"), pool(context, codec, group, *this) {
    replication::server_entry entry;
    entry.id = "a";
    entry.group = "g";
    entry.zone = "z";
    entry.address = server.Address();
    entry.reports_leader = true;
    group.OnList({entry}, {{"z", replication::distance::kSameZone}},
                 core::clock::now());
  }
  void SetLimits(int max_open, int replace_from) {
    connection_pool::limits limits;
    limits.max_open = max_open;
    limits.replace_from = replace_from;
    limits.kept_idle = max_open;
    pool.SetLimits(limits);
  }
  void OnServerFull(const std::string&, const std::string&) override {
    full += 1;
  }
  void OnServerUnreachable(const std::string&, const std::string&) override {}
  void OnConnectionReplaced() override { replaced += 1; }
  void OnServerLinkFault(const std::string&,
                         const std::string&,
                         link_fault,
                         int) override {}

  template <class condition>
  bool RunUntil(condition holds) {
    const auto end = core::clock::now() + std::chrono::seconds(5);
    while (!holds() && core::clock::now() < end) {
      context.restart();
      context.run_one_for(core::milliseconds(100));
    }
    return holds();
  }
  void Request(fake_request& from, const std::string& account) {
    sessions::connection_requirements need;
    need.group = "g";
    need.leader = true;
    need.account = account;
    pool.Acquire(need, from);
  }
  /// Serves one request of an account and releases its connection.
  bool ServeOne(const std::string& account) {
    fake_request request;
    Request(request, account);
    if (!RunUntil([&] { return request.connection != nullptr; })) {
      return false;
    }
    request.connection->Release(sessions::release_kind::kClean);
    return true;
  }

  asio::io_context context;
  platform::server_line_codec codec;
  fake_server server;
  replication::group_state group;
  int full = 0;
  int replaced = 0;
  connection_pool pool;
};

using names = std::vector<std::string>;

}  // namespace

// Guards against statements of one account on a connection that the server
// counts for another one.
TEST_CASE("account connections: each is used by its own account only") {
  fixture test;
  test.SetLimits(8, 8);
  for (const char* account : {"acme", "birch", "acme", "birch", "acme"}) {
    REQUIRE(test.ServeOne(account));
  }
  CHECK(test.server.started == names{"acme", "birch"});
  CHECK(test.replaced == 0);
}

// Guards against a small account that gets no connection because a large one
// keeps the whole share idle.
TEST_CASE("account connections: the oldest idle one makes room at the share") {
  fixture test;
  test.SetLimits(8, 2);
  for (const char* account : {"acme", "birch", "cedar", "birch", "acme"}) {
    REQUIRE(test.ServeOne(account));
  }
  // The one of birch was used after the one of cedar.
  CHECK(test.server.started == names{"acme", "birch", "cedar", "acme"});
  CHECK(test.replaced == 2);
  CHECK(test.pool.Connections() == 2);
}

TEST_CASE("account connections: the share is exceeded if none is idle") {
  fixture test;
  test.SetLimits(8, 1);
  fake_request first;
  fake_request second;
  test.Request(first, "acme");
  CHECK(test.RunUntil([&] { return first.connection != nullptr; }));
  test.Request(second, "birch");
  CHECK(test.RunUntil([&] { return second.connection != nullptr; }));
  CHECK(test.replaced == 0);
}

// Guards against asking other instances for a connection while this one keeps
// idle ones of other accounts.
TEST_CASE("account connections: a full server makes an idle one close") {
  fixture test;
  test.SetLimits(8, 8);
  test.server.max_open = 1;
  REQUIRE(test.ServeOne("acme"));
  REQUIRE(test.ServeOne("birch"));
  CHECK(test.server.started == names{"acme", "birch"});
  CHECK(test.replaced == 1);
  CHECK(test.full == 0);
}

TEST_CASE("account connections: the system's commands use any connection") {
  fixture test;
  test.SetLimits(8, 8);
  REQUIRE(test.ServeOne("acme"));
  sessions::connection_requirements need;
  need.server = "a";
  fake_request command;
  test.pool.Acquire(need, command);
  CHECK(test.RunUntil([&] { return command.connection != nullptr; }));
  CHECK(test.server.started == names{"acme"});
}

TEST_CASE("account connections: those of a removed account are closed") {
  fixture test;
  test.SetLimits(8, 8);
  REQUIRE(test.ServeOne("acme"));
  REQUIRE(test.ServeOne("birch"));
  core::client_account kept;
  kept.name = "acme";
  test.pool.CloseIdleOfRemovedAccounts({{"acme", kept}});
  CHECK(test.pool.Connections() == 1);
}

}  // namespace plantaintiller::gateway
