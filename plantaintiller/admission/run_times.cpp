#include "plantaintiller/admission/run_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaintiller::admission {

namespace {

/// Gains of the moving averages, as for round-trip times (Jacobson, 1988).
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kBoundDeviations = 2;

core::duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

work_kind KindOf(const sessions::connection_requirements& need) {
  if (need.transaction) {
    return work_kind::kTransaction;
  }
  return need.leader ? work_kind::kLeaderStatement : work_kind::kRead;
}

void run_times::OnEnded(work_kind kind, core::duration took) {
  estimate& updated = estimates_[static_cast<std::size_t>(kind)];
  const double seconds = std::chrono::duration<double>(took).count();
  if (!updated.known) {
    updated = {true, seconds, seconds / 2};
    return;
  }
  const double error = seconds - updated.mean;
  updated.mean += kMeanGain * error;
  updated.deviation += kDeviationGain * (std::abs(error) - updated.deviation);
}

core::duration run_times::Mean(work_kind kind) const {
  return FromSeconds(estimates_[static_cast<std::size_t>(kind)].mean);
}

core::duration run_times::ExpectedFor(
    const sessions::connection_requirements& need) const {
  const core::duration mean = Mean(KindOf(need));
  return need.time_limit == core::duration{0}
             ? mean
             : std::min(mean, need.time_limit / 2);
}

core::duration run_times::Bound(work_kind kind) const {
  const estimate& known = estimates_[static_cast<std::size_t>(kind)];
  return FromSeconds(known.mean + kBoundDeviations * known.deviation);
}

core::duration run_times::Total(const work_counts& counts) const {
  double seconds = 0;
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    seconds += counts[kind] * estimates_[kind].mean;
  }
  return FromSeconds(seconds);
}

}  // namespace plantaintiller::admission
