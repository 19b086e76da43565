#include "plantaintiller/admission/wait_prediction.h"

#include <algorithm>
#include <chrono>

namespace plantaintiller::admission {

namespace {

/// Upper bound of predictions: longer than any time-out.
constexpr std::chrono::hours kUnlimited{1};
constexpr core::milliseconds kDefaultWindow{1000};

double Seconds(core::duration span) {
  return std::chrono::duration<double>(span).count();
}

core::duration FromSeconds(double seconds) {
  return std::min<core::duration>(
      kUnlimited,
      std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(
          std::min(seconds, Seconds(kUnlimited)))));
}

/// Time in which the slots work off what is ahead, in seconds. Requests for any
/// server use the leader's slots only as far as its own work leaves them free.
double TimeForWork(double leader_only,
                   double any_server,
                   const slot_counts& slots,
                   bool at_leader) {
  const double leader = slots.leader;
  const double others = slots.others;
  if (others == 0) {
    return (leader_only + any_server) / leader;
  }
  if (leader == 0) {
    return any_server / others;
  }
  if (any_server / others <= leader_only / leader) {
    return at_leader ? leader_only / leader : any_server / others;
  }
  return (leader_only + any_server) / (leader + others);
}

}  // namespace

void wait_prediction::OnArrival(const sessions::connection_requirements& need,
                                bool admitted,
                                core::time_point now) {
  const core::duration work = run_times_.Mean(KindOf(need));
  // Demand matters for as long as requests wait: about their objective.
  const core::duration window = need.objective_at > now
                                    ? need.objective_at - now
                                    : core::duration(kDefaultWindow);
  class_demand& demand = demand_[need.priority];
  if (!admitted) {
    demand.refused.OnArrival(work, window, now);
    return;
  }
  demand.all.OnArrival(work, window, now);
  if (need.returning) {
    demand.returning.OnArrival(work, window, now);
  }
  if (need.leader) {
    demand.leader_only.OnArrival(work, window, now);
  }
}

wait_prediction::demand_ahead wait_prediction::DemandAhead(
    const sessions::connection_requirements& need,
    bool late,
    core::time_point now) const {
  demand_ahead result;
  for (const auto& [priority, demand] : demand_) {
    const double rate =
        need.leader ? demand.leader_only.At(now) : demand.all.At(now);
    if (priority < need.priority) {
      result.higher_classes += rate;
    } else if (priority == need.priority && late) {
      result.same_class = rate + demand.refused.At(now);
    } else if (priority == need.priority && !need.returning) {
      result.same_class = demand.returning.At(now);
    }
  }
  return result;
}

std::optional<core::duration> wait_prediction::Wait(
    const sessions::connection_requirements& need,
    const slot_counts& slots,
    bool late,
    core::duration stalled,
    core::time_point now) const {
  const int usable = need.leader ? slots.leader : slots.leader + slots.others;
  if (usable <= 0) {
    return std::nullopt;
  }
  const work_ahead ahead = queue_.Ahead(need, late, now);
  const demand_ahead demand = DemandAhead(need, late, now);
  const auto seconds_of = [this](const work_counts& counts) {
    return Seconds(run_times_.Total(counts));
  };
  const double own_leader_only = seconds_of(ahead.same_class.leader_only);
  const double own_any_server = seconds_of(ahead.same_class.any_server);
  // Until the first of the running statements ends. A server that hangs is
  // expected to go on for as long as it has.
  const work_kind kind = KindOf(need);
  const double until_free = stalled > run_times_.Bound(kind)
                                ? Seconds(stalled)
                                : Seconds(run_times_.Mean(kind)) / usable;
  // Served after the higher classes, with what their demand leaves, or by the
  // floor of its class, whichever is earlier.
  const double all_time = TimeForWork(
      own_leader_only + seconds_of(ahead.higher_classes.leader_only),
      own_any_server + seconds_of(ahead.higher_classes.any_server), slots,
      need.leader);
  const double own_time =
      TimeForWork(own_leader_only, own_any_server, slots, need.leader);
  const double share_after_all =
      1.0 - (demand.higher_classes + demand.same_class) / usable;
  const double share_of_floor =
      deadline_queue::kClassFloor - demand.same_class / usable;
  double wait = Seconds(kUnlimited);
  if (share_after_all > 0) {
    wait = std::min(wait, (all_time + until_free) / share_after_all);
  }
  if (share_of_floor > 0) {
    wait = std::min(wait, (own_time + until_free) / share_of_floor);
  }
  return FromSeconds(wait);
}

core::duration wait_prediction::DrainInterval(
    const sessions::connection_requirements& need,
    const slot_counts& slots) const {
  const int usable = need.leader ? slots.leader : slots.leader + slots.others;
  return run_times_.Mean(KindOf(need)) / std::max(1, usable);
}

}  // namespace plantaintiller::admission
