#include "plantaintiller/experiments/failover_experiment.h"

#include <functional>
#include <optional>

#include "plantaintiller/model/world.h"

namespace plantaintiller::experiments {

namespace {

using core::milliseconds;
using core::time_point;
using model::world;

constexpr core::database_id kDatabase{1};
constexpr milliseconds kWarmUp{3000};
constexpr milliseconds kSteadyLoadTime{1000};
constexpr milliseconds kMaxFailoverTime{20000};
constexpr milliseconds kPollInterval{100};
constexpr milliseconds kWriteInterval{5};
constexpr milliseconds kDeadline{15000};

struct timeline {
  core::backend_server_id primary;
  core::term_number term = 0;
  time_point failed;
  std::optional<time_point> proposed;
  std::optional<time_point> recorded;
  std::optional<time_point> adopted;
  std::optional<time_point> last_write_before;
  std::optional<time_point> first_write_after;
};

milliseconds Between(const std::optional<time_point>& from,
                     const std::optional<time_point>& to) {
  return from.has_value() && to.has_value() ? core::ToMilliseconds(*to - *from)
                                            : milliseconds(-1);
}

// Writes from each instance in turn for as long as the run lasts.
void KeepWriting(world& run, timeline& seen, std::size_t instance) {
  run.SubmitStatement(instance, run.MakeWrite(kDatabase, kDeadline),
                      [&run, &seen](const core::statement&,
                                    const core::statement_outcome& outcome) {
                        if (!outcome.Succeeded()) {
                          return;
                        }
                        const bool failed = seen.failed != time_point();
                        const bool after = failed && outcome.term > seen.term;
                        if (!after) {
                          seen.last_write_before = run.Queue().Now();
                        } else if (!seen.first_write_after.has_value()) {
                          seen.first_write_after = run.Queue().Now();
                        }
                      });
  run.Queue().ScheduleAfter(kWriteInterval, [&run, &seen, instance] {
    KeepWriting(run, seen, (instance + 1) % run.InstanceCount());
  });
}

void WatchAdoption(world& run, timeline& seen) {
  for (core::slot_number slot = 0; slot < core::kMaxSlots; ++slot) {
    const core::backend_server_id id{kDatabase, slot};
    const bool successor = run.HasServer(id) && id != seen.primary &&
                           run.Server(id).Log().State().is_primary;
    if (successor && !seen.adopted.has_value()) {
      seen.adopted = run.Queue().Now();
    }
  }
  if (!seen.adopted.has_value()) {
    run.Queue().ScheduleAfter(milliseconds(1),
                              [&run, &seen] { WatchAdoption(run, seen); });
  }
}

void InjectFailure(world& run,
                   const failover_case& failed,
                   core::backend_server_id primary) {
  const model::node_id node = model::node_id::Server(primary);
  switch (failed.primary_failure) {
    case failover_case::failure::kKilled:
      run.KillServer(primary);
      break;
    case failover_case::failure::kFrozen:
      run.Network().Freeze(node);
      break;
    case failover_case::failure::kCutOff:
      run.Isolate(node);
      break;
  }
  run.Platform().extra_delay = failed.platform_extra_delay;
  run.Platform().answer_loss_probability =
      failed.platform_answer_loss_probability;
  if (failed.platform_down > milliseconds(0)) {
    run.Platform().down = true;
    run.Queue().ScheduleAfter(failed.platform_down,
                              [&run] { run.Platform().down = false; });
  }
}

}  // namespace

failover_gap MeasureFailover(const model::world_settings& settings,
                             const failover_case& failed,
                             std::uint64_t seed) {
  world run(settings, seed);
  timeline seen;
  run.SetDecisionObserver(
      [&](core::instance_id, const decisions::decision_log_entry& note) {
        const bool failed_yet = seen.failed != time_point();
        if (!failed_yet || note.server.database != kDatabase ||
            note.term <= seen.term) {
          return;
        }
        if (note.kind == decisions::decision_kind::kProposePromotion &&
            !seen.proposed.has_value()) {
          seen.proposed = run.Queue().Now();
        }
        if (note.kind == decisions::decision_kind::kAdoptRecord &&
            !seen.recorded.has_value()) {
          seen.recorded = run.Queue().Now();
        }
      });
  run.StartProcesses();
  run.RunFor(kWarmUp);
  KeepWriting(run, seen, 0);
  // Another phase against the probes' period with each seed.
  run.RunFor(kSteadyLoadTime + milliseconds(seed * 7 % 250));
  const core::group_record record = run.Platform().Record(kDatabase);
  seen.primary = {kDatabase, record.primary};
  seen.term = record.term;
  seen.failed = run.Queue().Now();
  InjectFailure(run, failed, seen.primary);
  WatchAdoption(run, seen);
  const time_point end = run.Queue().Now() + kMaxFailoverTime;
  while (!seen.first_write_after.has_value() && run.Queue().Now() < end) {
    run.RunFor(kPollInterval);
  }
  failover_gap gap;
  gap.total = Between(seen.last_write_before, seen.first_write_after);
  gap.detect = Between(seen.failed, seen.proposed);
  gap.decide = Between(seen.proposed, seen.recorded);
  gap.order = Between(seen.recorded, seen.adopted);
  gap.resume = Between(seen.adopted, seen.first_write_after);
  gap.promise_broken = !run.Checker().Violations().empty();
  return gap;
}

}  // namespace plantaintiller::experiments
