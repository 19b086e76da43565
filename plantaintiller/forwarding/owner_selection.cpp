#include "plantaintiller/forwarding/owner_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace plantaintiller::forwarding {

namespace {

/// Lower bound of a capacity, in cores, so that no weight is zero.
constexpr double kMinCapacity = 0.01;

/// Grows with the square of the capacity: an owner serves its groups in
/// addition to its own callers, so that an instance with twice the processor
/// share has more than twice as much left for groups.
double Weight(double capacity) {
  const double bounded = std::max(capacity, kMinCapacity);
  return bounded * bounded;
}

/// Score of a candidate in weighted rendezvous hashing (Schindelhauer and
/// Schomaker, 2005); the highest score wins.
double Score(const std::string& group, const owner_candidate& candidate) {
  const std::string key = group + '\n' + candidate.instance;
  const std::uint64_t hash = XXH3_64bits(key.data(), key.size());
  // In (0, 1): the 53 bits of precision of a double, offset from zero because
  // the logarithm of zero is infinite.
  const double uniform =
      (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
  return Weight(candidate.capacity) / -std::log(uniform);
}

}  // namespace

std::vector<owner_candidate> owner_selection::Rank(
    const std::string& group,
    std::vector<owner_candidate> candidates) {
  std::vector<std::pair<double, std::size_t>> ranked;
  ranked.reserve(candidates.size());
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    ranked.emplace_back(-Score(group, candidates[n]), n);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<owner_candidate> order;
  order.reserve(candidates.size());
  for (const auto& [score, n] : ranked) {
    order.push_back(std::move(candidates[n]));
  }
  return order;
}

}  // namespace plantaintiller::forwarding
