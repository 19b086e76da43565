#include "plantaintiller/admission/group_admission.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace plantaintiller::admission {

namespace {

/// A group counts as overloaded until this time after its last refusal. It also
/// bounds the log lines about changes of state.
constexpr core::milliseconds kStateInterval{1000};
/// Retry-after times are spread by this fraction in both directions.
constexpr double kJitter = 0.25;
/// Drain intervals between two returning callers: half of the capacity is left
/// to newcomers, because a request that is served at its first attempt is
/// mostly on time, and one that has returned often late.
constexpr int kReturnIntervals = 2;
/// Smallest pause that can be announced.
constexpr core::milliseconds kMinPause{1};

}  // namespace

group_admission::group_admission(const replication::group_state& group,
                                 admission_metrics& metrics,
                                 admission_listener& listener,
                                 std::uint64_t seed)
    : group_(group),
      metrics_(metrics),
      listener_(listener),
      random_(seed),
      queue_(run_times_),
      prediction_(queue_, run_times_) {}

bool group_admission::MayStart(const std::string& server,
                               core::time_point now) const {
  const auto found = group_.Servers().find(server);
  return found == group_.Servers().end() ||
         (found->second.limiter.MayStart(now) &&
          found->second.connections_in_use < max_connections_);
}

bool group_admission::HasRoom(const sessions::connection_requirements& need,
                              core::time_point now) const {
  if (need.leader) {
    return !group_.Leader().empty() &&
           group_.AcceptsNewWork(group_.Leader(), now) &&
           MayStart(group_.Leader(), now);
  }
  const std::vector<std::string> servers =
      group_.ReadOrder(need.excluded, now, need.position);
  return std::any_of(
      servers.begin(), servers.end(),
      [this, now](const std::string& server) { return MayStart(server, now); });
}

slot_counts group_admission::Slots(
    const sessions::connection_requirements& need,
    core::time_point now) const {
  slot_counts slots;
  const auto slots_of = [this](const std::string& server) {
    const auto found = group_.Servers().find(server);
    return found == group_.Servers().end()
               ? 0
               : std::min(found->second.limiter.Limit(), max_connections_);
  };
  const std::string& leader = group_.Leader();
  if (!leader.empty() && group_.AcceptsNewWork(leader, now)) {
    slots.leader = slots_of(leader);
  }
  for (const std::string& server :
       group_.ReadOrder(need.excluded, now, need.position)) {
    slots.others += server == leader ? 0 : slots_of(server);
  }
  return slots;
}

core::time_point group_admission::LastEnded(
    const sessions::connection_requirements& need,
    core::time_point now) const {
  core::time_point last;
  const auto consider = [this, &last](const std::string& server) {
    const auto found = last_ended_.find(server);
    if (found != last_ended_.end()) {
      last = std::max(last, found->second);
    }
  };
  if (need.leader) {
    consider(group_.Leader());
  } else {
    const std::vector<std::string> servers =
        group_.ReadOrder(need.excluded, now, need.position);
    std::for_each(servers.begin(), servers.end(), consider);
  }
  return last;
}

core::duration group_admission::StalledFor(
    const sessions::connection_requirements& need,
    core::time_point now) const {
  const core::time_point since = std::max(
      LastEnded(need, now), need.leader ? leader_room_at_ : read_room_at_);
  // Before anything has run, nothing is known.
  return since == core::time_point{} ? core::duration(0) : now - since;
}

std::optional<core::duration> group_admission::PredictedWait(
    const sessions::connection_requirements& need,
    bool late,
    core::time_point now) const {
  return prediction_.Wait(need, Slots(need, now), late, StalledFor(need, now),
                          now);
}

admission_decision group_admission::Decide(
    const sessions::connection_requirements& need,
    core::time_point now) {
  UpdateState(now);
  if (need.returning) {
    metrics_.OnReturned();
  }
  admission_decision decision;
  std::optional<core::duration> wait = core::duration(0);
  if (HasRoom(need, now)) {
    (need.leader ? leader_room_at_ : read_room_at_) = now;
  } else {
    wait = PredictedWait(need, false, now);
  }
  if (wait.has_value()) {
    const work_kind kind = KindOf(need);
    const bool on_time =
        need.returning
            ? now + *wait + run_times_.Mean(kind) <= need.deadline_at
            : now + *wait + run_times_.Bound(kind) <= need.objective_at;
    decision.admitted =
        *wait == core::duration(0) || on_time || CanStillBeServed(need, now);
    decision.predicted_wait = *wait;
  }
  prediction_.OnArrival(need, decision.admitted, now);
  return decision;
}

bool group_admission::CanStillBeServed(
    const sessions::connection_requirements& need,
    core::time_point now) {
  if (HasRoom(need, now)) {
    return true;
  }
  const std::optional<core::duration> wait =
      PredictedWait(need, !need.returning, now);
  return !wait.has_value() || now + *wait <= LastStart(need);
}

core::time_point group_admission::LastStart(
    const sessions::connection_requirements& need) const {
  return need.deadline_at - run_times_.ExpectedFor(need);
}

return_time group_admission::RetryAfter(
    const sessions::connection_requirements& need,
    bool keep_place,
    core::milliseconds limit,
    core::time_point now) {
  while (!returns_.empty() && returns_.front() <= now) {
    returns_.pop_front();
  }
  const slot_counts slots = Slots(need, now);
  const core::duration wait =
      PredictedWait(need, false, now).value_or(core::duration(0));
  const core::duration allowed =
      std::max(core::duration(0),
               need.objective_at - now - run_times_.Bound(KindOf(need)));
  const core::duration interval =
      kReturnIntervals * prediction_.DrainInterval(need, slots);
  // The queue must become short enough, and those who return earlier must be
  // served.
  const core::duration pause =
      std::max(core::duration(0), wait - allowed) +
      interval * static_cast<std::int64_t>(returns_.size() + 1);
  return_time result;
  result.place_kept = keep_place && pause < limit;
  std::uniform_real_distribution<double> spread(1.0 - kJitter, 1.0 + kJitter);
  const auto spread_pause = std::chrono::duration_cast<core::milliseconds>(
      std::chrono::duration<double>(std::min<core::duration>(pause, limit)) *
      spread(random_));
  result.pause = std::max(kMinPause, spread_pause);
  if (result.place_kept) {
    const core::time_point at = now + result.pause;
    returns_.insert(std::upper_bound(returns_.begin(), returns_.end(), at), at);
  }
  return result;
}

bool group_admission::TryRetry(const sessions::connection_requirements& need,
                               core::time_point now) {
  const bool awaits_leader = need.leader && group_.Leader().empty();
  // The slot of the failed attempt has just become free; it belongs to the
  // requests that wait.
  if (awaits_leader || (queue_.Size() == 0 && HasRoom(need, now))) {
    return true;
  }
  const bool granted = budget_.TryTake(now);
  metrics_.OnRetry(granted);
  return granted;
}

void group_admission::OnServed(request_key key, core::time_point now) {
  UpdateState(now);
  const waiting_request* request = queue_.Find(key);
  if (request != nullptr && request->need.server.empty()) {
    metrics_.OnServed(request->need.predicted_wait, now - request->since);
  }
}

void group_admission::OnEnded(const std::string& server,
                              work_kind kind,
                              core::duration took,
                              core::time_point now) {
  last_ended_[server] = now;
  run_times_.OnEnded(kind, took);
  UpdateState(now);
}

void group_admission::OnRefused(const char* cause,
                                const sessions::connection_requirements& need,
                                core::time_point now) {
  metrics_.OnRefused(cause);
  refused_ += 1;
  if (!HasRoom(need, now)) {
    last_overload_ = now;
  }
  UpdateState(now);
}

void group_admission::UpdateState(core::time_point now) {
  const bool overloaded = last_overload_ != core::time_point{} &&
                          now - last_overload_ < kStateInterval;
  if (overloaded == overloaded_ || now - state_changed_at_ < kStateInterval) {
    return;
  }
  overloaded_ = overloaded;
  state_changed_at_ = now;
  listener_.OnAdmissionState(group_.Name(),
                             {overloaded, queue_.Size(), refused_});
  refused_ = 0;
}

}  // namespace plantaintiller::admission
