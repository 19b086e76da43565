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

TEST_CASE("member_history: a server that left as planned is no member") {
  member_history history;
  history.OnList("g", {Server("a"), Server("b", true)}, kStart);
  history.OnList("g", {Server("a")}, kStart + milliseconds(1000));
  CHECK(Ids(history) == std::vector<std::string>{"a"});
}

TEST_CASE("member_history: a recorded server that is not listed is a member") {
  member_history history;
  history.OnList("g", {Server("a")}, kStart);
  history.OnRecorded({Server("a"), Server("b")}, kStart + milliseconds(10));
  CHECK(Ids(history) == std::vector<std::string>{"a", "b"});
}

}  // namespace plantaintiller::replication
