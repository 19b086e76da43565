// Lists of servers and announcements of changes, as an instance gets them.

#include <algorithm>
#include <utility>

#include "plantaintiller/model/change_instance.h"
#include "plantaintiller/model/change_simulation.h"

namespace plantaintiller::model {

using core::milliseconds;

namespace {

/// Shortest time between two reads of the list.
constexpr milliseconds kListPause{150};
/// Time between two announcements of a change that goes on.
constexpr milliseconds kAnnouncementInterval{1500};
/// For how long a change that another instance has announced is left to it.
constexpr milliseconds kPeerChangeWait{2500};

}  // namespace

void change_instance::ReadList() {
  if (store_unreachable || reading_list_) {
    return;
  }
  if (!simulated_world.settings.membership_changes) {
    AdoptList(simulated_world.ListedServers());
    return;
  }
  reading_list_ = true;
  list_read_ = Now();
  simulated_world.queue.ScheduleAfter(
      simulated_world.DrawReadLatency(), [this] {
        simulated_world.queue.ScheduleAfter(
            simulated_world.DrawReadLatency(),
            [this, listed = simulated_world.ListedServers()] {
              simulated_world.Deliver(*this, [this, listed] {
                reading_list_ = false;
                group.OnListRead(Now(), core::duration(0));
                AdoptList(listed);
                recorder.OnList(listed);
              });
            });
      });
}

void change_instance::AdoptList(
    const std::vector<replication::server_entry>& listed) {
  group.OnList(listed, {{"z", replication::distance::kSameZone}}, Now());
}

void change_instance::RequestList() {
  if (!simulated_world.settings.membership_changes || list_requested_) {
    return;
  }
  list_requested_ = true;
  const milliseconds pause = std::max(
      core::ToMilliseconds(list_read_ + kListPause - Now()), milliseconds(0));
  simulated_world.queue.ScheduleAfter(pause, [this] {
    simulated_world.Deliver(*this, [this] {
      list_requested_ = false;
      ReadList();
    });
  });
}

void change_instance::OnChangeClaimed(const std::string&) {
  if (!simulated_world.settings.membership_changes) {
    return;
  }
  group.OnChangeAnnounced(Now());
  AnnounceRepeatedly();
  simulated_world.OnChangeClaimed();
}

void change_instance::AnnounceRepeatedly() {
  simulated_world.Announce(*this);
  const std::uint64_t announcement = ++announcement_;
  simulated_world.queue.ScheduleAfter(
      kAnnouncementInterval, [this, announcement] {
        simulated_world.Deliver(*this, [this, announcement] {
          if (announcement == announcement_ && change->HasClaim()) {
            AnnounceRepeatedly();
          }
        });
      });
}

void change_instance::OnChangeAnnounced() {
  earliest_change = Now() + kPeerChangeWait;
  group.OnChangeAnnounced(Now());
}

}  // namespace plantaintiller::model
