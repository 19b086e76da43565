#include "plantaintiller/gateway/relay_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace plantaintiller::gateway {

namespace {

bool IsAmong(const std::map<std::string, std::vector<std::string>>& relays,
             const relay_candidate& each) {
  const std::vector<std::string>& list = relays.at(each.zone);
  return std::find(list.begin(), list.end(), each.name) != list.end();
}

}  // namespace

// Relays are the instances with the smallest names, so that instances that
// agree on the live instances also agree on the relays.
std::map<std::string, std::vector<std::string>> relay_selection::Relays(
    const relay_candidate& self,
    const std::vector<relay_candidate>& live) {
  std::map<std::string, std::vector<std::string>> names;
  names[self.zone].push_back(self.name);
  for (const relay_candidate& each : live) {
    std::vector<std::string>& list = names[each.zone];
    if (each.is_confirmed) {
      list.push_back(each.name);
    }
  }
  for (auto& [zone, list] : names) {
    std::sort(list.begin(), list.end());
    list.resize(std::min(list.size(), relay_selection::kRelaysPerZone));
  }
  return names;
}

bool relay_selection::IsStoreReader(const relay_candidate& self,
                                    const std::vector<relay_candidate>& live,
                                    std::size_t small_deployment) {
  if (live.size() < small_deployment) {
    return true;
  }
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& [zone, names] : Relays(self, live)) {
    for (const std::string& each : names) {
      // Ranked by a hash of the name, so that the readers are in different
      // zones.
      ranked.emplace_back(XXH3_64bits(each.data(), each.size()), each);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kStoreReaders));
  return std::any_of(ranked.begin(), ranked.end(), [&self](const auto& each) {
    return each.second == self.name;
  });
}

bool relay_selection::IsRelay(const relay_candidate& self,
                              const std::vector<relay_candidate>& live,
                              std::size_t small_deployment) {
  return live.size() >= small_deployment && IsAmong(Relays(self, live), self);
}

std::vector<relay_candidate> relay_selection::OtherRelays(
    const relay_candidate& self,
    const std::vector<relay_candidate>& live) {
  const auto relays = Relays(self, live);
  std::vector<relay_candidate> others;
  for (const relay_candidate& each : live) {
    if (IsAmong(relays, each)) {
      others.push_back(each);
    }
  }
  return others;
}

std::vector<std::string> relay_selection::Targets(
    const relay_candidate& self,
    const std::vector<relay_candidate>& live,
    std::size_t small_deployment) {
  std::vector<std::string> hosts;
  if (live.size() < small_deployment) {
    for (const relay_candidate& each : live) {
      hosts.push_back(each.host);
    }
    return hosts;
  }
  const auto relays = Relays(self, live);
  const bool is_relay = IsAmong(relays, self);
  for (const relay_candidate& each : live) {
    const bool is_target =
        is_relay ? each.zone == self.zone || IsAmong(relays, each)
                 : each.zone == self.zone && IsAmong(relays, each);
    if (is_target) {
      hosts.push_back(each.host);
    }
  }
  return hosts;
}

}  // namespace plantaintiller::gateway
