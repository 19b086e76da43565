#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/server_connection.h"

namespace plantaintiller::admission {

/// Kinds of work whose run times are observed separately.
enum class work_kind : std::uint8_t {
  /// A single read that may run at a replica.
  kRead,
  /// A single statement at the leader.
  kLeaderStatement,
  /// All statements of one transaction.
  kTransaction,
};
inline constexpr std::size_t kWorkKinds = 3;

/// @return the kind of work that a request for a connection is for.
work_kind KindOf(const sessions::connection_requirements& need);

/// Number of requests of each kind; fractions are shares of requests.
using work_counts = std::array<double, kWorkKinds>;

/// Observed run times by kind of work: the time for which a slot is occupied,
/// including the queue at the server, so that slots divided by run time is the
/// throughput (Little's law).
class run_times {
 public:
  /// Records the run time of work that has ended.
  void OnEnded(work_kind kind, core::duration took);
  /// @return the mean; zero if nothing of this kind was observed.
  core::duration Mean(work_kind kind) const;
  /// @return the mean for a request's kind, at most half of its time limit, so
  /// that a request that has just arrived always counts as one that can be
  /// answered: only its answer corrects a mean that a pause has spoiled.
  core::duration ExpectedFor(
      const sessions::connection_requirements& need) const;
  /// @return a bound that few run times exceed: the mean and twice the mean
  /// deviation.
  core::duration Bound(work_kind kind) const;
  /// @return the total run time of a number of requests.
  core::duration Total(const work_counts& counts) const;

 private:
  struct estimate {
    bool known = false;
    double mean = 0;
    double deviation = 0;
  };
  std::array<estimate, kWorkKinds> estimates_;
};

}  // namespace plantaintiller::admission
