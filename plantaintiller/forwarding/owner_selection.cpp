#include "plantaintiller/forwarding/owner_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace plantaintiller::forwarding {

namespace {

/// Least capacity counted, in cores, so that no weight is zero.
constexpr double kMinCapacity = 0.01;

/// Grows with the square of the capacity: a home's statements come on top of
/// what an instance spends on its own callers, so that twice the processor
/// leaves more than twice the room.
double Weight(double capacity) {
  const double counted = std::max(capacity, kMinCapacity);
  return counted * counted;
}

/// Larger is better (Schindelhauer and Schomaker, 2005).
double Score(const std::string& group, const owner_candidate& each) {
  const std::string key = group + '\n' + each.instance;
  const std::uint64_t hash = XXH3_64bits(key.data(), key.size());
  // In (0, 1): the 53 bits that a double holds, moved off zero.
  const double uniform =
      (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
  return Weight(each.capacity) / -std::log(uniform);
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
