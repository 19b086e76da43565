#include "plantaintiller/replication/statement_limiter.h"

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

/// Simulated server that refuses a statement when its queue is full.
class modeled_server {
 public:
  /// @return whether the statement was accepted.
  bool Accept(int instance) {
    if (static_cast<int>(queue_.size()) >= kQueue) {
      return false;
    }
    queue_.push(instance);
    return true;
  }
  /// Advances by one millisecond. @return instances whose statements ended.
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

/// Simulates instances that always have statements waiting for one server.
overload_result SimulateOverload(int instances, milliseconds length) {
  modeled_server server;
  std::vector<statement_limiter> limiters(static_cast<std::size_t>(instances));
  std::vector<std::queue<core::time_point>> sent(limiters.size());
  overload_result result;
  core::time_point now{std::chrono::hours(1)};
  std::mt19937_64 random(1);
  for (milliseconds passed{0}; passed < length; passed += milliseconds(1)) {
    now += milliseconds(1);
    for (const int instance : server.Tick()) {
      const auto place = static_cast<std::size_t>(instance);
      limiters[place].OnEnd();
      limiters[place].OnAnswer(now - sent[place].front(), milliseconds(1));
      sent[place].pop();
      result.answered += 1;
    }
    const std::size_t first = random() % limiters.size();
    for (std::size_t n = 0; n < limiters.size(); ++n) {
      const std::size_t place = (first + n) % limiters.size();
      while (limiters[place].MayStart(now)) {
        limiters[place].OnStart();
        if (server.Accept(static_cast<int>(place))) {
          sent[place].push(now);
          continue;
        }
        limiters[place].OnEnd();
        limiters[place].OnRefused(now);
        result.refused += 1;
      }
    }
  }
  return result;
}

}  // namespace

// Guards against retry storms. When the replicas lag, all reads and
// transactions of a group go to the three slots of the leader; without a
// limiter every waiting statement of six instances then retries every 25 ms.
TEST_CASE("statement_limiter: keeps a full server busy with few refusals") {
  constexpr int kSeconds = 10;
  const overload_result run =
      SimulateOverload(6, milliseconds(kSeconds * 1000));
  const int capacity = kSlots * kSeconds * 1000 / kServiceMs;
  CHECK(run.answered >= capacity * 9 / 10);
  // Far fewer refusals than answers. Without the limiter, each waiting
  // statement would be refused 40 times a second.
  CHECK(run.refused <= capacity / 10);
}

TEST_CASE(
    "statement_limiter: more instances than the server's slots and queue") {
  constexpr int kSeconds = 10;
  const overload_result run =
      SimulateOverload(40, milliseconds(kSeconds * 1000));
  const int capacity = kSlots * kSeconds * 1000 / kServiceMs;
  CHECK(run.answered >= capacity * 9 / 10);
  // Forty limiters with one statement each compete for nineteen places; the
  // others retry at the longest pause.
  CHECK(run.refused <= 40 * kSeconds * 1000 / 100);
}

TEST_CASE("statement_limiter: pauses after a refusal, doubled in a row") {
  statement_limiter limiter;
  core::time_point now{std::chrono::hours(1)};
  CHECK(limiter.MayStart(now));
  limiter.OnRefused(now);
  CHECK_FALSE(limiter.MayStart(now + milliseconds(19)));
  now += milliseconds(20);
  CHECK(limiter.MayStart(now));
  limiter.OnRefused(now);
  // Refusals of statements that were sent before the pause count once.
  limiter.OnRefused(now + milliseconds(1));
  CHECK(limiter.BackoffUntil() == now + milliseconds(40));
  limiter.OnAnswer(milliseconds(5), milliseconds(1));
  now += milliseconds(40);
  limiter.OnRefused(now);
  CHECK(limiter.BackoffUntil() == now + milliseconds(20));
}

}  // namespace plantaintiller::replication
