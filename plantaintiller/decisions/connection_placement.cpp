#include "plantaintiller/decisions/connection_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace plantaintiller::decisions {

namespace {

std::uint64_t Weight(core::backend_server_id server, core::instance_id holder) {
  const std::array<std::uint32_t, 3> words{server.database.value, server.slot,
                                           holder.value};
  return XXH3_64bits(words.data(), sizeof(words));
}

}  // namespace

std::vector<core::instance_id> connection_placement::Holders(
    core::backend_server_id server,
    core::zone_id zone,
    const std::vector<placement_candidate>& candidates) {
  std::vector<core::instance_id> holders;
  for (const placement_candidate& each : candidates) {
    if (each.zone == zone) {
      holders.push_back(each.id);
    }
  }
  if (holders.empty()) {
    for (const placement_candidate& each : candidates) {
      holders.push_back(each.id);
    }
  }
  std::ranges::sort(holders,
                    [server](core::instance_id a, core::instance_id b) {
                      const std::uint64_t weight_a = Weight(server, a);
                      const std::uint64_t weight_b = Weight(server, b);
                      return weight_a != weight_b ? weight_a > weight_b : a < b;
                    });
  holders.resize(std::min(holders.size(), kHolders));
  return holders;
}

int connection_placement::Share(int limit,
                                std::size_t rank,
                                std::size_t holders) {
  if (rank >= holders) {
    return 0;
  }
  const int each = limit / static_cast<int>(holders);
  const int spare = limit % static_cast<int>(holders);
  return each + (static_cast<int>(rank) < spare ? 1 : 0);
}

}  // namespace plantaintiller::decisions
