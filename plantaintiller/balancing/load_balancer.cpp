#include "plantaintiller/balancing/load_balancer.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::balancing {

load_balancer::load_balancer(std::string group,
                             const balancing_settings& settings,
                             ejection_listener* listener)
    : group_(std::move(group)),
      settings_(settings),
      listener_(listener),
      reference_(static_cast<double>(settings.initial_read.count())) {}

void load_balancer::SetServers(const std::vector<listed_server>& servers,
                               core::time_point now) {
  std::map<std::string, member> next;
  for (const listed_server& each : servers) {
    member updated;
    const auto known = members_.find(each.id);
    if (known != members_.end() &&
        known->second.listed.born_ms == each.born_ms) {
      updated = std::move(known->second);
    } else if (listed_) {
      updated.admission.StartSlowly(now);
    }
    updated.listed = each;
    next.emplace(each.id, std::move(updated));
  }
  members_ = std::move(next);
  listed_ = listed_ || !servers.empty();
  ReturnSurplus(now);
}

void load_balancer::OnStarted(const std::string& server, core::time_point now) {
  NoteTime(now);
  const auto found = members_.find(server);
  if (found != members_.end()) {
    found->second.observed.running.insert(now);
  }
}

void load_balancer::OnStopped(const std::string& server,
                              core::time_point started) {
  const auto found = members_.find(server);
  if (found == members_.end()) {
    return;
  }
  std::multiset<core::time_point>& running = found->second.observed.running;
  // A server that was listed anew in between does not know the request.
  const auto one = running.find(started);
  if (one != running.end()) {
    running.erase(one);
  }
}

void load_balancer::OnOutcome(const std::string& server,
                              request_kind kind,
                              request_outcome outcome,
                              core::time_point sent,
                              core::time_point now) {
  NoteTime(now);
  const auto found = members_.find(server);
  if (found == members_.end()) {
    return;
  }
  server_observations& observed = found->second.observed;
  server_admission& admission = found->second.admission;
  const bool is_relevant = admission.IsRelevant(sent);
  const bool is_probe = admission.IsEjected() && is_relevant;
  const bool lost = outcome == request_outcome::kLost ||
                    outcome == request_outcome::kTimedOut;
  if (!lost) {
    observed.last_answer = now;
  }
  if (outcome == request_outcome::kBusy ||
      outcome == request_outcome::kRefused) {
    if (outcome == request_outcome::kBusy) {
      observed.last_busy = now;
    }
    if (is_probe) {
      admission.OnProbeRefused(now);
    }
    return;
  }
  if (!is_relevant) {
    return;
  }
  observed.ended.Add(now);
  bool good = outcome == request_outcome::kAnswered;
  if (good) {
    const core::duration took =
        std::max(core::duration(0),
                 now - sent - RoundTrip(found->second.listed.zone_distance));
    observed.failures_in_row = 0;
    if (kind == request_kind::kRead) {
      const core::duration limit =
          SlowLimit(GroupLatency(ObservedOthers(nullptr)), settings_);
      good = took <= limit;
      if (good) {
        observed.slow_in_row = 0;
      } else if (sent >= resumed_at_) {
        observed.slow_in_row += 1;
      }
      observed.reads.Add(took, now);
    }
  } else {
    observed.failed.Add(now);
    observed.failures_in_row += 1;
    observed.last_failure =
        outcome == request_outcome::kFailed ? request_failure::kError
        : outcome == request_outcome::kLost ? request_failure::kLost
                                            : request_failure::kTimeout;
  }
  fault_seen_ = fault_seen_ || !good;
  if (!is_probe) {
    return;
  }
  if (admission.OnProbeEnded(good, settings_, now)) {
    Return(server, found->second, now);
  }
}

void load_balancer::Return(const std::string& id,
                           member& server,
                           core::time_point now) {
  server.admission.Return(now);
  // What was observed before the fault ended would eject it again; requests
  // that were sent before may never be answered.
  const core::time_point last_answer = server.observed.last_answer;
  server.observed = {};
  server.observed.last_answer = last_answer;
  if (listener_ != nullptr) {
    listener_->OnReturned(group_, id, server.admission.Reason(),
                          now - server.admission.EjectedAt());
  }
}

void load_balancer::ReturnSurplus(core::time_point now) {
  while (true) {
    std::size_t ejected = 0;
    std::pair<const std::string, member>* earliest = nullptr;
    for (auto& each : members_) {
      if (!each.second.admission.IsEjected()) {
        continue;
      }
      ejected += 1;
      if (earliest == nullptr || each.second.admission.EjectedAt() <
                                     earliest->second.admission.EjectedAt()) {
        earliest = &each;
      }
    }
    if (3 * ejected <= members_.size()) {
      return;
    }
    Return(earliest->first, earliest->second, now);
  }
}

void load_balancer::OnReadPlaced(const std::string& server,
                                 core::time_point now) {
  const auto found = members_.find(server);
  if (found == members_.end()) {
    return;
  }
  reads_[static_cast<std::size_t>(found->second.listed.zone_distance)] += 1;
  for (auto& [id, each] : members_) {
    if (!each.admission.IsEjected()) {
      continue;
    }
    if (id == server) {
      each.admission.OnProbeSent(now);
    } else {
      each.admission.OnOtherRead();
    }
  }
}

std::vector<const server_observations*> load_balancer::ObservedOthers(
    const member* excluded) const {
  std::vector<const server_observations*> others;
  for (const auto& [id, each] : members_) {
    if (&each != excluded && !each.admission.IsEjected()) {
      others.push_back(&each.observed);
    }
  }
  return others;
}

void load_balancer::NoteTime(core::time_point now) {
  if (now - last_event_ > settings_.hang_limit) {
    resumed_at_ = now;
  }
  last_event_ = now;
}

void load_balancer::Evaluate(core::time_point now) {
  NoteTime(now);
  if (!fault_seen_ && now - evaluated_at_ < kEvaluationInterval) {
    return;
  }
  fault_seen_ = false;
  evaluated_at_ = now;
  reference_ = ReferenceLatency();
  std::size_t ejected = 0;
  for (auto& [id, each] : members_) {
    each.admission.GiveUpOverdueProbe(settings_, now);
    ejected += each.admission.IsEjected() ? 1 : 0;
  }
  if (!settings_.ejects) {
    return;
  }
  const core::duration slow_limit =
      SlowLimit(GroupLatency(ObservedOthers(nullptr)), settings_);
  for (auto& [id, each] : members_) {
    if (3 * (ejected + 1) > members_.size()) {
      return;
    }
    // The leader is replaced by a change of primary, not ejected.
    if (id == leader_ || each.admission.IsEjected()) {
      continue;
    }
    const auto fault = FindFault(each.observed, ObservedOthers(&each),
                                 slow_limit, settings_, resumed_at_, now);
    if (!fault.has_value()) {
      continue;
    }
    each.admission.Eject(*fault, settings_, now);
    ejected += 1;
    ejections_[static_cast<std::size_t>(*fault)] += 1;
    if (listener_ != nullptr) {
      listener_->OnEjected(group_, id, *fault);
    }
  }
}

double load_balancer::ReferenceLatency() const {
  return GroupLatency(ObservedOthers(nullptr))
      .value_or(static_cast<double>(settings_.initial_read.count()));
}

std::vector<load_balancer::scored_candidate> load_balancer::NearestUnloaded(
    const std::vector<scored_candidate>& all,
    core::time_point now) const {
  auto nearest = replication::distance::kOtherRegion;
  for (const scored_candidate& each : all) {
    nearest = std::min(nearest, each.server->listed.zone_distance);
  }
  std::vector<scored_candidate> result;
  for (const scored_candidate& each : all) {
    if (each.server->listed.zone_distance == nearest &&
        each.candidate->id != leader_ &&
        !IsLoaded(each.server->listed, each.server->observed, reference_,
                  settings_, now)) {
      result.push_back(each);
    }
  }
  return result;
}

void load_balancer::Take(std::vector<scored_candidate>& from,
                         std::mt19937_64& random,
                         std::vector<std::string>& order) {
  std::vector<double> costs;
  costs.reserve(from.size());
  for (const scored_candidate& each : from) {
    costs.push_back(each.cost);
  }
  const auto taken =
      from.begin() + static_cast<std::ptrdiff_t>(CheaperOfTwo(costs, random));
  order.push_back(taken->candidate->id);
  from.erase(taken);
}

std::vector<std::string> load_balancer::Choose(
    const std::vector<read_candidate>& candidates,
    bool may_probe,
    std::mt19937_64& random,
    core::time_point now) {
  Evaluate(now);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<std::string> order;
  std::vector<scored_candidate> usable;
  std::vector<scored_candidate> starting;
  std::vector<std::string> last;
  for (const read_candidate& each : candidates) {
    const auto found = members_.find(each.id);
    if (found == members_.end()) {
      last.push_back(each.id);
      continue;
    }
    const member& server = found->second;
    if (server.admission.IsEjected()) {
      const bool probe = may_probe && order.empty() &&
                         server.admission.IsProbeDue(settings_, now);
      (probe ? order : last).push_back(each.id);
      continue;
    }
    const bool late = uniform(random) >= server.admission.Share(settings_, now);
    (late ? starting : usable)
        .push_back({&each, &server,
                    ReadCost(server.listed, server.observed, each.id == leader_,
                             each.connected, reference_, settings_, now)});
  }
  std::vector<scored_candidate> near = NearestUnloaded(usable, now);
  if (!near.empty()) {
    Take(near, random, order);
    std::erase_if(usable, [&order](const scored_candidate& each) {
      return each.candidate->id == order.back();
    });
  }
  while (!usable.empty()) {
    Take(usable, random, order);
  }
  while (!starting.empty()) {
    Take(starting, random, order);
  }
  if (order.empty()) {
    return last;
  }
  return order;
}

std::vector<std::string> load_balancer::WithoutEjected(
    const std::vector<read_candidate>& candidates) const {
  std::vector<std::string> usable;
  std::vector<std::string> all;
  for (const read_candidate& each : candidates) {
    all.push_back(each.id);
    if (!IsEjected(each.id)) {
      usable.push_back(each.id);
    }
  }
  return usable.empty() ? all : usable;
}

bool load_balancer::IsEjected(const std::string& server) const {
  const auto found = members_.find(server);
  return found != members_.end() && found->second.admission.IsEjected();
}

std::map<std::string, double> load_balancer::Scores(
    core::time_point now) const {
  const double reference = ReferenceLatency();
  std::map<std::string, double> scores;
  for (const auto& [id, each] : members_) {
    scores[id] = ReadCost(each.listed, each.observed, id == leader_, true,
                          reference, settings_, now);
  }
  return scores;
}

}  // namespace plantaintiller::balancing
