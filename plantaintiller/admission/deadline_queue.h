#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantaintiller/admission/request_queue.h"
#include "plantaintiller/admission/run_times.h"

namespace plantaintiller::admission {

/// Waiting work, by the servers that can run it.
struct waiting_work {
  /// Requests that only the leader can serve.
  work_counts leader_only{};
  /// Requests that other servers can serve, too.
  work_counts any_server{};
};

/// Work that is served before a given request.
struct work_ahead {
  /// Work of higher classes, except for the share of the lower ones.
  waiting_work higher_classes;
  waiting_work same_class;
};

/// Serves requests by priority class, with a floor for lower classes; within a
/// class those first that can still meet their latency objective; among these
/// by deficit round robin over accounts; and within an account by objective or
/// deadline. Requests of returning callers precede the others of their account.
/// Requests that cannot be answered before their deadline are not served.
///
/// Commands, which name a server, precede everything and are not counted.
class deadline_queue : public request_queue {
 public:
  /// Share of the served requests that each class with waiting requests gets at
  /// least, whatever waits in higher classes.
  static constexpr double kClassFloor = 0.1;

  /// @param observed must outlive the queue.
  explicit deadline_queue(const run_times& observed) : run_times_(observed) {}

  void Add(request_key key,
           const sessions::connection_requirements& need,
           core::time_point now) override;
  void Remove(request_key key) override;
  void OnServed(request_key key, core::time_point now) override;
  const waiting_request* Find(request_key key) const override;
  std::vector<request_key> Order(core::time_point now) const override;
  std::size_t Size() const override { return waiting_.size(); }

  /// Sets the weights of the accounts. @param weights by account name; others
  /// have the largest weight.
  void SetWeights(const std::map<std::string, double>& weights);
  /// @return the number of waiting requests by priority class, without
  /// commands.
  std::map<int, std::size_t> LengthByClass() const;
  /// @param late whether the request is regarded as one that misses its
  /// objective.
  /// @return what would be served before a request if it were added now.
  work_ahead Ahead(const sessions::connection_requirements& need,
                   bool late,
                   core::time_point now) const;

 private:
  /// Smallest quantum of an account, relative to that of the largest. It bounds
  /// how many requests of large accounts are served before one of a small one.
  static constexpr double kMinQuantum = 1.0 / 16;
  /// Upper bound of deficits and credits, so that what could not run does not
  /// accumulate a claim.
  static constexpr double kMaxCredit = 2;

  struct class_state {
    /// Requests owed to the class by its floor.
    double credit = 0;
    std::size_t waiting = 0;
    /// Deficits of accounts with waiting requests.
    std::map<std::string, double> deficits;
    std::map<std::string, std::size_t> waiting_by_account;
    std::string last_account;
  };
  struct lane;
  struct ordered_class;

  double Quantum(const std::string& account) const;
  bool IsExpired(const waiting_request& request, core::time_point now) const;
  bool IsLate(const sessions::connection_requirements& need,
              core::time_point now) const;
  /// Number of rounds until an account with a deficit may be served.
  static double Rounds(double deficit, double quantum);
  /// Updates the credits of the classes for one served request.
  static void UpdateCredits(std::map<int, double>& credits, int served);
  std::map<int, ordered_class> Classes(core::time_point now) const;
  static void AppendNext(ordered_class& from, std::vector<request_key>& order);

  const run_times& run_times_;
  std::unordered_map<request_key, waiting_request> waiting_;
  std::uint64_t next_sequence_ = 0;
  std::map<int, class_state> classes_;
  std::map<std::string, double> quanta_;
};

}  // namespace plantaintiller::admission
