#include "plantaintiller/model/change_instance.h"

#include <algorithm>
#include <utility>

#include "plantaintiller/model/change_simulation.h"

namespace plantaintiller::model {

using core::milliseconds;
using replication::group_claim;

change_instance::change_instance(change_simulation& simulated,
                                 int index,
                                 int life_number)
    : simulated_world(simulated), number(index), life(life_number) {
  settings.holder = "instance-" + std::to_string(index);
  if (life > 0) {
    settings.holder += "." + std::to_string(life);
  }
  settings.injected_defects = simulated.settings.defects;
  settings.fencing = simulated.settings.fencing;
  group.SetConfirmingReplicas(1);
  change =
      std::make_unique<replication::primary_change>(*this, group, settings);
  check = std::make_unique<replication::leadership_check>(
      *this, group, simulated.settings.check_defects);
}

void change_instance::LogChange(const std::string&,
                                const char* event,
                                const std::string& detail) {
  simulated_world.Trace(settings.holder + " " + event + " " + detail);
}

core::time_point change_instance::Now() const {
  return simulated_world.queue.Now();
}

std::uint64_t change_instance::DrawNonce() {
  return simulated_world.random() | 1U;
}

void change_instance::ReadClaim(
    const std::string&,
    std::function<void(std::optional<group_claim>, milliseconds)> done) {
  simulated_world.result.store_calls += 1;
  if (store_unreachable) {
    simulated_world.queue.ScheduleAfter(milliseconds(800), [this, done] {
      simulated_world.Deliver(*this,
                              [done] { done(std::nullopt, milliseconds(0)); });
    });
    return;
  }
  simulated_world.queue.ScheduleAfter(
      simulated_world.DrawLatency(), [this, done] {
        group_claim seen = simulated_world.stored_claim;
        seen.era = simulated_world.store_era;
        const auto members = simulated_world.members_row.members;
        const auto now = core::ToMilliseconds(Now().time_since_epoch());
        simulated_world.queue.ScheduleAfter(
            simulated_world.DrawLatency(), [this, done, seen, now, members] {
              simulated_world.Deliver(*this, [this, done, seen, now, members] {
                for (const replication::server_entry& each : members) {
                  group.OnRecordedMember(each, Now());
                }
                done(seen, now);
              });
            });
      });
}

void change_instance::WriteClaim(
    const std::string&,
    const group_claim& claim,
    std::function<void(store::call_status, store::row_version)> done) {
  simulated_world.result.store_calls += 1;
  if (store_unreachable) {
    simulated_world.queue.ScheduleAfter(milliseconds(800), [this, done] {
      simulated_world.Deliver(
          *this, [done] { done(store::call_status::kUnknown, 0); });
    });
    return;
  }
  const bool lost =
      simulated_world.DrawPercent(simulated_world.lost_answer_percent);
  const milliseconds delay = lost && simulated_world.DrawPercent(50)
                                 ? milliseconds(simulated_world.DrawUpTo(4000))
                                 : simulated_world.DrawLatency();
  simulated_world.queue.ScheduleAfter(delay, [this, done, claim, lost] {
    store::call_status status = store::call_status::kConflict;
    store::row_version version = 0;
    if (simulated_world.stored_claim.version == claim.version) {
      simulated_world.stored_claim = claim;
      simulated_world.stored_claim.version = store::MakeRowVersion(
          simulated_world.store_era, store::NumberWithinEra(claim.version) + 1);
      version = simulated_world.stored_claim.version;
      simulated_world.stored_claims.emplace_back(Now(),
                                                 simulated_world.stored_claim);
      status = store::call_status::kDone;
    }
    if (!lost) {
      simulated_world.Deliver(
          *this, [done, status, version] { done(status, version); });
    }
  });
  if (lost) {
    simulated_world.queue.ScheduleAfter(milliseconds(800), [this, done] {
      simulated_world.Deliver(
          *this, [done] { done(store::call_status::kUnknown, 0); });
    });
  }
}

void change_instance::SendCommand(
    const std::string&,
    const std::string& server,
    replication::server_command command,
    core::term_number term,
    std::function<void(std::optional<sessions::server_status>)> done) {
  simulated_world.result.commands += 1;
  const bool late =
      command != replication::server_command::kStatus &&
      simulated_world.DrawPercent(simulated_world.lost_answer_percent);
  const bool reachable = Reaches(server);
  const milliseconds delay =
      late ? milliseconds(2000 + simulated_world.DrawUpTo(8000))
           : simulated_world.DrawLatency();
  if (reachable) {
    simulated_world.queue.ScheduleAfter(delay, [this, server, command, term,
                                                done, late] {
      change_server* found = simulated_world.Find(server);
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
  change_server* target = simulated_world.Find(server);
  const bool answered =
      reachable && !late && target != nullptr && target->alive;
  if (!answered) {
    simulated_world.queue.ScheduleAfter(milliseconds(250), [this, done] {
      simulated_world.Deliver(*this, [done] { done(std::nullopt); });
    });
  }
}

void change_instance::Promote(
    const std::string&,
    const std::string& server,
    std::uint64_t token,
    milliseconds valid_for,
    std::function<void(store::promotion_status)> done) {
  const auto deliver_unknown = [this, done] {
    simulated_world.queue.ScheduleAfter(store::kPromotionTimeout, [this, done] {
      simulated_world.Deliver(
          *this, [done] { done(store::promotion_status::kUnknown); });
    });
  };
  if (simulated_world.held_promotion_percent > 0 &&
      simulated_world.DrawPercent(simulated_world.held_promotion_percent)) {
    HoldUpPromotion(server, token, valid_for);
    deliver_unknown();
    return;
  }
  const bool lost =
      simulated_world.DrawPercent(simulated_world.lost_answer_percent);
  const milliseconds delay = lost ? milliseconds(simulated_world.DrawUpTo(8000))
                                  : simulated_world.DrawLatency();
  simulated_world.OnPromotionSent(token, settings.holder);
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
    deliver_unknown();
  }
}

void change_instance::HoldUpPromotion(const std::string& server,
                                      std::uint64_t token,
                                      milliseconds valid_for) {
  const milliseconds delay(simulated_world.DrawUpTo(6000));
  // The client resets the connection when it gives up.
  if (delay > std::min(valid_for, store::kPromotionTimeout) &&
      !simulated_world.settings.deliver_expired_promotions) {
    return;
  }
  simulated_world.queue.ScheduleAfter(
      delay, [this, server, token, holder = settings.holder] {
        simulated_world.OnPromotionSent(token, holder);
        simulated_world.ExecutePromotion(server, token, holder,
                                         [](store::promotion_status) {});
      });
}

void change_instance::SetTimer(const std::string&, milliseconds pause) {
  const std::uint64_t timer_id = ++timer;
  simulated_world.queue.ScheduleAfter(pause, [this, timer_id] {
    simulated_world.Deliver(*this, [this, timer_id] {
      if (timer_id == timer) {
        change->OnTimer();
      }
    });
  });
}

bool change_instance::Reaches(const std::string& server) const {
  const change_server* found = simulated_world.Find(server);
  return found != nullptr && found->side == side &&
         !unreachable_servers.contains(server);
}

void change_instance::QueryStatus(
    const std::string&,
    const std::string& server,
    std::function<void(std::optional<sessions::server_status>)> done) {
  const milliseconds latency = simulated_world.DrawReadLatency();
  simulated_world.queue.ScheduleAfter(latency, [this, server, done, latency] {
    const change_server* found = simulated_world.Find(server);
    if (!Reaches(server) || !found->alive) {
      return;
    }
    sessions::server_status status;
    status.is_primary = found->is_leader;
    status.term = found->term;
    status.received = found->Position();
    status.held_term = found->held_term;
    simulated_world.queue.ScheduleAfter(latency, [this, done, status] {
      simulated_world.Deliver(*this, [done, status] { done(status); });
    });
  });
}

void change_instance::SetCheckTimer(const std::string&, milliseconds pause) {
  const std::uint64_t timer_id = ++check_timer;
  simulated_world.queue.ScheduleAfter(pause, [this, timer_id] {
    simulated_world.Deliver(*this, [this, timer_id] {
      if (timer_id == check_timer) {
        check->OnTimer();
      }
    });
  });
}

}  // namespace plantaintiller::model
