#include "plantaintiller/replication/member_history.h"

#include <doctest/doctest.h>

namespace plantaintiller::replication {

using core::milliseconds;

namespace {

server_entry Server(const std::string& id, bool draining = false) {
  server_entry entry;
  entry.id = id;
  entry.group = std::string("g");
  entry.draining = draining;
  return entry;
}

std::vector<std::string> Ids(const member_history& history) {
  std::vector<std::string> ids;
  for (const server_entry& each : history.Members()) {
    ids.push_back(each.id);
  }
  return ids;
}

constexpr core::time_point kStart{std::chrono::hours(1)};

}  // namespace

TEST_CASE("member_history: a server that left unplanned stays a member") {
  member_history history;
  history.OnList("g", {Server("a"), Server("b")}, kStart);
  history.OnList("g", {Server("a")}, kStart + milliseconds(1000));
  CHECK(Ids(history) == std::vector<std::string>{"a", "b"});
  history.OnList("g", {Server("a")},
                 kStart + milliseconds(1001) + group_state::kRemovedRetention);
  CHECK(Ids(history) == std::vector<std::string>{"a"});
}

// A replica that alone had confirmed commits left as planned and was forgotten
// at once. An instance that had just started promoted another one while the
// leader, which had them, was down (LOST, review case 6).
TEST_CASE(
    "member_history: a server that left as planned stays until it is covered") {
  member_history history;
  const core::time_point left = kStart + milliseconds(1000);
  history.OnList("g", {Server("a"), Server("b", true)}, kStart);
  history.OnList("g", {Server("a")}, left);
  CHECK(Ids(history) == std::vector<std::string>{"a", "b"});
  // Sent while "b" may still have confirmed it: its entry also lapses if it
  // only fails to reach the store.
  history.OnCommitConfirmed(left + milliseconds(10000));
  history.OnList("g", {Server("a")}, left + milliseconds(10100));
  CHECK(Ids(history) == std::vector<std::string>{"a", "b"});
  history.OnCommitConfirmed(left + milliseconds(10001));
  history.OnList("g", {Server("a")}, left + milliseconds(10200));
  CHECK(Ids(history) == std::vector<std::string>{"a"});
}

TEST_CASE("member_history: without commits a server that left stays for 30 s") {
  member_history history;
  const core::time_point left = kStart + milliseconds(1000);
  history.OnList("g", {Server("a"), Server("b", true)}, kStart);
  history.OnList("g", {Server("a")}, left);
  history.OnList("g", {Server("a")}, left + group_state::kRemovedRetention);
  CHECK(Ids(history) == std::vector<std::string>{"a", "b"});
  history.OnList("g", {Server("a")},
                 left + milliseconds(1) + group_state::kRemovedRetention);
  CHECK(Ids(history) == std::vector<std::string>{"a"});
}

// An unlisted server that is no longer about to stop may confirm the commit
// itself.
TEST_CASE("member_history: a commit covers no server that left unplanned") {
  member_history history;
  history.OnList("g", {Server("a"), Server("b")}, kStart);
  history.OnList("g", {Server("a")}, kStart + milliseconds(1000));
  history.OnCommitConfirmed(kStart + milliseconds(2000));
  history.OnList("g", {Server("a")}, kStart + milliseconds(3000));
  CHECK(Ids(history) == std::vector<std::string>{"a", "b"});
}

TEST_CASE("member_history: a recorded server that is not listed is a member") {
  member_history history;
  history.OnList("g", {Server("a")}, kStart);
  history.OnRecorded({Server("a"), Server("b")}, kStart + milliseconds(10));
  CHECK(Ids(history) == std::vector<std::string>{"a", "b"});
}

// The row of an earlier time brought back what this instance had forgotten, so
// that a server that had left stayed a member for good.
TEST_CASE(
    "member_history: a forgotten server is not taken from the row again") {
  member_history history;
  history.OnList("g", {Server("a"), Server("b")}, kStart);
  history.OnList("g", {Server("a")}, kStart + milliseconds(1000));
  const core::time_point later =
      kStart + milliseconds(1001) + group_state::kRemovedRetention;
  history.OnList("g", {Server("a")}, later);
  history.OnRecorded({Server("a"), Server("b")}, later);
  CHECK(Ids(history) == std::vector<std::string>{"a"});
}

// A replica that restarted empty under its id had confirmed commits before; an
// instance that started later did not know.
TEST_CASE("member_history: a server that restarted is another member") {
  member_history history;
  history.OnList("g", {Server("a"), Server("b")}, kStart);
  server_entry reborn = Server("b");
  reborn.born_ms = 7;
  history.OnList("g", {Server("a"), reborn}, kStart + milliseconds(1000));
  CHECK(Ids(history) == std::vector<std::string>{"a", "b", "b"});
}

}  // namespace plantaintiller::replication
