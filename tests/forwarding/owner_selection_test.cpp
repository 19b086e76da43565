#include "plantaintiller/forwarding/owner_selection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace plantaintiller::forwarding {

namespace {

std::vector<owner_candidate> Zone(int large, int small) {
  std::vector<owner_candidate> all;
  for (int n = 0; n < large + small; ++n) {
    const std::string name = "i" + std::to_string(n);
    all.push_back({name, "10.0.0." + std::to_string(n), n < large ? 0.5 : 0.1});
  }
  return all;
}

std::string OwnerOf(int group, const std::vector<owner_candidate>& zone) {
  return owner_selection::Rank("g" + std::to_string(group), zone)
      .front()
      .instance;
}

}  // namespace

TEST_CASE("owner_selection: the order of the candidates does not matter") {
  std::vector<owner_candidate> zone = Zone(2, 12);
  const auto first = owner_selection::Rank("g", zone);
  std::reverse(zone.begin(), zone.end());
  const auto second = owner_selection::Rank("g", zone);
  REQUIRE(first.size() == 14);
  for (std::size_t n = 0; n < first.size(); ++n) {
    CHECK(first[n].instance == second[n].instance);
  }
}

TEST_CASE(
    "owner_selection: the loss of an instance moves only its own groups") {
  const std::vector<owner_candidate> zone = Zone(0, 20);
  std::vector<owner_candidate> fewer = zone;
  fewer.erase(fewer.begin() + 7);
  for (int group = 0; group < 500; ++group) {
    const std::string before = OwnerOf(group, zone);
    if (before != "i7") {
      CHECK(OwnerOf(group, fewer) == before);
    } else {
      CHECK(
          OwnerOf(group, fewer) ==
          owner_selection::Rank("g" + std::to_string(group), zone)[1].instance);
    }
  }
}

TEST_CASE("owner_selection: instances with more capacity own more groups") {
  const std::vector<owner_candidate> zone = Zone(1, 10);
  std::map<std::string, int> groups;
  for (int group = 0; group < 3500; ++group) {
    groups[OwnerOf(group, zone)] += 1;
  }
  // The weight of i0 is 25 of 35: the square of 0.5 / 0.1, and 1 for each of
  // the other ten.
  CHECK(groups["i0"] > 2350);
  CHECK(groups["i0"] < 2650);
}

// Guards against a shortage of connections: with 85 instances and 32
// connections per server, instances that each open their own connections
// continually take them from each other.
TEST_CASE(
    "owner_selection: connections to a server do not grow with instances") {
  constexpr int kZones = 6;
  constexpr int kGroups = 8;
  for (const int instances : {30, 85, 300, 1900}) {
    std::map<int, std::set<std::string>> owners;
    std::size_t max_links = 0;
    for (int zone = 0; zone < kZones; ++zone) {
      std::vector<owner_candidate> members = Zone(0, instances / kZones);
      for (owner_candidate& each : members) {
        each.instance = std::to_string(zone) + each.instance;
      }
      std::set<std::string> links;
      for (int group = 0; group < kGroups; ++group) {
        const std::string owner = OwnerOf(group, members);
        owners[group].insert(owner);
        links.insert(owner);
      }
      max_links = std::max(max_links, links.size());
    }
    for (int group = 0; group < kGroups; ++group) {
      CHECK(owners[group].size() == kZones);
    }
    CHECK(max_links <= kGroups);
  }
}

TEST_CASE(
    "owner_selection: an instance without a known capacity can be the owner") {
  std::vector<owner_candidate> zone = {{"i0", "10.0.0.1", 0.0}};
  CHECK(owner_selection::Rank("g", zone).front().instance == "i0");
  CHECK(owner_selection::Rank("g", {}).empty());
}

}  // namespace plantaintiller::forwarding
