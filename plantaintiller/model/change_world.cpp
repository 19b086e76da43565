#include "plantaintiller/model/change_world.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "plantaintiller/model/event_queue.h"
#include "plantaintiller/replication/leader_monitor.h"

namespace plantaintiller::model {

namespace {

using core::milliseconds;
using replication::group_claim;

constexpr const char* kGroup = "g";

struct log_entry {
  core::term_number term = 0;
  int write = 0;
};

/// Simulates a backend server with its log.
struct modeled_server {
  std::string id;
  core::term_number term = 1;
  bool is_leader = false;
  bool alive = true;
  bool draining = false;
  bool listed = true;
  std::vector<log_entry> log;
  core::term_number held_term = 0;
  std::int64_t incarnation = 1;
  milliseconds replication_lag{3};

  core::log_position Position() const {
    return {log.empty() ? 0 : log.back().term, log.size()};
  }
};

class world;

/// Simulates an entry instance: the `replication` classes of the product with
/// simulated calls.
class modeled_instance : public replication::change_host {
 public:
  modeled_instance(world& simulated, int index);

  core::time_point Now() const override;
  void ReadClaim(const std::string& group,
                 std::function<void(std::optional<group_claim>, milliseconds)>
                     done) override;
  void WriteClaim(const std::string& group,
                  const group_claim& claim,
                  std::function<void(store::call_status)> done) override;
  void SendCommand(const std::string& group,
                   const std::string& server,
                   replication::server_command command,
                   core::term_number term,
                   std::function<void(std::optional<sessions::server_status>)>
                       done) override;
  void Promote(const std::string& group,
               const std::string& server,
               std::uint64_t token,
               std::function<void(store::promotion_status)> done) override;
  void SetTimer(const std::string& group, milliseconds pause) override;
  std::uint64_t DrawNonce() override;
  void OnChangeClaimed(const std::string&) override {}
  void OnChangeDone(const std::string&,
                    const std::string&,
                    core::term_number) override {}
  void LogChange(const std::string& group,
                 const char* event,
                 const std::string& detail) override;

  /// Asks the leader for a leadership proof, and starts a primary change if one
  /// is needed.
  void CheckLeader();
  /// Passes the list of servers to the group state.
  void ReadList();

  world& simulated_world;
  int number;
  replication::group_state group{kGroup};
  replication::change_settings settings;
  replication::leader_monitor_settings monitor_settings;
  replication::leader_monitor monitor{monitor_settings};
  std::unique_ptr<replication::primary_change> change;
  bool frozen = false;
  std::set<std::string> unreachable_servers;
  std::uint64_t timer = 0;
  core::time_point earliest_change;
};

class world {
 public:
  world(const change_world_settings& run_settings, std::uint64_t seed);
  change_world_result Run();

  int DrawUpTo(int limit) {
    return std::uniform_int_distribution<int>(0, limit)(random);
  }
  bool DrawPercent(int percent) { return DrawUpTo(99) < percent; }
  milliseconds DrawLatency() { return milliseconds(1 + DrawUpTo(8)); }
  modeled_server* Find(const std::string& id);
  modeled_server* Leader();
  /// Runs a task at an instance, once it is no longer frozen.
  void Deliver(modeled_instance& to, std::function<void()> task);

  void Commit();
  void Replicate(const std::string& to);
  void ExecuteCommand(modeled_server& server,
                      replication::server_command command,
                      core::term_number term);
  void ExecutePromotion(
      const std::string& id,
      std::uint64_t token,
      const std::string& holder,
      const std::function<void(store::promotion_status)>& done);
  void CompletePromotion(const std::string& id);
  void InjectRandomFault();
  void Crash(modeled_server& server, milliseconds span, bool empty);
  void Acknowledge(int write);
  void ReportViolation(const std::string& text);
  void LogFault(const std::string& text);
  void Trace(const std::string& text);

  const change_world_settings& settings;
  std::mt19937_64 random;
  event_queue queue;
  std::vector<modeled_server> servers;
  std::vector<std::unique_ptr<modeled_instance>> instances;
  group_claim stored_claim;
  std::uint64_t highest_token = 0;
  std::map<std::uint64_t, std::string> token_holders;
  int lost_answer_percent = 0;
  int next_write = 1;
  std::map<int, std::size_t> unconfirmed_writes;
  std::set<int> acknowledged;
  core::time_point last_acknowledged;
  change_world_result result;
};

modeled_instance::modeled_instance(world& simulated, int index)
    : simulated_world(simulated), number(index) {
  settings.holder = "instance-" + std::to_string(index);
  settings.injected_defects = simulated.settings.defects;
  change =
      std::make_unique<replication::primary_change>(*this, group, settings);
}

void modeled_instance::LogChange(const std::string&,
                                 const char* event,
                                 const std::string& detail) {
  simulated_world.Trace(settings.holder + " " + event + " " + detail);
}

core::time_point modeled_instance::Now() const {
  return simulated_world.queue.Now();
}

std::uint64_t modeled_instance::DrawNonce() {
  return simulated_world.random() | 1U;
}

void modeled_instance::ReadClaim(
    const std::string&,
    std::function<void(std::optional<group_claim>, milliseconds)> done) {
  simulated_world.result.store_calls += 1;
  simulated_world.queue.ScheduleAfter(
      simulated_world.DrawLatency(), [this, done] {
        const group_claim seen = simulated_world.stored_claim;
        const auto now = core::ToMilliseconds(Now().time_since_epoch());
        simulated_world.queue.ScheduleAfter(
            simulated_world.DrawLatency(), [this, done, seen, now] {
              simulated_world.Deliver(*this,
                                      [done, seen, now] { done(seen, now); });
            });
      });
}

void modeled_instance::WriteClaim(
    const std::string&,
    const group_claim& claim,
    std::function<void(store::call_status)> done) {
  simulated_world.result.store_calls += 1;
  const bool lost =
      simulated_world.DrawPercent(simulated_world.lost_answer_percent);
  const milliseconds delay = lost && simulated_world.DrawPercent(50)
                                 ? milliseconds(simulated_world.DrawUpTo(4000))
                                 : simulated_world.DrawLatency();
  simulated_world.queue.ScheduleAfter(delay, [this, done, claim, lost] {
    store::call_status status = store::call_status::kConflict;
    if (simulated_world.stored_claim.version == claim.version) {
      simulated_world.stored_claim = claim;
      simulated_world.stored_claim.version += 1;
      status = store::call_status::kDone;
    }
    if (!lost) {
      simulated_world.Deliver(*this, [done, status] { done(status); });
    }
  });
  if (lost) {
    simulated_world.queue.ScheduleAfter(milliseconds(800), [this, done] {
      simulated_world.Deliver(*this,
                              [done] { done(store::call_status::kUnknown); });
    });
  }
}

void modeled_instance::SendCommand(
    const std::string&,
    const std::string& server,
    replication::server_command command,
    core::term_number term,
    std::function<void(std::optional<sessions::server_status>)> done) {
  simulated_world.result.commands += 1;
  const bool late =
      command != replication::server_command::kStatus &&
      simulated_world.DrawPercent(simulated_world.lost_answer_percent);
  const bool reachable = !unreachable_servers.contains(server);
  const milliseconds delay =
      late ? milliseconds(2000 + simulated_world.DrawUpTo(8000))
           : simulated_world.DrawLatency();
  if (reachable) {
    simulated_world.queue.ScheduleAfter(delay, [this, server, command, term,
                                                done, late] {
      modeled_server* found = simulated_world.Find(server);
      if (found == nullptr || !found->alive) {
        return;
      }
      simulated_world.ExecuteCommand(*found, command, term);
      if (late) {
        return;
      }
      sessions::server_status status;
      status.is_primary = found->is_leader;
      status.term = found->term;
      status.received = found->Position();
      status.held_term = found->held_term;
      simulated_world.queue.ScheduleAfter(
          simulated_world.DrawLatency(), [this, done, status] {
            simulated_world.Deliver(*this, [done, status] { done(status); });
          });
    });
  }
  modeled_server* target = simulated_world.Find(server);
  const bool answered =
      reachable && !late && target != nullptr && target->alive;
  if (!answered) {
    simulated_world.queue.ScheduleAfter(milliseconds(250), [this, done] {
      simulated_world.Deliver(*this, [done] { done(std::nullopt); });
    });
  }
}

void modeled_instance::Promote(
    const std::string&,
    const std::string& server,
    std::uint64_t token,
    std::function<void(store::promotion_status)> done) {
  const bool lost =
      simulated_world.DrawPercent(simulated_world.lost_answer_percent);
  const milliseconds delay = lost ? milliseconds(simulated_world.DrawUpTo(8000))
                                  : simulated_world.DrawLatency();
  const std::string holder = settings.holder;
  simulated_world.queue.ScheduleAfter(delay, [this, server, token, holder, done,
                                              lost] {
    simulated_world.ExecutePromotion(
        server, token, holder,
        [this, done, lost](store::promotion_status status) {
          if (!lost) {
            simulated_world.Deliver(*this, [done, status] { done(status); });
          }
        });
  });
  if (lost) {
    simulated_world.queue.ScheduleAfter(store::kPromotionTimeout, [this, done] {
      simulated_world.Deliver(
          *this, [done] { done(store::promotion_status::kUnknown); });
    });
  }
}

void modeled_instance::SetTimer(const std::string&, milliseconds pause) {
  const std::uint64_t timer_id = ++timer;
  simulated_world.queue.ScheduleAfter(pause, [this, timer_id] {
    simulated_world.Deliver(*this, [this, timer_id] {
      if (timer_id == timer) {
        change->OnTimer();
      }
    });
  });
}

void modeled_instance::ReadList() {
  std::vector<replication::server_entry> listed;
  for (const modeled_server& each : simulated_world.servers) {
    if (!each.listed) {
      continue;
    }
    replication::server_entry entry;
    entry.id = each.id;
    entry.group = kGroup;
    entry.zone = "z";
    entry.draining = each.draining;
    entry.reports_leader = each.is_leader && each.alive;
    entry.born_ms = each.incarnation;
    listed.push_back(entry);
  }
  group.OnList(listed, {{"z", replication::distance::kSameZone}}, Now());
}

void modeled_instance::CheckLeader() {
  const std::string leader = group.Leader();
  if (!leader.empty()) {
    modeled_server* server = simulated_world.Find(leader);
    const bool answers = server != nullptr && server->alive &&
                         !unreachable_servers.contains(leader);
    if (!answers) {
      group.OnUnresponsive(leader, Now(), Now());
    } else if (server->is_leader) {
      group.OnSuccess(leader);
      group.Proofs().OnProof(Now(), server->Position());
    } else {
      group.OnNotLeader(leader, Now());
    }
  }
  const auto reason = monitor.ChangeNeeded(group, Now());
  if (reason.has_value() && !change->IsActive() && Now() >= earliest_change) {
    earliest_change = Now() + milliseconds(400);
    change->Start(*reason);
  }
}

world::world(const change_world_settings& run_settings, std::uint64_t seed)
    : settings(run_settings), random(seed) {
  for (int n = 0; n < run_settings.servers; ++n) {
    modeled_server new_server;
    new_server.id = std::string(1, static_cast<char>('a' + n));
    new_server.is_leader = n == 0;
    servers.push_back(new_server);
  }
  for (int n = 0; n < run_settings.instances; ++n) {
    instances.push_back(std::make_unique<modeled_instance>(*this, n));
  }
  last_acknowledged = queue.Now();
}

modeled_server* world::Find(const std::string& id) {
  for (modeled_server& each : servers) {
    if (each.id == id) {
      return &each;
    }
  }
  return nullptr;
}

modeled_server* world::Leader() {
  for (modeled_server& each : servers) {
    if (each.is_leader && each.alive) {
      return &each;
    }
  }
  return nullptr;
}

void world::Deliver(modeled_instance& to, std::function<void()> task) {
  if (!to.frozen) {
    task();
    return;
  }
  queue.ScheduleAfter(milliseconds(100), [this, &to, task = std::move(task)] {
    Deliver(to, task);
  });
}

void world::Commit() {
  queue.ScheduleAfter(settings.commit_interval, [this] { Commit(); });
  modeled_server* leader = Leader();
  if (leader == nullptr || unconfirmed_writes.size() > 3) {
    return;
  }
  const int write = next_write++;
  leader->log.push_back({leader->term, write});
  unconfirmed_writes[write] = leader->log.size();
  for (const modeled_server& each : servers) {
    if (&each != leader) {
      queue.ScheduleAfter(each.replication_lag + DrawLatency(),
                          [this, id = each.id] { Replicate(id); });
    }
  }
}

void world::Replicate(const std::string& to) {
  modeled_server* replica = Find(to);
  modeled_server* leader = Leader();
  const bool receives = replica != nullptr && leader != nullptr &&
                        replica != leader && replica->alive &&
                        replica->held_term == 0 &&
                        replica->term == leader->term;
  if (!receives) {
    return;
  }
  replica->log = leader->log;
  std::vector<int> confirmed;
  for (const auto& [write, size] : unconfirmed_writes) {
    if (size <= replica->log.size() && replica->log[size - 1].write == write) {
      confirmed.push_back(write);
    }
  }
  for (const int write : confirmed) {
    Acknowledge(write);
  }
}

void world::Acknowledge(int write) {
  unconfirmed_writes.erase(write);
  acknowledged.insert(write);
  result.acknowledged += 1;
  result.longest_commit_gap =
      std::max(result.longest_commit_gap,
               core::ToMilliseconds(queue.Now() - last_acknowledged));
  last_acknowledged = queue.Now();
}

void world::ExecuteCommand(modeled_server& server,
                           replication::server_command command,
                           core::term_number term) {
  if (command == replication::server_command::kHold && term > server.term &&
      !server.is_leader) {
    server.held_term = std::max(server.held_term, term);
    Trace(server.id + " holds for term " + std::to_string(term) +
          " with log size " + std::to_string(server.log.size()));
  } else if (command == replication::server_command::kResume) {
    server.held_term = 0;
    Trace(server.id + " resumed");
  }
}

void world::ExecutePromotion(
    const std::string& id,
    std::uint64_t token,
    const std::string& holder,
    const std::function<void(store::promotion_status)>& done) {
  modeled_server* server = Find(id);
  const auto [token_use, inserted] = token_holders.emplace(token, holder);
  if (!inserted && token_use->second != holder) {
    ReportViolation("token " + std::to_string(token) + " used by " +
                    token_use->second + " and " + holder);
  }
  if (token < highest_token || server == nullptr || !server->alive) {
    done(store::promotion_status::kSuperseded);
    return;
  }
  highest_token = token;
  Trace("promotion of " + id + " with token " + std::to_string(token));
  done(store::promotion_status::kAccepted);
  if (!server->is_leader) {
    queue.ScheduleAfter(settings.promotion_time,
                        [this, id] { CompletePromotion(id); });
  }
}

void world::CompletePromotion(const std::string& id) {
  modeled_server* chosen = Find(id);
  if (chosen == nullptr || !chosen->alive || chosen->is_leader) {
    return;
  }
  core::term_number highest_term = 0;
  for (const modeled_server& each : servers) {
    highest_term = std::max(highest_term, each.term);
  }
  std::set<int> chosen_writes;
  for (const log_entry& each : chosen->log) {
    chosen_writes.insert(each.write);
  }
  for (const int write : acknowledged) {
    if (!chosen_writes.contains(write)) {
      ReportViolation("acknowledged write " + std::to_string(write) +
                      " is missing at " + id);
      break;
    }
  }
  Trace(id + " is leader in term " + std::to_string(highest_term + 1) +
        " with log size " + std::to_string(chosen->log.size()));
  for (modeled_server& each : servers) {
    each.is_leader = false;
    each.held_term = 0;
    if (each.alive) {
      each.term = highest_term + 1;
      each.log = chosen->log;
    }
  }
  chosen->is_leader = true;
  unconfirmed_writes.clear();
  result.promotions += 1;
}

void world::Crash(modeled_server& server, milliseconds span, bool empty) {
  server.alive = false;
  const std::string id = server.id;
  queue.ScheduleAfter(milliseconds(3600),
                      [this, id] { Find(id)->listed = Find(id)->alive; });
  queue.ScheduleAfter(span, [this, id, empty] {
    modeled_server* restarted = Find(id);
    restarted->alive = true;
    restarted->listed = true;
    restarted->held_term = 0;
    modeled_server* leader = Leader();
    if (empty) {
      restarted->log.clear();
      restarted->incarnation += 1;
    }
    if (leader != nullptr && leader != restarted) {
      restarted->is_leader = false;
      restarted->term = leader->term;
    }
    Trace(id + " restarted with log size " +
          std::to_string(restarted->log.size()));
  });
}

void world::InjectRandomFault() {
  modeled_server& server =
      servers[static_cast<std::size_t>(DrawUpTo(settings.servers - 1))];
  modeled_instance& instance =
      *instances[static_cast<std::size_t>(DrawUpTo(settings.instances - 1))];
  const milliseconds span(800 + DrawUpTo(6000));
  const int kind = settings.planned_changes_only ? 0 : DrawUpTo(7);
  switch (kind) {
    case 0:
      if (modeled_server* leader = Leader()) {
        LogFault("leader " + leader->id + " drains");
        leader->draining = true;
        queue.ScheduleAfter(milliseconds(9000), [this, id = leader->id] {
          Find(id)->draining = false;
        });
      }
      break;
    case 1:
      if (modeled_server* leader = Leader()) {
        LogFault("leader " + leader->id + " crashes");
        Crash(*leader, span, false);
      }
      break;
    case 2:
      if (!server.is_leader && server.alive) {
        LogFault("replica " + server.id + " restarts empty");
        Crash(server, milliseconds(300 + DrawUpTo(3000)), true);
      }
      break;
    case 3:
      LogFault("replica " + server.id + " lags");
      server.replication_lag = milliseconds(200 + DrawUpTo(3000));
      queue.ScheduleAfter(span, [this, id = server.id] {
        Find(id)->replication_lag = milliseconds(3);
      });
      break;
    case 4:
      LogFault("answers lost and commands late");
      lost_answer_percent = 35;
      queue.ScheduleAfter(span, [this] { lost_answer_percent = 0; });
      break;
    case 5:
      LogFault(instance.settings.holder + " freezes");
      instance.frozen = true;
      queue.ScheduleAfter(span, [&instance] { instance.frozen = false; });
      break;
    case 6:
      LogFault(instance.settings.holder + " cut off from " + server.id);
      instance.unreachable_servers.insert(server.id);
      queue.ScheduleAfter(span, [&instance, id = server.id] {
        instance.unreachable_servers.erase(id);
      });
      break;
    default:
      if (server.alive) {
        LogFault("server " + server.id + " crashes");
        Crash(server, span, false);
      }
      break;
  }
}

void world::ReportViolation(const std::string& text) {
  result.violations.push_back(text);
}

void world::LogFault(const std::string& text) {
  Trace(text);
  result.faults.push_back(result.trace.back());
}

void world::Trace(const std::string& text) {
  const auto at = core::ToMilliseconds(queue.Now().time_since_epoch()) -
                  milliseconds(std::chrono::hours(1));
  result.trace.push_back(std::to_string(at.count()) + " ms: " + text);
}

change_world_result world::Run() {
  std::function<void(modeled_instance&)> check_leader =
      [&](modeled_instance& each) {
        Deliver(each, [&each] { each.CheckLeader(); });
        queue.ScheduleAfter(milliseconds(90 + DrawUpTo(30)),
                            [&check_leader, &each] { check_leader(each); });
      };
  std::function<void(modeled_instance&)> read_list =
      [&](modeled_instance& each) {
        Deliver(each, [&each] { each.ReadList(); });
        queue.ScheduleAfter(milliseconds(1000),
                            [&read_list, &each] { read_list(each); });
      };
  for (auto& each : instances) {
    each->ReadList();
    queue.ScheduleAfter(milliseconds(DrawUpTo(100)),
                        [&check_leader, &each] { check_leader(*each); });
    queue.ScheduleAfter(milliseconds(DrawUpTo(1000)),
                        [&read_list, &each] { read_list(*each); });
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

}  // namespace

change_world_result SimulatePrimaryChanges(
    const change_world_settings& settings,
    std::uint64_t seed) {
  return world(settings, seed).Run();
}

}  // namespace plantaintiller::model
