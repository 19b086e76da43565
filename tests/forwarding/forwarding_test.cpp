#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "tests/forwarding/forwarding_fakes.h"

// Forwards sessions between two instances over loopback. Guards against
// sessions that are left over, or bytes counted wrongly, when one of the
// instances stops.
namespace plantaintiller::forwarding {

namespace {

namespace asio = boost::asio;

/// A caller's connection.
class fake_caller : public forwarded_listener {
 public:
  void OnForwardedBytes(const std::string& bytes) override {
    answers.push_back(bytes);
  }
  void OnForwardedSessionEnded(session_end end) override {
    ended = true;
    expected_end = end == session_end::kExpected;
  }
  void OnServeLocally() override { served_locally = true; }

  std::vector<std::string> answers;
  bool ended = false;
  bool expected_end = false;
  bool served_locally = false;
};

struct fixture {
  fixture()
      : port(FreePort(context)), serving(context), calling(context, port) {
    serving.service.Listen(kHost, port);
  }
  /// Runs the event loop until a condition holds, for at most 100000 events.
  /// @return whether the condition holds.
  template <class condition>
  bool RunUntil(condition holds) {
    for (int event = 0; event < 100000 && !holds(); ++event) {
      context.restart();
      context.run_one();
    }
    return holds();
  }
  accounts::caller_identity identity;
  std::shared_ptr<forwarded_session> Open(fake_caller& caller) {
    return calling.forwarder.Open({"g", "db", identity}, caller);
  }

  asio::io_context context;
  std::uint16_t port;
  serving_instance serving;
  calling_instance calling;
};

}  // namespace

TEST_CASE("forwarding: the owner serves a forwarded session") {
  fixture test;
  fake_caller caller;
  const auto session = test.Open(caller);
  REQUIRE(session != nullptr);
  CHECK(test.RunUntil([&] { return caller.answers.size() == 1; }));
  CHECK(caller.answers[0] == "hello db");
  session->Send("begin");
  CHECK(session->Unanswered() == "begin");
  CHECK(test.RunUntil([&] { return caller.answers.size() == 2; }));
  CHECK(caller.answers[1] == "did begin");
  CHECK(session->Unanswered().empty());
  CHECK(session->InTransaction());
  session->RefuseFurtherWork();
  CHECK(test.RunUntil(
      [&] { return !test.serving.remote_sessions[0]->abandoned.empty(); }));
  session->Close();
  CHECK(test.RunUntil(
      [&] { return test.serving.remote_sessions[0]->disconnected; }));
  CHECK(test.serving.service.Sessions() == 0);
  CHECK(test.serving.ended == 1);
}

TEST_CASE("forwarding: unanswered bytes are kept when the owner is lost") {
  fixture test;
  fake_caller caller;
  const auto session = test.Open(caller);
  REQUIRE(session != nullptr);
  test.RunUntil([&] { return caller.answers.size() == 1; });
  session->Send("first");
  test.RunUntil([&] { return caller.answers.size() == 2; });
  session->Send("wait");
  test.RunUntil(
      [&] { return test.serving.remote_sessions[0]->received == "firstwait"; });
  test.serving.service.Stop();
  CHECK(test.RunUntil([&] { return caller.ended; }));
  CHECK_FALSE(caller.expected_end);
  CHECK(session->Unanswered() == "wait");
  CHECK(test.calling.forwarder.Sessions() == 0);
}

TEST_CASE("forwarding: a session that the owner ends is ended for the caller") {
  fixture test;
  fake_caller caller;
  const auto session = test.Open(caller);
  test.RunUntil([&] { return caller.answers.size() == 1; });
  session->Send("end");
  CHECK(test.RunUntil([&] { return caller.ended; }));
  CHECK(caller.expected_end);
  CHECK(test.serving.service.Sessions() == 0);
}

TEST_CASE(
    "forwarding: an owner shutting down ends sessions and refuses others") {
  fixture test;
  fake_caller first;
  const auto session = test.Open(first);
  test.RunUntil([&] { return first.answers.size() == 1; });
  test.serving.accepts = false;
  test.serving.service.CloseWhenIdle();
  CHECK(test.RunUntil([&] { return first.ended; }));
  // The caller has not asked for it, and is told where it is connected.
  CHECK_FALSE(first.expected_end);
  CHECK(first.answers.size() == 1);
  fake_caller second;
  test.calling.candidates.push_back({"caller", kHost, 0.0});
  const auto refused = test.Open(second);
  REQUIRE(refused != nullptr);
  CHECK(test.RunUntil([&] { return second.served_locally; }));
  // The owner is in back-off after it refused a session.
  fake_caller third;
  CHECK(test.Open(third) == nullptr);
}

TEST_CASE("forwarding: a session that no owner accepts is served locally") {
  fixture test;
  test.serving.service.Stop();
  fake_caller caller;
  const auto session = test.Open(caller);
  REQUIRE(session != nullptr);
  CHECK(test.RunUntil([&] { return caller.served_locally; }));
}

TEST_CASE("forwarding: not used without an owner or if the owner is local") {
  fixture test;
  fake_caller caller;
  test.calling.candidates.clear();
  CHECK(test.Open(caller) == nullptr);
  test.calling.candidates = {{"caller", kHost, 1.0}};
  CHECK(test.Open(caller) == nullptr);
}

// Guards against a caller that has seen the effect of a configuration and is
// then served under an older one, because the owner has not received it yet.
TEST_CASE(
    "forwarding: an owner waits for the caller instance's configuration") {
  fixture test;
  test.calling.version = 2;
  fake_caller caller;
  const auto session = test.Open(caller);
  REQUIRE(session != nullptr);
  CHECK(
      test.RunUntil([&] { return test.serving.configuration_host == kHost; }));
  CHECK(test.serving.remote_sessions.empty());
  test.serving.version = 2;
  test.serving.service.OnConfiguration();
  CHECK(test.RunUntil([&] { return caller.answers.size() == 1; }));
}

TEST_CASE("forwarding: an instance learns of its owner's newer configuration") {
  fixture test;
  test.serving.version = 5;
  fake_caller caller;
  const auto session = test.Open(caller);
  CHECK(test.RunUntil([&] { return caller.answers.size() == 1; }));
  CHECK(test.calling.newer_configuration);
}

// Guards against an owner that serves a caller under no account.
TEST_CASE("forwarding: the owner learns the caller's account and key digest") {
  fixture test;
  test.identity = {"acme", "digest"};
  fake_caller caller;
  const auto session = test.Open(caller);
  CHECK(test.RunUntil([&] { return caller.answers.size() == 1; }));
  CHECK(caller.answers[0] == "hello db");
  CHECK(test.serving.remote_sessions[0]->identity == test.identity);
}

// Guards against the refusal of a key that the owner does not know yet.
TEST_CASE("forwarding: an owner with an older configuration judges no key") {
  fixture test;
  test.identity = {"acme", "digest"};
  test.calling.version = 2;
  test.calling.candidates.push_back({"caller", kHost, 0.0});
  fake_caller caller;
  const auto session = test.Open(caller);
  REQUIRE(session != nullptr);
  CHECK(test.RunUntil([&] { return caller.served_locally; }));
  CHECK(test.serving.remote_sessions.empty());
}

}  // namespace plantaintiller::forwarding
