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

std::string HomeOf(int group, const std::vector<owner_candidate>& zone) {
  return owner_selection::Rank("g" + std::to_string(group), zone)
      .front()
      .instance;
}

}  // namespace

TEST_CASE("home_choice: the order of the candidates does not matter") {
  std::vector<owner_candidate> zone = Zone(2, 12);
  const auto first = owner_selection::Rank("g", zone);
  std::reverse(zone.begin(), zone.end());
  const auto second = owner_selection::Rank("g", zone);
  REQUIRE(first.size() == 14);
  for (std::size_t n = 0; n < first.size(); ++n) {
    CHECK(first[n].instance == second[n].instance);
  }
}

TEST_CASE("home_choice: the loss of an instance moves its own groups alone") {
  const std::vector<owner_candidate> zone = Zone(0, 20);
  std::vector<owner_candidate> fewer = zone;
  fewer.erase(fewer.begin() + 7);
  for (int group = 0; group < 500; ++group) {
    const std::string before = HomeOf(group, zone);
    if (before != "i7") {
      CHECK(HomeOf(group, fewer) == before);
    } else {
      CHECK(
          HomeOf(group, fewer) ==
          owner_selection::Rank("g" + std::to_string(group), zone)[1].instance);
    }
  }
}

TEST_CASE("home_choice: instances with more processor get more groups") {
  const std::vector<owner_candidate> zone = Zone(1, 10);
  std::map<std::string, int> groups;
  for (int group = 0; group < 3500; ++group) {
    groups[HomeOf(group, zone)] += 1;
  }
  // Its weight is 25 of 35.
  CHECK(groups["i0"] > 2350);
  CHECK(groups["i0"] < 2650);
}

// The pattern: at 85 instances and 32 connections a server, instances that each
// open their own connections take them from each other all the time.
TEST_CASE("home_choice: connections to a server do not grow with instances") {
  constexpr int kZones = 6;
  constexpr int kGroups = 8;
  for (const int instances : {30, 85, 300, 1900}) {
    std::map<int, std::set<std::string>> homes;
    std::size_t most_links = 0;
    for (int zone = 0; zone < kZones; ++zone) {
      std::vector<owner_candidate> members = Zone(0, instances / kZones);
      for (owner_candidate& each : members) {
        each.instance = std::to_string(zone) + each.instance;
      }
      std::set<std::string> links;
      for (int group = 0; group < kGroups; ++group) {
        const std::string home = HomeOf(group, members);
        homes[group].insert(home);
        links.insert(home);
      }
      most_links = std::max(most_links, links.size());
    }
    for (int group = 0; group < kGroups; ++group) {
      CHECK(homes[group].size() == kZones);
    }
    CHECK(most_links <= kGroups);
  }
}

TEST_CASE("home_choice: an instance without a known capacity can be a home") {
  std::vector<owner_candidate> zone = {{"i0", "10.0.0.1", 0.0}};
  CHECK(owner_selection::Rank("g", zone).front().instance == "i0");
  CHECK(owner_selection::Rank("g", {}).empty());
}

}  // namespace plantaintiller::forwarding
