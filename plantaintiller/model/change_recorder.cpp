#include "plantaintiller/model/change_recorder.h"

#include <algorithm>

#include "plantaintiller/model/change_instance.h"
#include "plantaintiller/model/change_simulation.h"

namespace plantaintiller::model {

using core::milliseconds;

namespace {

constexpr int kRecorders = 2;
constexpr milliseconds kStoreTimeout{800};

}  // namespace

bool change_recorder::Records() const {
  const auto& all = owner_.simulated_world.instances;
  const auto before = std::count_if(all.begin(), all.end(), [&](const auto& o) {
    return !o->ended && o->number < owner_.number;
  });
  return before < kRecorders;
}

std::vector<replication::server_entry> change_recorder::MembersToRecord()
    const {
  std::vector<replication::server_entry> members = history_.Members();
  for (replication::server_entry& each : members) {
    each.reports_leader = false;
  }
  if (owner_.simulated_world.settings.instance_defects.forget_left_members) {
    std::erase_if(members, [this](const auto& each) {
      return each.draining && !owner_.group.Servers().contains(each.id);
    });
  }
  return members;
}

void change_recorder::OnList(
    const std::vector<replication::server_entry>& listed) {
  history_.OnList(kChangeGroup, listed, owner_.Now());
  if (!Records() || busy_ || recorded_ == MembersToRecord()) {
    return;
  }
  busy_ = true;
  change_simulation& world = owner_.simulated_world;
  if (owner_.store_unreachable) {
    world.queue.ScheduleAfter(kStoreTimeout, [this] { busy_ = false; });
    return;
  }
  world.queue.ScheduleAfter(world.DrawReadLatency(), [this, &world] {
    world.queue.ScheduleAfter(
        world.DrawReadLatency(), [this, &world, row = world.members_row] {
          world.Deliver(owner_, [this, row] { OnRead(row); });
        });
  });
}

void change_recorder::OnRead(const recorded_members& row) {
  history_.OnRecorded(row.members, owner_.Now());
  recorded_ = row.members;
  recorded_members next{MembersToRecord(), row.version};
  if (recorded_ == next.members) {
    busy_ = false;
    return;
  }
  Write(next);
}

void change_recorder::Write(const recorded_members& row) {
  change_simulation& world = owner_.simulated_world;
  if (owner_.store_unreachable) {
    world.queue.ScheduleAfter(kStoreTimeout,
                              [this, row] { OnWritten(row, false); });
    return;
  }
  const bool lost = world.DrawPercent(world.lost_answer_percent);
  world.queue.ScheduleAfter(world.DrawLatency(), [this, &world, row, lost] {
    const bool done = world.members_row.version == row.version;
    if (done) {
      world.members_row = {row.members, row.version + 1};
    }
    world.queue.ScheduleAfter(lost ? kStoreTimeout : world.DrawLatency(),
                              [this, &world, row, done, lost] {
                                world.Deliver(owner_, [this, row, done, lost] {
                                  OnWritten(row, done && !lost);
                                });
                              });
  });
}

void change_recorder::OnWritten(const recorded_members& row, bool done) {
  busy_ = false;
  // Another instance may have written; the row is read again then.
  recorded_.reset();
  if (done) {
    recorded_ = row.members;
  }
}

}  // namespace plantaintiller::model
