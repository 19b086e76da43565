#include "plantaintiller/replication/statement_gate.h"

#include <doctest/doctest.h>

#include <queue>
#include <random>
#include <vector>

namespace plantaintiller::replication {

namespace {

using core::milliseconds;

constexpr int kSlots = 3;
constexpr int kQueue = 16;
constexpr int kServiceMs = 18;

/// A server that refuses a statement when its queue is full.
class modeled_server {
 public:
  /// @return whether the statement was taken.
  bool Take(int instance) {
    if (static_cast<int>(queue_.size()) >= kQueue) {
      return false;
    }
    queue_.push(instance);
    return true;
  }
  /// One millisecond passes. @return instances whose statements ended.
  std::vector<int> Tick() {
    std::vector<int> ended;
    for (slot& each : slots_) {
      if (each.left > 0 && --each.left == 0) {
        ended.push_back(each.instance);
      }
      if (each.left == 0 && !queue_.empty()) {
        each = {queue_.front(), kServiceMs};
        queue_.pop();
      }
    }
    return ended;
  }

 private:
  struct slot {
    int instance = 0;
    int left = 0;
  };
  std::vector<slot> slots_{kSlots};
  std::queue<int> queue_;
};

struct overload_result {
  int answered = 0;
  int refused = 0;
};

/// Instances with an endless line of waiting statements before one server.
overload_result PlayOverload(int instances, milliseconds length) {
  modeled_server server;
  std::vector<statement_gate> gates(static_cast<std::size_t>(instances));
  std::vector<std::queue<core::time_point>> sent(gates.size());
  overload_result result;
  core::time_point now{std::chrono::hours(1)};
  std::mt19937_64 random(1);
  for (milliseconds passed{0}; passed < length; passed += milliseconds(1)) {
    now += milliseconds(1);
    for (const int instance : server.Tick()) {
      const auto place = static_cast<std::size_t>(instance);
      gates[place].OnEnd();
      gates[place].OnAnswer(now - sent[place].front(), milliseconds(1));
      sent[place].pop();
      result.answered += 1;
    }
    const std::size_t first = random() % gates.size();
    for (std::size_t n = 0; n < gates.size(); ++n) {
      const std::size_t place = (first + n) % gates.size();
      while (gates[place].MayStart(now)) {
        gates[place].OnStart();
        if (server.Take(static_cast<int>(place))) {
          sent[place].push(now);
          continue;
        }
        gates[place].OnEnd();
        gates[place].OnRefused(now);
        result.refused += 1;
      }
    }
  }
  return result;
}

}  // namespace

// The pattern: replicas lag, all reads and transactions of a group fall to
// three slots, and every waiting statement of six instances tries every 25 ms.
TEST_CASE("statement_gate: a full server is kept busy, not bombarded") {
  constexpr int kSeconds = 10;
  const overload_result run = PlayOverload(6, milliseconds(kSeconds * 1000));
  const int capacity = kSlots * kSeconds * 1000 / kServiceMs;
  CHECK(run.answered >= capacity * 9 / 10);
  // Fewer refusals than answers by far; without the gate 40 a second for each
  // statement that waits.
  CHECK(run.refused <= capacity / 10);
}

TEST_CASE("statement_gate: more instances than the server has room for") {
  constexpr int kSeconds = 10;
  const overload_result run = PlayOverload(40, milliseconds(kSeconds * 1000));
  const int capacity = kSlots * kSeconds * 1000 / kServiceMs;
  CHECK(run.answered >= capacity * 9 / 10);
  // Forty gates of one statement each before nineteen places: what is left over
  // asks at the longest pause.
  CHECK(run.refused <= 40 * kSeconds * 1000 / 100);
}

TEST_CASE(
    "statement_gate: a refusal closes it for a moment, doubled in a row") {
  statement_gate gate;
  core::time_point now{std::chrono::hours(1)};
  CHECK(gate.MayStart(now));
  gate.OnRefused(now);
  CHECK_FALSE(gate.MayStart(now + milliseconds(19)));
  now += milliseconds(20);
  CHECK(gate.MayStart(now));
  gate.OnRefused(now);
  // Answers to what was sent before count once.
  gate.OnRefused(now + milliseconds(1));
  CHECK(gate.OpensAt() == now + milliseconds(40));
  gate.OnAnswer(milliseconds(5), milliseconds(1));
  now += milliseconds(40);
  gate.OnRefused(now);
  CHECK(gate.OpensAt() == now + milliseconds(20));
}

}  // namespace plantaintiller::replication
