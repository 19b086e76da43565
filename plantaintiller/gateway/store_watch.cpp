#include "plantaintiller/gateway/store_watch.h"

#include <algorithm>
#include <random>
#include <utility>

namespace plantaintiller::gateway {

namespace {

using boost::system::error_code;

/// Interval between reads of the list of servers: well within the time after
/// which a draining server must get no more work, at an affordable number of
/// calls.
constexpr core::milliseconds kServerPause{1000};
/// Minimum interval to a read ahead of schedule.
constexpr core::milliseconds kMinPause{150};
/// Pauses after failed calls.
constexpr core::milliseconds kFailurePause{500};
constexpr core::milliseconds kMaxFailurePause{1000};
/// Longest wait of one call for changes. A connection whose peer no longer
/// responds must be noticed within the time in which a configuration has to be
/// in force.
constexpr core::milliseconds kChangesWait{2000};
/// How long missing entries are kept after the store is available again:
/// entries that expired during an outage are back within two seconds.
constexpr core::milliseconds kMissingEntryRetention{2500};
/// Time in which servers write their entries again after the store came back
/// from an older copy: two heartbeats.
constexpr core::milliseconds kRewriteTime{2500};

}  // namespace

store_watch::store_watch(boost::asio::io_context& context,
                         store::row_store& rows,
                         const directory_codec& codec,
                         event_log& log,
                         store_watch_listener& listener)
    : rows_(rows),
      codec_(codec),
      log_(log),
      listener_(listener),
      route_timer_(context),
      server_timer_(context),
      route_backoff_(kFailurePause, kMaxFailurePause, std::random_device()()),
      server_backoff_(kFailurePause, kMaxFailurePause, std::random_device()()) {
}

void store_watch::Start() {
  ReadRoutes();
  ReadServers("");
}

bool store_watch::IsStoreUnavailable() const {
  return store_unavailable_;
}

void store_watch::Stop() {
  stopped_ = true;
  route_timer_.cancel();
  server_timer_.cancel();
}

void store_watch::ReadRoutes() {
  rows_.Read(codec_.ConfigurationTable(), "", "",
             [this](const store::rows_answer& answer) { OnRouteRows(answer); });
}

void store_watch::FollowRoutes() {
  rows_.WaitForChanges(
      codec_.ConfigurationTable(), route_version_, kChangesWait,
      [this](const store::rows_answer& answer) { OnRouteRows(answer); });
}

void store_watch::OnRouteRows(const store::rows_answer& answer) {
  if (stopped_) {
    return;
  }
  if (answer.status != store::call_status::kDone) {
    route_version_ = 0;
    const bool at_once =
        answer.status == store::call_status::kHistoryUnavailable;
    const core::time_point now = core::clock::now();
    route_timer_.expires_at(at_once ? now + kMinPause
                                    : std::max(now + route_backoff_.OnFailure(),
                                               listener_.NextOwnRead()));
    route_timer_.async_wait([this](error_code cancelled) {
      if (!cancelled) {
        ReadRoutes();
      }
    });
    return;
  }
  route_backoff_.OnSuccess();
  bool found = false;
  for (const store::row& each : answer.rows) {
    if (each.key != codec_.ConfigurationKey() || each.removed) {
      continue;
    }
    found = true;
    std::optional<core::route_table> routes = codec_.DecodeRoutes(each.value);
    if (routes.has_value()) {
      listener_.OnRoutes(each.value, std::move(*routes));
    } else {
      log_line(log_, "configuration", "unreadable")
          .With("bytes", static_cast<std::int64_t>(each.value.size()));
    }
  }
  const bool empty_start = route_version_ == 0 && !found;
  route_version_ = std::max(route_version_, answer.newest_version);
  if (empty_start) {
    route_version_ = 0;
    route_timer_.expires_after(kFailurePause);
    route_timer_.async_wait([this](error_code cancelled) {
      if (!cancelled) {
        ReadRoutes();
      }
    });
    return;
  }
  ScheduleRoutes(core::clock::now());
}

void store_watch::ScheduleRoutes(core::time_point when) {
  if (listener_.NextOwnRead() <= when) {
    FollowRoutes();
    return;
  }
  route_timer_.expires_at(listener_.NextOwnRead());
  route_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) {
      ScheduleRoutes(core::clock::now());
    }
  });
}

void store_watch::ReadServersSoon() {
  if (reading_servers_ || stopped_) {
    return;
  }
  ScheduleServers(
      std::max({core::clock::now(), last_read_ + kMinPause, retry_servers_at_}),
      true);
}

void store_watch::AdoptServers(
    const std::vector<replication::server_entry>& servers) {
  known_.clear();
  for (const replication::server_entry& each : servers) {
    known_.emplace(each.id, each);
  }
}

void store_watch::ScheduleServers(core::time_point when, bool on_demand) {
  server_timer_.expires_at(when);
  server_timer_.async_wait([this, on_demand](error_code cancelled) {
    if (cancelled || reading_servers_) {
      return;
    }
    const core::time_point next_own_read = listener_.NextOwnRead();
    if (on_demand || next_own_read <= core::clock::now()) {
      ReadServers("");
    } else {
      ScheduleServers(next_own_read, false);
    }
  });
}

void store_watch::ReadServers(const std::string& from) {
  reading_servers_ = true;
  last_read_ = core::clock::now();
  if (from.empty()) {
    partial_servers_.clear();
    list_asked_at_ = last_read_;
    suspended_when_asked_ = core::SuspendedTime();
  }
  rows_.Read(
      codec_.ServerTable(), "", from,
      [this](const store::rows_answer& answer) { OnServerRows(answer); });
}

void store_watch::OnServerRows(const store::rows_answer& answer) {
  if (stopped_) {
    return;
  }
  if (answer.status != store::call_status::kDone) {
    reading_servers_ = false;
    OnFailure();
    retry_servers_at_ = core::clock::now() + server_backoff_.OnFailure();
    ScheduleServers(retry_servers_at_, false);
    return;
  }
  server_backoff_.OnSuccess();
  std::string last;
  for (const store::row& each : answer.rows) {
    last = each.key;
    if (std::optional<replication::server_entry> entry =
            codec_.DecodeServer(each.key, each.value)) {
      partial_servers_.insert_or_assign(each.key, std::move(*entry));
    }
  }
  if (answer.truncated && !last.empty()) {
    // The smallest key above the last one.
    ReadServers(last + '\x01');
    return;
  }
  reading_servers_ = false;
  const core::time_point now = core::clock::now();
  const std::uint64_t era = store::EraOf(answer.newest_version);
  if (era_.has_value() && era > *era_) {
    restored_until_ = now + kRewriteTime;
    log_line(log_, "store", "restored")
        .With("era", static_cast<std::int64_t>(era))
        .With("before", static_cast<std::int64_t>(*era_));
  }
  era_ = std::max(era, era_.value_or(0));
  if (now < restored_until_) {
    // The older list must not bring back servers that have left, or work to
    // servers that drain.
    partial_servers_.clear();
    store_unavailable_ = false;
    ScheduleServers(now + kServerPause, false);
    return;
  }
  if (store_unavailable_) {
    store_unavailable_ = false;
    keep_missing_until_ = now + kMissingEntryRetention;
    log_line(log_, "store", "regained");
  }
  if (now < keep_missing_until_) {
    partial_servers_.insert(known_.begin(), known_.end());
  }
  known_ = std::move(partial_servers_);
  partial_servers_.clear();
  std::vector<replication::server_entry> servers;
  servers.reserve(known_.size());
  for (const auto& [id, entry] : known_) {
    servers.push_back(entry);
  }
  listener_.OnServers(std::move(servers), answer.newest_version);
  ScheduleServers(now + kServerPause, false);
}

void store_watch::OnFailure() {
  if (!store_unavailable_) {
    store_unavailable_ = true;
    log_line(log_, "store", "lost");
  }
}

}  // namespace plantaintiller::gateway
