#include "plantaintiller/model/change_simulation.h"

namespace plantaintiller::model {

using core::milliseconds;

void change_simulation::Crash(change_server& server,
                              milliseconds span,
                              bool empty) {
  server.alive = false;
  const std::string id = server.id;
  queue.ScheduleAfter(milliseconds(3600),
                      [this, id] { Find(id)->listed = Find(id)->alive; });
  queue.ScheduleAfter(span, [this, id, empty] {
    change_server* restarted = Find(id);
    if (restarted->gone) {
      return;
    }
    restarted->alive = true;
    restarted->listed = true;
    restarted->held_term = 0;
    change_server* leader = Leader();
    if (empty) {
      restarted->log.clear();
      restarted->incarnation += 1;
    }
    const bool reaches_leader = leader != nullptr && leader != restarted &&
                                leader->side == restarted->side &&
                                (empty || leader->term >= restarted->term);
    if (reaches_leader) {
      restarted->is_leader = false;
      restarted->term = leader->term;
    }
    Trace(id + " restarted with log size " +
          std::to_string(restarted->log.size()));
  });
}

void change_simulation::InjectRandomFault() {
  if (settings.membership_changes && DrawPercent(50)) {
    InjectMembershipFault();
    return;
  }
  change_server& server = servers[static_cast<std::size_t>(
      DrawUpTo(static_cast<int>(servers.size()) - 1))];
  change_instance& instance =
      *instances[static_cast<std::size_t>(DrawUpTo(settings.instances - 1))];
  const milliseconds span(800 + DrawUpTo(6000));
  const int last_kind = settings.store_restores ? 11
                        : settings.partitions   ? 9
                                                : 7;
  if (settings.held_promotions && DrawPercent(30)) {
    HoldUpPromotions(span);
    return;
  }
  const int kind = settings.planned_changes_only ? 0 : DrawUpTo(last_kind);
  switch (kind) {
    case 0:
      if (change_server* leader = Leader();
          leader != nullptr && settings.membership_changes) {
        Replace(leader->id);
      } else if (leader != nullptr) {
        LogFault("leader " + leader->id + " drains");
        leader->draining = true;
        queue.ScheduleAfter(milliseconds(9000), [this, id = leader->id] {
          Find(id)->draining = false;
        });
      }
      break;
    case 1:
      if (change_server* leader = Leader()) {
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
      queue.ScheduleAfter(span, [this, number = instance.number,
                                 id = server.id] {
        instances[static_cast<std::size_t>(number)]->unreachable_servers.erase(
            id);
      });
      break;
    case 10:
    case 11:
      RestoreOlderStore();
      break;
    case 8:
    case 9:
      InjectPartition(span);
      break;
    default:
      if (server.alive) {
        LogFault("server " + server.id + " crashes");
        Crash(server, span, false);
      }
      break;
  }
}

void change_simulation::RestoreOlderStore() {
  const core::time_point then =
      queue.Now() - milliseconds(500 + DrawUpTo(5000));
  replication::group_claim older;
  for (const auto& [written, claim] : stored_claims) {
    if (written <= then) {
      older = claim;
    }
  }
  store_era += 1;
  if (older.version > 0) {
    older.version =
        store::MakeRowVersion(store_era, store::NumberWithinEra(older.version));
  }
  stored_claim = older;
  LogFault("store restored with token " + std::to_string(older.token));
}

void change_simulation::InjectPartition(milliseconds span) {
  change_server* leader = Leader();
  if (leader == nullptr) {
    return;
  }
  std::string text = "partition of leader " + leader->id;
  leader->side = 1;
  for (change_server& each : servers) {
    if (&each != leader && DrawPercent(15)) {
      each.side = 1;
      text += " with " + each.id;
    }
  }
  for (auto& each : instances) {
    if (DrawPercent(50)) {
      each->side = 1;
      each->store_unreachable = DrawPercent(40);
      text += " and " + each->settings.holder;
    }
  }
  LogFault(text);
  queue.ScheduleAfter(span, [this] {
    Trace("partition ends");
    for (change_server& each : servers) {
      each.side = 0;
    }
    for (auto& each : instances) {
      each->side = 0;
      each->store_unreachable = false;
    }
  });
}

void change_simulation::HoldUpPromotions(milliseconds span) {
  LogFault("promotions held up");
  held_promotion_percent = 60;
  queue.ScheduleAfter(span, [this] { held_promotion_percent = 0; });
}

}  // namespace plantaintiller::model
