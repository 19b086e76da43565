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

// Sends writes at a fixed interval until the run ends, through each instance in
// turn.
void WriteContinuously(world& run, timeline& observed, std::size_t instance) {
  run.SubmitStatement(
      instance, run.MakeWrite(kDatabase, kDeadline),
      [&run, &observed](const core::statement&,
                        const core::statement_outcome& outcome) {
        if (!outcome.Succeeded()) {
          return;
        }
        const bool failed = observed.failed != time_point();
        const bool after = failed && outcome.term > observed.term;
        if (!after) {
          observed.last_write_before = run.Queue().Now();
        } else if (!observed.first_write_after.has_value()) {
          observed.first_write_after = run.Queue().Now();
        }
      });
  run.Queue().ScheduleAfter(kWriteInterval, [&run, &observed, instance] {
    WriteContinuously(run, observed, (instance + 1) % run.InstanceCount());
  });
}

void WatchAdoption(world& run, timeline& observed) {
  for (core::slot_number slot = 0; slot < core::kMaxSlots; ++slot) {
    const core::backend_server_id id{kDatabase, slot};
    const bool successor = run.HasServer(id) && id != observed.primary &&
                           run.Server(id).Log().State().is_primary;
    if (successor && !observed.adopted.has_value()) {
      observed.adopted = run.Queue().Now();
    }
  }
  if (!observed.adopted.has_value()) {
    run.Queue().ScheduleAfter(
        milliseconds(1), [&run, &observed] { WatchAdoption(run, observed); });
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
  timeline observed;
  run.SetDecisionObserver(
      [&](core::instance_id, const decisions::decision_log_entry& decision) {
        const bool failed_yet = observed.failed != time_point();
        if (!failed_yet || decision.server.database != kDatabase ||
            decision.term <= observed.term) {
          return;
        }
        if (decision.kind == decisions::decision_kind::kProposePromotion &&
            !observed.proposed.has_value()) {
          observed.proposed = run.Queue().Now();
        }
        if (decision.kind == decisions::decision_kind::kAdoptRecord &&
            !observed.recorded.has_value()) {
          observed.recorded = run.Queue().Now();
        }
      });
  run.StartProcesses();
  run.RunFor(kWarmUp);
  WriteContinuously(run, observed, 0);
  // The seed shifts the failure within the period of the probes.
  run.RunFor(kSteadyLoadTime + milliseconds(seed * 7 % 250));
  const core::group_record record = run.Platform().Record(kDatabase);
  observed.primary = {kDatabase, record.primary};
  observed.term = record.term;
  observed.failed = run.Queue().Now();
  InjectFailure(run, failed, observed.primary);
  WatchAdoption(run, observed);
  const time_point end = run.Queue().Now() + kMaxFailoverTime;
  while (!observed.first_write_after.has_value() && run.Queue().Now() < end) {
    run.RunFor(kPollInterval);
  }
  failover_gap gap;
  gap.total = Between(observed.last_write_before, observed.first_write_after);
  gap.detect = Between(observed.failed, observed.proposed);
  gap.decide = Between(observed.proposed, observed.recorded);
  gap.order = Between(observed.recorded, observed.adopted);
  gap.resume = Between(observed.adopted, observed.first_write_after);
  gap.promise_broken = !run.Checker().Violations().empty();
  return gap;
}

}  // namespace plantaintiller::experiments
