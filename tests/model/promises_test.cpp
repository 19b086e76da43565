#include <doctest/doctest.h>

#include <cstdlib>
#include <map>

#include "tests/model/seed_runner.h"

namespace plantaintiller::model {

namespace {

constexpr std::uint64_t kSeeds = 1500;

// PT_FIRST_SEED and PT_SEEDS select other seeds, for example a single one.
std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace

TEST_CASE("every promise holds under seeded faults") {
  const std::uint64_t first = FromEnvironment("PT_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("PT_SEEDS", kSeeds);
  std::uint64_t faults = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t reads = 0;
  RunSeeds(
      SmallSettings(), first, count, [&](std::uint64_t seed, const world& run) {
        CHECK_MESSAGE(run.Checker().Violations().empty(), Describe(seed, run));
        faults += run.FaultLog().size();
        acknowledged += run.Checker().Acknowledged();
        reads += run.Checker().reads;
      });
  MESSAGE(count << " seeds, " << faults << " faults, " << acknowledged
                << " acknowledged writes, " << reads << " reads");
}

// 2074: a restarted instance reused a transaction number of its previous
// incarnation, so that statements of two callers ran in one transaction.
TEST_CASE("seeds that broke a promise before a fix") {
  for (const std::uint64_t seed : {2074}) {
    RunSeeds(SmallSettings(), seed, 1, [](std::uint64_t one, const world& run) {
      CHECK_MESSAGE(run.Checker().Violations().empty(), Describe(one, run));
    });
  }
}

TEST_CASE("two slots: every promise holds under seeded faults") {
  world_settings settings = SmallSettings();
  settings.slots = 2;
  RunSeeds(settings, 1, 300, [](std::uint64_t seed, const world& run) {
    CHECK_MESSAGE(run.Checker().Violations().empty(), Describe(seed, run));
  });
}

TEST_CASE("the same seed gives the same run") {
  std::map<std::uint64_t, std::uint64_t> digests;
  for (int round = 0; round < 2; ++round) {
    RunSeeds(SmallSettings(), 1, 16, [&](std::uint64_t seed, const world& run) {
      const auto found = digests.try_emplace(seed, run.Digest()).first;
      CHECK(found->second == run.Digest());
    });
  }
}

}  // namespace plantaintiller::model
