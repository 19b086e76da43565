// Runs the experiments of docs/MEASUREMENTS.md in virtual time and prints their
// tables: plantaintiller_experiments [failover|replicas|overload] [SEEDS]

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "plantaintiller/experiments/failover_experiment.h"
#include "plantaintiller/experiments/overload_experiment.h"
#include "plantaintiller/experiments/replica_experiment.h"

namespace plantaintiller::experiments {

namespace {

using core::milliseconds;

struct deployment {
  const char* name;
  model::world_settings settings;
};

std::vector<deployment> Deployments() {
  return {{"swanlodge", model::SwanlodgeSettings()},
          {"agency", model::AgencySettings()}};
}

// Runs seeds 1 to `seeds` on all processors.
void ForEachSeed(std::uint64_t seeds,
                 const std::function<void(std::uint64_t)>& run) {
  std::atomic<std::uint64_t> next{1};
  std::vector<std::thread> threads;
  for (unsigned n = 0; n < std::max(1U, std::thread::hardware_concurrency());
       ++n) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed <= seeds; seed = next++) {
        run(seed);
      }
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
}

milliseconds Median(std::vector<milliseconds> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

void PrintFailover(const char* user,
                   const char* name,
                   const model::world_settings& settings,
                   const failover_case& failed,
                   std::uint64_t seeds) {
  std::vector<failover_gap> gaps(seeds);
  ForEachSeed(seeds, [&](std::uint64_t seed) {
    gaps[seed - 1] = MeasureFailover(settings, failed, seed);
  });
  const auto part = [&gaps](milliseconds failover_gap::*which) {
    std::vector<milliseconds> values;
    values.reserve(gaps.size());
    for (const failover_gap& gap : gaps) {
      values.push_back(gap.*which);
    }
    return values;
  };
  const std::vector<milliseconds> total = part(&failover_gap::total);
  const auto unfinished = std::ranges::count(total, milliseconds(-1));
  const auto broken =
      std::ranges::count(gaps, true, &failover_gap::promise_broken);
  std::printf(
      "| %s | %s | %lld | %lld | %lld | %lld | %lld | %lld | %td | %td |\n",
      user, name, static_cast<long long>(Median(total).count()),
      static_cast<long long>(std::ranges::max(total).count()),
      static_cast<long long>(Median(part(&failover_gap::detect)).count()),
      static_cast<long long>(Median(part(&failover_gap::decide)).count()),
      static_cast<long long>(Median(part(&failover_gap::order)).count()),
      static_cast<long long>(Median(part(&failover_gap::resume)).count()),
      unfinished, broken);
}

void RunFailover(std::uint64_t seeds) {
  std::printf(
      "| user | failure | median ms | worst ms | detect | decide | order | "
      "resume | unfinished | runs with a broken promise |\n"
      "|---|---|---|---|---|---|---|---|---|---|\n");
  using failure = failover_case::failure;
  for (const deployment& user : Deployments()) {
    PrintFailover(user.name, "killed", user.settings, {}, seeds);
    PrintFailover(user.name, "frozen", user.settings,
                  {failure::kFrozen, milliseconds(0), 0.0, milliseconds(0)},
                  seeds);
    PrintFailover(user.name, "cut off", user.settings,
                  {failure::kCutOff, milliseconds(0), 0.0, milliseconds(0)},
                  seeds);
    PrintFailover(user.name, "killed, store 300 ms slow", user.settings,
                  {failure::kKilled, milliseconds(300), 0.0, milliseconds(0)},
                  seeds);
    PrintFailover(
        user.name, "killed, store loses half its answers", user.settings,
        {failure::kKilled, milliseconds(0), 0.5, milliseconds(0)}, seeds);
    PrintFailover(user.name, "killed, store down for 5 s", user.settings,
                  {failure::kKilled, milliseconds(0), 0.0, milliseconds(5000)},
                  seeds);
  }
}

void PrintReplicas(const char* user,
                   const char* name,
                   const model::world_settings& settings,
                   const replica_case& replicas,
                   std::uint64_t seeds) {
  std::vector<replica_share> runs(seeds);
  ForEachSeed(seeds, [&](std::uint64_t seed) {
    runs[seed - 1] = MeasureReplicaShare(settings, replicas, seed);
  });
  replica_share total;
  for (const replica_share& run : runs) {
    total.reads += run.reads;
    total.by_replicas += run.by_replicas;
    total.best_possible_by_replicas += run.best_possible_by_replicas;
    total.broken_promises += run.broken_promises;
  }
  std::printf("| %s | %s | %llu | %.3f | %.3f | %llu |\n", user, name,
              static_cast<unsigned long long>(total.reads), total.Share(),
              total.ShareOfBestPossible(),
              static_cast<unsigned long long>(total.broken_promises));
}

void RunReplicas(std::uint64_t seeds) {
  std::printf(
      "| user | workload | reads | share by replicas | of the best possible | "
      "broken promises |\n|---|---|---|---|---|---|\n");
  for (const deployment& user : Deployments()) {
    PrintReplicas(user.name, "quiet night", user.settings,
                  {milliseconds(1000), 60, milliseconds(0)}, seeds);
    PrintReplicas(user.name, "deadline peak", user.settings,
                  {milliseconds(60), 60, milliseconds(0)}, seeds);
    PrintReplicas(user.name, "one replica 5 s behind", user.settings,
                  {milliseconds(60), 60, milliseconds(5000)}, seeds);
    PrintReplicas(user.name, "one replica far behind", user.settings,
                  {milliseconds(60), 60, milliseconds(60000)}, seeds);
    model::world_settings any_replica = user.settings;
    any_replica.decider.defects.trust_replica_age = true;
    any_replica.decider.defects.read_any_term = true;
    any_replica.decider.defects.ignore_token = true;
    PrintReplicas(user.name, "any replica (naive), one 5 s behind", any_replica,
                  {milliseconds(60), 60, milliseconds(5000)}, seeds);
    model::world_settings primary_only = user.settings;
    primary_only.decider.router.use_replicas = false;
    PrintReplicas(user.name, "all at the primary (naive), deadline peak",
                  primary_only, {milliseconds(60), 60, milliseconds(0)}, seeds);
  }
}

void RunOverload(std::uint64_t seeds) {
  constexpr core::duration kServiceTime = milliseconds(10);
  std::printf(
      "| user | portal load, times capacity | reviewer median ms | reviewer "
      "p99 ms | reviewers refused | portal answered/s | portal refused |\n"
      "|---|---|---|---|---|---|---|\n");
  constexpr std::array<double, 6> kLoadFactors{0.0, 0.5, 1.0, 2.0, 4.0, 10.0};
  for (const deployment& user : Deployments()) {
    const double capacity = CapacityOf(user.settings, kServiceTime);
    for (const double load : kLoadFactors) {
      overload_case offered;
      offered.portal_reads = static_cast<int>(capacity * load);
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const overload_result result =
            MeasureOverload(user.settings, kServiceTime, offered, seed);
        const auto ms = [](core::duration span) {
          return std::chrono::duration<double, std::milli>(span).count();
        };
        std::printf("| %s | %.1f | %.1f | %.1f | %llu | %.0f | %llu |\n",
                    user.name, load, ms(result.reviewer_median),
                    ms(result.reviewer_p99),
                    static_cast<unsigned long long>(result.reviewer_refused),
                    result.portal_goodput,
                    static_cast<unsigned long long>(result.portal_refused));
      }
    }
  }
}

}  // namespace

}  // namespace plantaintiller::experiments

int main(int argc, char** argv) {
  using namespace plantaintiller::experiments;
  const std::string which = argc > 1 ? argv[1] : "";
  const std::uint64_t seeds =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 5;
  if (which == "failover") {
    RunFailover(seeds);
  } else if (which == "replicas") {
    RunReplicas(seeds);
  } else if (which == "overload") {
    RunOverload(seeds);
  } else {
    std::fprintf(stderr,
                 "usage: plantaintiller_experiments "
                 "failover|replicas|overload [SEEDS]\n");
    return 2;
  }
  return 0;
}
