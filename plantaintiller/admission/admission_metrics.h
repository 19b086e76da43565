#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "plantaintiller/core/time.h"

namespace plantaintiller::admission {

/// Counts of admission decisions, summed over the groups of an instance.
class admission_metrics {
 public:
  /// Counts a refused request. @param cause a string of static storage.
  void OnRefused(const char* cause) { refusals_[cause] += 1; }
  /// Counts a retry by the system itself. @param granted false if the budget
  /// did not allow it.
  void OnRetry(bool granted) { (granted ? retries_ : retries_denied_) += 1; }
  /// Counts a request of a caller that came back after a refusal.
  void OnReturned() { returned_ += 1; }
  /// Records the wait of a served request.
  /// @param predicted wait that was predicted when it arrived.
  /// @param real its wait.
  void OnServed(core::duration predicted, core::duration real);
  /// @param lengths number of waiting requests by priority class.
  /// @return the metrics in the Prometheus text format.
  std::string Text(const std::map<int, std::size_t>& lengths) const;

 private:
  /// Upper bounds of the buckets of real minus predicted wait in milliseconds:
  /// fractions and multiples of the shortest latency objective of the users'
  /// routes, 400 ms.
  static constexpr std::array<std::int64_t, 11> kBounds{
      -400, -200, -100, -50, -10, 0, 10, 50, 100, 200, 400};

  std::map<std::string, std::uint64_t> refusals_;
  std::uint64_t retries_ = 0;
  std::uint64_t retries_denied_ = 0;
  std::uint64_t returned_ = 0;
  std::array<std::uint64_t, kBounds.size() + 1> errors_{};
  double error_sum_ = 0;
};

}  // namespace plantaintiller::admission
