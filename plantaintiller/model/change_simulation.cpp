#include "plantaintiller/model/change_simulation.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::model {

using core::milliseconds;

namespace {

/// Usual longest lag of a busy process behind its timers and answers, and the
/// lag of one that was not scheduled for a while.
constexpr int kMaxProcessLagMs = 20;
constexpr milliseconds kLongProcessLag{200};

}  // namespace

change_simulation::change_simulation(const change_world_settings& run_settings,
                                     std::uint64_t seed)
    : settings(run_settings),
      random(seed),
      read_random(seed),
      lag_random(seed) {
  for (int n = 0; n < run_settings.servers; ++n) {
    change_server new_server;
    new_server.id = std::string(1, static_cast<char>('a' + n));
    new_server.is_leader = n == 0;
    servers.push_back(new_server);
  }
  for (int n = 0; n < run_settings.instances; ++n) {
    instances.push_back(std::make_unique<change_instance>(*this, n));
  }
  last_acknowledged = queue.Now();
}

change_server* change_simulation::Find(const std::string& id) {
  for (change_server& each : servers) {
    if (each.id == id) {
      return &each;
    }
  }
  return nullptr;
}

change_server* change_simulation::Leader() {
  change_server* newest = nullptr;
  for (change_server& each : servers) {
    if (each.is_leader && each.alive &&
        (newest == nullptr || each.term > newest->term)) {
      newest = &each;
    }
  }
  return newest;
}

milliseconds change_simulation::DrawProcessLag() {
  const auto draw = [this](int limit) {
    return std::uniform_int_distribution<int>(0, limit)(lag_random);
  };
  return draw(99) == 0 ? kLongProcessLag : milliseconds(draw(kMaxProcessLagMs));
}

void change_simulation::Deliver(change_instance& to,
                                std::function<void()> task) {
  if (to.ended) {
    return;
  }
  queue.ScheduleAfter(DrawProcessLag(), [this, &to, task = std::move(task)] {
    RunWhenAwake(to, task);
  });
}

void change_simulation::RunWhenAwake(change_instance& to,
                                     std::function<void()> task) {
  if (to.ended) {
    return;
  }
  if (!to.frozen) {
    task();
    return;
  }
  queue.ScheduleAfter(milliseconds(100), [this, &to, task = std::move(task)] {
    RunWhenAwake(to, task);
  });
}

void change_simulation::ExecuteCommand(change_server& server,
                                       replication::server_command command,
                                       core::term_number term) {
  if (command == replication::server_command::kHold && term > server.term &&
      !server.is_leader) {
    server.held_term = std::max(server.held_term, term);
    Trace(server.id + " holds for term " + std::to_string(term) +
          " with log size " + std::to_string(server.log.size()));
  } else if (command == replication::server_command::kDemote &&
             server.is_leader && term > server.term) {
    server.is_leader = false;
    server.demoted = true;
    Trace(server.id + " demoted");
  } else if (command == replication::server_command::kResume) {
    server.held_term = 0;
    Trace(server.id + " resumed");
  }
}

void change_simulation::ExecutePromotion(
    const std::string& id,
    std::uint64_t token,
    const std::string& holder,
    const std::function<void(store::promotion_status)>& done) {
  change_server* server = Find(id);
  const auto [token_use, inserted] = token_holders.emplace(token, holder);
  if (!inserted && token_use->second != holder) {
    ReportViolation("token " + std::to_string(token) + " used by " +
                    token_use->second + " and " + holder);
  }
  const bool fenced = settings.fencing && token < highest_token;
  if (fenced || server == nullptr || !server->alive) {
    done(store::promotion_status::kSuperseded);
    return;
  }
  highest_token = std::max(highest_token, token);
  Trace("promotion of " + id + " with token " + std::to_string(token));
  done(store::promotion_status::kAccepted);
  if (!server->is_leader) {
    queue.ScheduleAfter(settings.promotion_time,
                        [this, id] { CompletePromotion(id); });
  }
}

void change_simulation::CompletePromotion(const std::string& id) {
  change_server* chosen = Find(id);
  if (chosen == nullptr || !chosen->alive || chosen->is_leader) {
    return;
  }
  core::term_number highest_term = 0;
  for (const change_server& each : servers) {
    highest_term = std::max(highest_term, each.term);
  }
  std::set<int> chosen_writes;
  for (const log_entry& each : chosen->log) {
    chosen_writes.insert(each.write);
  }
  for (const int write : acknowledged) {
    if (!chosen_writes.contains(write)) {
      ReportViolation("acknowledged write " + std::to_string(write) +
                      " is missing at " + id + passed_on[write]);
      break;
    }
  }
  Trace(id + " is leader in term " + std::to_string(highest_term + 1) +
        " with log size " + std::to_string(chosen->log.size()));
  if (settings.old_leader_goes_on) {
    chosen->term = highest_term + 1;
    chosen->held_term = 0;
    chosen->is_leader = true;
    result.promotions += 1;
    for (change_server& each : servers) {
      each.held_term = 0;
    }
    FollowNewestLeader();
    return;
  }
  for (change_server& each : servers) {
    each.is_leader = false;
    each.held_term = 0;
    each.demoted = false;
    if (!each.alive) {
      continue;
    }
    each.term = highest_term + 1;
    if (settings.membership_changes && each.Lags()) {
      each.RollBackTo(chosen->log);
    } else {
      each.log = chosen->log;
    }
  }
  chosen->is_leader = true;
  unconfirmed_writes.clear();
  result.promotions += 1;
}

void change_simulation::FollowNewestLeader() {
  change_server* newest = Leader();
  if (newest == nullptr) {
    return;
  }
  for (change_server& each : servers) {
    if (&each == newest || !each.alive || each.side != newest->side ||
        each.term >= newest->term) {
      continue;
    }
    if (!each.is_leader) {
      // A replica that lags learns the new term late.
      if (each.replication_lag <= milliseconds(3)) {
        Follow(each, *newest);
      }
      continue;
    }
    queue.ScheduleAfter(milliseconds(1000), [this, id = each.id] {
      change_server* former = Find(id);
      const change_server* leader = Leader();
      if (former->alive && leader != nullptr && leader != former &&
          former->side == leader->side && former->term < leader->term) {
        Follow(*former, *leader);
      }
    });
  }
}

void change_simulation::FollowRepeatedly() {
  FollowNewestLeader();
  queue.ScheduleAfter(milliseconds(50), [this] { FollowRepeatedly(); });
}

void change_simulation::Follow(change_server& server,
                               const change_server& leader) {
  server.is_leader = false;
  server.term = leader.term;
  server.held_term = 0;
  server.log = leader.log;
  std::erase_if(unconfirmed_writes, [&](const auto& each) {
    return each.second.leader == server.id;
  });
}

void change_simulation::OnPromotionSent(std::uint64_t token,
                                        const std::string& holder) {
  if (!settings.fencing && token < highest_sent_token) {
    ReportViolation("token " + std::to_string(token) + " sent by " + holder +
                    " after " + std::to_string(highest_sent_token));
  }
  highest_sent_token = std::max(highest_sent_token, token);
}

bool change_simulation::HasCommits(const change_server& server,
                                   std::size_t count) const {
  // Logs differ only in their ends, so the newest commits suffice.
  constexpr std::size_t kChecked = 5;
  for (std::size_t n = count; n > 0 && count - n < kChecked; --n) {
    const auto& [write, size] = acknowledged_in_order[n - 1];
    if (server.log.size() < size || server.log[size - 1].write != write) {
      return false;
    }
  }
  return true;
}

void change_simulation::ReportViolation(const std::string& text) {
  result.violations.push_back(text);
}

void change_simulation::LogFault(const std::string& text) {
  Trace(text);
  result.faults.push_back(result.trace.back());
}

std::string change_simulation::TimeOfRun() const {
  const auto at = core::ToMilliseconds(queue.Now().time_since_epoch()) -
                  milliseconds(std::chrono::hours(1));
  return std::to_string(at.count()) + " ms";
}

void change_simulation::Trace(const std::string& text) {
  result.trace.push_back(TimeOfRun() + ": " + text);
}

void change_simulation::CheckLeaderRepeatedly(change_instance& each) {
  if (each.ended) {
    return;
  }
  Deliver(each, [&each] { each.CheckLeader(); });
  queue.ScheduleAfter(milliseconds(90 + DrawUpTo(30)),
                      [this, &each] { CheckLeaderRepeatedly(each); });
}

void change_simulation::ReadListRepeatedly(change_instance& each) {
  if (each.ended) {
    return;
  }
  Deliver(each, [&each] { each.ReadList(); });
  queue.ScheduleAfter(milliseconds(1000),
                      [this, &each] { ReadListRepeatedly(each); });
}

change_world_result change_simulation::Run() {
  if (settings.old_leader_goes_on) {
    FollowRepeatedly();
  }
  for (auto& each : instances) {
    each->ReadList();
    queue.ScheduleAfter(milliseconds(DrawUpTo(100)),
                        [this, &each] { CheckLeaderRepeatedly(*each); });
    queue.ScheduleAfter(milliseconds(DrawUpTo(1000)),
                        [this, &each] { ReadListRepeatedly(*each); });
  }
  Commit();
  for (int n = 0; n < settings.fault_count; ++n) {
    queue.ScheduleAfter(
        milliseconds(1000 + DrawUpTo(static_cast<int>(
                                settings.run_time.count() * 2 / 3))),
        [this] { InjectRandomFault(); });
  }
  const core::time_point end = queue.Now() + settings.run_time;
  queue.RunUntil(end);
  return std::move(result);
}

}  // namespace plantaintiller::model
