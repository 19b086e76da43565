// Planned replacements of servers, deaf replicas and restarts of instances.

#include <algorithm>

#include "plantaintiller/model/change_simulation.h"

namespace plantaintiller::model {

using core::milliseconds;

void change_simulation::InjectMembershipFault() {
  const int kind = DrawUpTo(9);
  if (kind <= 4) {
    std::vector<std::string> present;
    for (const change_server& each : servers) {
      if (!each.gone) {
        present.push_back(each.id);
      }
    }
    Replace(present[static_cast<std::size_t>(
        DrawUpTo(static_cast<int>(present.size()) - 1))]);
  } else if (kind <= 6) {
    DeafenReplicas(milliseconds(1000 + DrawUpTo(5500)));
  } else if (kind <= 8) {
    RestartInstance(DrawUpTo(settings.instances - 1));
  } else {
    RestartInstancesInTurn();
  }
}

void change_simulation::Replace(const std::string& old) {
  if (is_replacing) {
    return;
  }
  is_replacing = true;
  change_server joined;
  joined.id = std::string(1, static_cast<char>('a' + servers.size()));
  joined.side = Find(old)->side;
  for (const change_server& each : servers) {
    joined.term = std::max(joined.term, each.term);
  }
  joined.listed = DrawPercent(30);
  LogFault("server " + joined.id + " joins to replace " + old);
  if (!joined.listed) {
    queue.ScheduleAfter(milliseconds(DrawUpTo(1000)), [this, id = joined.id] {
      Find(id)->listed = Find(id)->alive;
      Trace(id + " listed");
    });
  }
  queue.ScheduleAfter(milliseconds(DrawUpTo(1500)), [this, old] {
    Find(old)->draining = true;
    Trace(old + " drains");
  });
  if (DrawPercent(40)) {
    queue.ScheduleAfter(milliseconds(1500 + DrawUpTo(3000)), [this] {
      DeafenReplicas(milliseconds(2000 + DrawUpTo(4500)));
    });
  }
  queue.ScheduleAfter(milliseconds(3500 + DrawUpTo(5000)),
                      [this, old] { Leave(old); });
  // The id may be that of a server in the list, which moves now.
  servers.push_back(joined);
}

void change_simulation::Leave(const std::string& id) {
  change_server* leaving = Find(id);
  // A primary goes on serving until it is replaced. One that was demoted may be
  // the last to have commits of replicas that lost theirs.
  if (leaving->is_leader || leaving->demoted || !leaving->alive) {
    queue.ScheduleAfter(milliseconds(300), [this, id] { Leave(id); });
    return;
  }
  leaving->gone = true;
  leaving->alive = false;
  leaving->listed = false;
  leaving->log.clear();
  is_replacing = false;
  Trace(id + " has left");
  if (!DrawPercent(35)) {
    return;
  }
  if (DrawPercent(60)) {
    RestartInstancesInTurn();
  }
  queue.ScheduleAfter(milliseconds(DrawUpTo(800)), [this] {
    if (change_server* leader = Leader()) {
      LogFault("leader " + leader->id + " crashes");
      Crash(*leader, milliseconds(800 + DrawUpTo(6000)), false);
    }
  });
}

void change_simulation::DeafenReplicas(milliseconds span) {
  std::string text = "deaf:";
  std::vector<std::string> deaf;
  for (change_server& each : servers) {
    if (!each.gone && !each.is_leader && !each.draining && !each.deaf &&
        DrawPercent(80)) {
      each.deaf = true;
      deaf.push_back(each.id);
      text += ' ' + each.id;
    }
  }
  LogFault(text);
  queue.ScheduleAfter(span, [this, deaf] {
    for (const std::string& id : deaf) {
      Find(id)->deaf = false;
    }
    Trace("deafness ends");
  });
}

void change_simulation::RestartInstance(int number) {
  const auto index = static_cast<std::size_t>(number);
  if (instances[index]->ended) {
    return;
  }
  LogFault(instances[index]->settings.holder + " restarts");
  instances[index]->ended = true;
  queue.ScheduleAfter(milliseconds(200 + DrawUpTo(1500)), [this, index] {
    const change_instance& former = *instances[index];
    auto started = std::make_unique<change_instance>(*this, former.number,
                                                     former.life + 1);
    started->side = former.side;
    started->store_unreachable = former.store_unreachable;
    started->unreachable_servers = former.unreachable_servers;
    Trace(started->settings.holder + " starts");
    ended_instances.push_back(std::move(instances[index]));
    instances[index] = std::move(started);
    ReadListRepeatedly(*instances[index]);
    CheckLeaderRepeatedly(*instances[index]);
  });
}

void change_simulation::RestartInstancesInTurn() {
  const milliseconds step(300 + DrawUpTo(900));
  for (int n = 0; n < settings.instances; ++n) {
    queue.ScheduleAfter(step * n, [this, n] { RestartInstance(n); });
  }
}

void change_simulation::OnChangeClaimed() {
  if (DrawPercent(25)) {
    queue.ScheduleAfter(milliseconds(DrawUpTo(700)), [this] {
      const auto staying = std::find_if(
          servers.begin(), servers.end(),
          [](const auto& each) { return !each.gone && !each.is_leader; });
      if (staying != servers.end()) {
        Replace(staying->id);
      }
    });
  }
}

void change_simulation::Announce(const change_instance& from) {
  for (const auto& each : instances) {
    if (each.get() == &from || each->side != from.side ||
        DrawPercent(settings.lost_announcement_percent)) {
      continue;
    }
    queue.ScheduleAfter(DrawLatency(), [this, to = each.get()] {
      Deliver(*to, [to] { to->OnChangeAnnounced(); });
    });
  }
}

std::vector<replication::server_entry> change_simulation::ListedServers()
    const {
  std::vector<replication::server_entry> listed;
  for (const change_server& each : servers) {
    if (!each.listed) {
      continue;
    }
    replication::server_entry entry;
    entry.id = each.id;
    entry.group = kChangeGroup;
    entry.zone = "z";
    entry.draining = each.draining;
    entry.reports_leader = each.is_leader && each.alive;
    entry.born_ms = each.incarnation;
    listed.push_back(entry);
  }
  return listed;
}

}  // namespace plantaintiller::model
