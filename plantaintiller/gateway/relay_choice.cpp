#include "plantaintiller/gateway/relay_choice.h"

#include <algorithm>
#include <map>

namespace plantaintiller::gateway {

std::vector<std::string> relay_choice::Targets(
    const relay_candidate& self,
    const std::vector<relay_candidate>& live,
    std::size_t small) {
  std::vector<std::string> hosts;
  if (live.size() < small) {
    for (const relay_candidate& each : live) {
      hosts.push_back(each.host);
    }
    return hosts;
  }
  // The least names of each zone: views that agree on who is alive agree on
  // the relays.
  std::map<std::string, std::vector<std::string>> names;
  names[self.zone].push_back(self.name);
  for (const relay_candidate& each : live) {
    names[each.zone].push_back(each.name);
  }
  for (auto& [zone, list] : names) {
    std::sort(list.begin(), list.end());
    list.resize(std::min(list.size(), kRelays));
  }
  const auto relays = [&names](const relay_candidate& each) {
    const std::vector<std::string>& list = names[each.zone];
    return std::find(list.begin(), list.end(), each.name) != list.end();
  };
  const bool relay = relays(self);
  for (const relay_candidate& each : live) {
    const bool told = relay ? each.zone == self.zone || relays(each)
                            : each.zone == self.zone && relays(each);
    if (told) {
      hosts.push_back(each.host);
    }
  }
  return hosts;
}

}  // namespace plantaintiller::gateway
