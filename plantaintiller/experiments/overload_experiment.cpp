#include "plantaintiller/experiments/overload_experiment.h"

#include <algorithm>
#include <random>
#include <vector>

#include "plantaintiller/model/world.h"

namespace plantaintiller::experiments {

namespace {

using core::milliseconds;
using model::world;

constexpr core::database_id kDatabase{1};
constexpr milliseconds kWarmUp{3000};
constexpr milliseconds kRampUpTime{2000};
constexpr milliseconds kMeasurementTime{8000};
constexpr milliseconds kDeadline{2000};
constexpr milliseconds kPortalStaleness{5000};

struct read_results {
  std::vector<core::duration> times;
  std::uint64_t refused = 0;
};

/// Sends reads at random times to random instances.
class read_source {
 public:
  read_source(world& run,
              int per_second,
              milliseconds staleness,
              std::uint64_t seed)
      : run_(run),
        per_second_(per_second),
        staleness_(staleness),
        random_(seed) {}

  void Start(core::time_point count_from, core::time_point end) {
    count_from_ = count_from;
    end_ = end;
    if (per_second_ > 0) {
      ScheduleNextRead();
    }
  }
  read_results& Results() { return results_; }

 private:
  void ScheduleNextRead() {
    std::exponential_distribution<double> pause(per_second_);
    const auto span = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(pause(random_)));
    run_.Queue().ScheduleAfter(span, [this] {
      if (run_.Queue().Now() < end_) {
        SendRead();
        ScheduleNextRead();
      }
    });
  }

  void SendRead() {
    const core::time_point sent_at = run_.Queue().Now();
    const bool is_counted = sent_at >= count_from_;
    run_.SubmitStatement(
        random_() % run_.InstanceCount(),
        run_.MakeRead(kDatabase, staleness_, kDeadline),
        [this, sent_at, is_counted](const core::statement&,
                                    const core::statement_outcome& outcome) {
          if (!is_counted) {
            return;
          }
          if (outcome.Succeeded()) {
            results_.times.push_back(run_.Queue().Now() - sent_at);
          } else {
            results_.refused += 1;
          }
        });
  }

  world& run_;
  int per_second_;
  milliseconds staleness_;
  std::mt19937_64 random_;
  core::time_point count_from_;
  core::time_point end_;
  read_results results_;
};

core::duration Quantile(std::vector<core::duration>& times, double fraction) {
  if (times.empty()) {
    return core::duration(0);
  }
  std::ranges::sort(times);
  const auto last = static_cast<double>(times.size() - 1);
  return times[static_cast<std::size_t>(last * fraction)];
}

}  // namespace

double CapacityOf(const model::world_settings& settings,
                  core::duration service_time) {
  const double seconds = std::chrono::duration<double>(service_time).count();
  return settings.connections * settings.slots / seconds;
}

overload_result MeasureOverload(const model::world_settings& settings,
                                core::duration service_time,
                                const overload_case& load,
                                std::uint64_t seed) {
  world run(settings, seed);
  run.StartProcesses();
  for (core::slot_number slot = 0; slot < settings.slots; ++slot) {
    run.Server({kDatabase, slot}).service_time = service_time;
  }
  run.RunFor(kWarmUp);
  read_source reviewers(run, load.reviewer_reads, milliseconds(0), seed + 1);
  read_source portal(run, load.portal_reads, kPortalStaleness, seed + 2);
  const core::time_point count_from = run.Queue().Now() + kRampUpTime;
  const core::time_point end = count_from + kMeasurementTime;
  reviewers.Start(count_from, end);
  portal.Start(count_from, end);
  run.RunFor(kRampUpTime + kMeasurementTime + 2 * kDeadline);
  overload_result result;
  std::vector<core::duration>& times = reviewers.Results().times;
  result.reviewer_median = Quantile(times, 0.5);
  result.reviewer_p99 = Quantile(times, 0.99);
  result.reviewer_refused = reviewers.Results().refused;
  result.portal_goodput =
      static_cast<double>(portal.Results().times.size()) /
      std::chrono::duration<double>(kMeasurementTime).count();
  result.portal_refused = portal.Results().refused;
  return result;
}

}  // namespace plantaintiller::experiments
