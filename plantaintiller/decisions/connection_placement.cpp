#include "plantaintiller/decisions/connection_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <utility>

namespace plantaintiller::decisions {

namespace {

std::uint64_t Weight(core::backend_server_id server, core::instance_id holder) {
  const std::array<std::uint32_t, 3> words{server.database.value, server.slot,
                                           holder.value};
  return XXH3_64bits(words.data(), sizeof(words));
}

/// Orders by weight, then by id, so that all instances agree.
struct weighted_holder {
  std::uint64_t weight = 0;
  core::instance_id holder;
  friend auto operator<=>(const weighted_holder&,
                          const weighted_holder&) = default;
};

}  // namespace

std::vector<core::instance_id> connection_placement::Holders(
    core::backend_server_id server,
    core::zone_id zone,
    const std::vector<placement_candidate>& candidates) {
  const auto in_zone = [zone](const placement_candidate& each) {
    return each.zone == zone;
  };
  const bool zone_has_any = std::ranges::any_of(candidates, in_zone);
  // Keeps only the best kHolders, in one pass, because there may be thousands
  // of candidates.
  std::array<weighted_holder, kHolders> best{};
  std::size_t found = 0;
  for (const placement_candidate& each : candidates) {
    if (zone_has_any && !in_zone(each)) {
      continue;
    }
    weighted_holder next{Weight(server, each.id), each.id};
    for (std::size_t rank = 0; rank < found; ++rank) {
      if (next > best[rank]) {
        std::swap(next, best[rank]);
      }
    }
    if (found < kHolders) {
      best[found] = next;
      found += 1;
    }
  }
  std::vector<core::instance_id> holders;
  holders.reserve(found);
  for (std::size_t rank = 0; rank < found; ++rank) {
    holders.push_back(best[rank].holder);
  }
  return holders;
}

int connection_placement::Share(int limit,
                                std::size_t rank,
                                std::size_t holders) {
  if (rank >= holders) {
    return 0;
  }
  const int each = limit / static_cast<int>(holders);
  const int remainder = limit % static_cast<int>(holders);
  return each + (static_cast<int>(rank) < remainder ? 1 : 0);
}

}  // namespace plantaintiller::decisions
