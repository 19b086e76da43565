#include "plantaintiller/gateway/relay_selection.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace plantaintiller::gateway {

namespace {

std::vector<relay_candidate> Deployment(int instances, int zones) {
  std::vector<relay_candidate> all;
  for (int n = 0; n < instances; ++n) {
    const std::string zone = "z" + std::to_string(n % zones);
    const std::string name = zone + "-" + std::to_string(1000 + n);
    all.push_back({name, zone, name});
  }
  return all;
}

/// Number of messages when each instance sends one heartbeat.
std::size_t Messages(const std::vector<relay_candidate>& all) {
  std::size_t count = 0;
  for (const relay_candidate& self : all) {
    std::vector<relay_candidate> others;
    for (const relay_candidate& each : all) {
      if (each.name != self.name) {
        others.push_back(each);
      }
    }
    count += relay_selection::Targets(self, others, 16).size();
  }
  return count;
}

}  // namespace

TEST_CASE("relay_selection: each sends to all in a small deployment") {
  CHECK(Messages(Deployment(8, 3)) == 8 * 7);
}

TEST_CASE("relay_selection: messages grow linearly with the instances") {
  for (const int instances : {30, 85, 300, 1900}) {
    // Each instance sends to two relays and receives from two relays of its
    // zone.
    CHECK(Messages(Deployment(instances, 5)) <=
          static_cast<std::size_t>(4 * instances + 10 * 10));
  }
}

TEST_CASE("relay_selection: every instance is reached in three steps") {
  const std::vector<relay_candidate> all = Deployment(85, 6);
  std::set<std::string> reached{all[40].name};
  for (int step = 0; step < 3; ++step) {
    const std::set<std::string> before = reached;
    for (const relay_candidate& self : all) {
      if (!before.contains(self.name)) {
        continue;
      }
      std::vector<relay_candidate> others;
      for (const relay_candidate& each : all) {
        if (each.name != self.name) {
          others.push_back(each);
        }
      }
      for (const std::string& host :
           relay_selection::Targets(self, others, 16)) {
        reached.insert(host);
      }
    }
  }
  CHECK(reached.size() == all.size());
}

TEST_CASE("relay_selection: a few relays in several zones read the store") {
  for (const int instances : {30, 85, 300, 1900}) {
    const std::vector<relay_candidate> all = Deployment(instances, 6);
    std::set<std::string> readers;
    std::set<std::string> zones;
    for (const relay_candidate& self : all) {
      std::vector<relay_candidate> others;
      for (const relay_candidate& each : all) {
        if (each.name != self.name) {
          others.push_back(each);
        }
      }
      if (relay_selection::IsStoreReader(self, others, 16)) {
        // Only relays send to instances of other zones.
        bool is_relay = false;
        for (const std::string& host :
             relay_selection::Targets(self, others, 16)) {
          is_relay = is_relay || !host.starts_with(self.zone + "-");
        }
        CHECK(is_relay);
        readers.insert(self.name);
        zones.insert(self.zone);
      }
    }
    CHECK(readers.size() == relay_selection::kStoreReaders);
    CHECK(zones.size() >= 2);
  }
  CHECK(relay_selection::IsStoreReader({"a", "z", "h"}, {}, 16));
}

}  // namespace plantaintiller::gateway
