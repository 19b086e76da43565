#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/forwarding/remote_session_service.h"
#include "plantaintiller/forwarding/session_forwarder.h"
#include "plantaintiller/gateway/event_log.h"

// Sessions between two instances over loopback: what one serves, the other
// passes on, and neither loses count when the other goes.
namespace plantaintiller::forwarding {

namespace {

namespace asio = boost::asio;

constexpr const char* kHost = "127.0.0.1";

/// A session that answers each line "X" by "did X", and ends on "end".
class echo_session : public sessions::hosted_session {
 public:
  explicit echo_session(sessions::session_channel& channel)
      : channel_(&channel) {}

  void Start(const std::string& database) override {
    channel_->Send("hello " + database);
  }
  void OnBytes(std::string_view bytes) override {
    received += bytes;
    if (bytes == "wait") {
      settled = false;
      return;
    }
    if (bytes == "end") {
      channel_->Finish();
      return;
    }
    in_transaction = bytes == "begin";
    settled = true;
    channel_->Send("did " + std::string(bytes));
  }
  void OnCallerDisconnected() override {
    channel_ = nullptr;
    gone = true;
  }
  void AbandonTransaction(const char* reason) override { abandoned = reason; }
  void CloseWhenIdle() override {
    if (channel_ != nullptr) {
      channel_->Finish();
    }
  }
  bool IsSettled() const override { return settled; }
  bool InTransaction() const override { return in_transaction; }
  bool IsFull() const override { return false; }

  std::string received;
  std::string abandoned;
  bool gone = false;
  bool settled = true;
  bool in_transaction = false;

 private:
  sessions::session_channel* channel_;
};

/// An instance that serves guests.
class serving_instance : public remote_session_host {
 public:
  explicit serving_instance(asio::io_context& context)
      : service(context, *this, log) {}

  bool AcceptsRemoteSessions() const override { return takes; }
  std::shared_ptr<sessions::hosted_session> MakeRemoteSession(
      sessions::session_channel& channel) override {
    guests.push_back(std::make_shared<echo_session>(channel));
    return guests.back();
  }
  void OnRemoteSessionEnded() override { ended += 1; }
  std::uint64_t ConfigurationVersion() const override { return version; }
  void OnNewerConfiguration(const std::string& host) override {
    asked_for_configuration = host;
  }

  gateway::event_log log;
  bool takes = true;
  std::uint64_t version = 1;
  int ended = 0;
  std::string asked_for_configuration;
  std::vector<std::shared_ptr<echo_session>> guests;
  remote_session_service service;
};

/// An instance with callers.
class calling_instance : public forwarder_host {
 public:
  calling_instance(asio::io_context& context, std::uint16_t port)
      : forwarder(context, Settings(port), *this, log) {}

  std::vector<owner_candidate> OwnerCandidates() const override {
    return homes;
  }
  std::uint64_t ConfigurationVersion() const override { return version; }
  void OnNewerConfiguration(const std::string&) override { newer = true; }

  static forwarder_settings Settings(std::uint16_t port) {
    forwarder_settings made;
    made.instance = "caller";
    made.port = port;
    return made;
  }

  gateway::event_log log;
  std::vector<owner_candidate> homes = {{"home", kHost, 1.0}};
  std::uint64_t version = 1;
  bool newer = false;
  session_forwarder forwarder;
};

/// A caller's connection.
class fake_caller : public forwarded_listener {
 public:
  void OnForwardedBytes(const std::string& bytes) override {
    answers.push_back(bytes);
  }
  void OnForwardedSessionEnded() override { ended = true; }
  void OnServeLocally() override { served_here = true; }

  std::vector<std::string> answers;
  bool ended = false;
  bool served_here = false;
};

std::uint16_t FreePort(asio::io_context& context) {
  asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address(kHost), 0});
  return acceptor.local_endpoint().port();
}

struct fixture {
  fixture()
      : port(FreePort(context)), serving(context), calling(context, port) {
    serving.service.Listen(kHost, port);
  }
  /// Runs the event loop until something holds, or nothing can happen any more.
  template <class condition>
  bool RunUntil(condition holds) {
    for (int turn = 0; turn < 100000 && !holds(); ++turn) {
      context.restart();
      context.run_one();
    }
    return holds();
  }
  std::shared_ptr<forwarded_session> Open(fake_caller& caller) {
    return calling.forwarder.Open("g", "db", caller);
  }

  asio::io_context context;
  std::uint16_t port;
  serving_instance serving;
  calling_instance calling;
};

}  // namespace

TEST_CASE("forwarding: a session is served by the home") {
  fixture at;
  fake_caller caller;
  const auto session = at.Open(caller);
  REQUIRE(session != nullptr);
  CHECK(at.RunUntil([&] { return caller.answers.size() == 1; }));
  CHECK(caller.answers[0] == "hello db");
  session->Send("begin");
  CHECK(session->Unanswered() == "begin");
  CHECK(at.RunUntil([&] { return caller.answers.size() == 2; }));
  CHECK(caller.answers[1] == "did begin");
  CHECK(session->Unanswered().empty());
  CHECK(session->InTransaction());
  session->AbandonTransaction();
  CHECK(at.RunUntil([&] { return !at.serving.guests[0]->abandoned.empty(); }));
  session->Close();
  CHECK(at.RunUntil([&] { return at.serving.guests[0]->gone; }));
  CHECK(at.serving.service.Sessions() == 0);
  CHECK(at.serving.ended == 1);
}

TEST_CASE("forwarding: what was not answered is known when the home is lost") {
  fixture at;
  fake_caller caller;
  const auto session = at.Open(caller);
  REQUIRE(session != nullptr);
  at.RunUntil([&] { return caller.answers.size() == 1; });
  session->Send("first");
  at.RunUntil([&] { return caller.answers.size() == 2; });
  session->Send("wait");
  at.RunUntil([&] { return at.serving.guests[0]->received == "firstwait"; });
  at.serving.service.Stop();
  CHECK(at.RunUntil([&] { return caller.ended; }));
  CHECK(session->Unanswered() == "wait");
  CHECK(at.calling.forwarder.Sessions() == 0);
}

TEST_CASE("forwarding: a session that the home ended ends for its caller") {
  fixture at;
  fake_caller caller;
  const auto session = at.Open(caller);
  at.RunUntil([&] { return caller.answers.size() == 1; });
  session->Send("end");
  CHECK(at.RunUntil([&] { return caller.ended; }));
  CHECK(at.serving.service.Sessions() == 0);
}

TEST_CASE("forwarding: a leaving home ends its sessions, and takes no others") {
  fixture at;
  fake_caller first;
  const auto session = at.Open(first);
  at.RunUntil([&] { return first.answers.size() == 1; });
  at.serving.takes = false;
  at.serving.service.CloseWhenIdle();
  CHECK(at.RunUntil([&] { return first.ended; }));
  fake_caller second;
  at.calling.homes.push_back({"caller", kHost, 0.0});
  const auto refused = at.Open(second);
  REQUIRE(refused != nullptr);
  CHECK(at.RunUntil([&] { return second.served_here; }));
  // The home is left alone for a while.
  fake_caller third;
  CHECK(at.Open(third) == nullptr);
}

TEST_CASE("forwarding: a session that no home takes is served here") {
  fixture at;
  at.serving.service.Stop();
  fake_caller caller;
  const auto session = at.Open(caller);
  REQUIRE(session != nullptr);
  CHECK(at.RunUntil([&] { return caller.served_here; }));
}

TEST_CASE("forwarding: no home, and the instance itself as home") {
  fixture at;
  fake_caller caller;
  at.calling.homes.clear();
  CHECK(at.Open(caller) == nullptr);
  at.calling.homes = {{"caller", kHost, 1.0}};
  CHECK(at.Open(caller) == nullptr);
}

// The rule: an instance never falls back behind a configuration whose effect
// its callers have seen.
TEST_CASE("forwarding: a home that is behind waits for the configuration") {
  fixture at;
  at.calling.version = 2;
  fake_caller caller;
  const auto session = at.Open(caller);
  REQUIRE(session != nullptr);
  CHECK(
      at.RunUntil([&] { return at.serving.asked_for_configuration == kHost; }));
  CHECK(at.serving.guests.empty());
  at.serving.version = 2;
  at.serving.service.OnConfiguration();
  CHECK(at.RunUntil([&] { return caller.answers.size() == 1; }));
}

TEST_CASE("forwarding: an instance that is behind its home asks for it") {
  fixture at;
  at.serving.version = 5;
  fake_caller caller;
  const auto session = at.Open(caller);
  CHECK(at.RunUntil([&] { return caller.answers.size() == 1; }));
  CHECK(at.calling.newer);
}

}  // namespace plantaintiller::forwarding
