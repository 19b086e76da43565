#include "plantaintiller/gateway/connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "plantaintiller/gateway/address.h"

namespace plantaintiller::gateway {

namespace {

using boost::system::error_code;

/// Base pause after a server refused a connection. It doubles with each
/// failure, up to 8 times the base. It is about the duration of one statement,
/// because connections become free when statements end.
constexpr core::milliseconds kFullPause{30};
/// Base pause after a connection could not be opened for another reason;
/// doubles likewise.
constexpr core::milliseconds kLostPause{60};
constexpr int kMaxDoublings = 3;
/// Idle time after which a connection above the kept ones is closed: many times
/// what opening one takes (12 to 30 ms). Servers count the connections of a
/// machine that lost power for 3 s more, so having few open leaves some for all
/// instances to come back at once.
constexpr core::milliseconds kSpareIdleLimit{500};
/// Pause before a connection is opened ahead of need again after one was closed
/// for another instance or could not be opened, so that the instance that
/// needed the connection keeps it.
constexpr core::milliseconds kPreopenPause{4000};

}  // namespace

connection_pool::connection_pool(boost::asio::io_context& context,
                                 sessions::server_codec& codec,
                                 replication::group_state& group,
                                 listener& pool_listener,
                                 admission::group_admission* group_admission)
    : context_(context),
      codec_(codec),
      group_(group),
      listener_(pool_listener),
      admission_(group_admission),
      waiting_(
          group_admission != nullptr
              ? static_cast<admission::request_queue&>(group_admission->Queue())
              : arrivals_),
      wake_timer_(context),
      trim_timer_(context) {}

connection_pool::~connection_pool() {
  *alive_ = false;
}

std::size_t connection_pool::Connections() const {
  std::size_t count = 0;
  for (const auto& [id, links] : servers_) {
    count += links.all.size();
  }
  return count;
}

void connection_pool::Acquire(const sessions::connection_requirements& need,
                              connection_waiter& waiter) {
  waiting_.Add(&waiter, need, core::clock::now());
  Schedule();
}

void connection_pool::Cancel(connection_waiter& waiter) {
  waiting_.Remove(&waiter);
}

void connection_pool::SetLimits(const limits& new_limits) {
  limits_ = new_limits;
  if (admission_ != nullptr) {
    admission_->SetMaxConnections(new_limits.max_open);
  }
  OpenToMinimum();
  const bool excess =
      std::any_of(servers_.begin(), servers_.end(),
                  [this](const auto& each) { return IsExcess(each.second); });
  if (excess) {
    ArmTrim();
  }
}

void connection_pool::OpenToMinimum() {
  const core::time_point now = core::clock::now();
  for (const auto& [id, each] : group_.Servers()) {
    if (each.entry.draining || each.unlisted_since.has_value() ||
        each.failures > 0) {
      continue;
    }
    server_links& links = servers_[id];
    if (static_cast<int>(links.all.size()) < limits_.min_open &&
        links.opening == 0 && links.retry_open_at <= now &&
        links.reopen_to_minimum_at <= now) {
      Open(id, links, "");
    }
  }
}

void connection_pool::OnGroupChanged() {
  for (auto& [id, links] : servers_) {
    const replication::group_state::server* known = group_.Find(id);
    if (known != nullptr) {
      continue;
    }
    const std::vector<server_link*> idle = std::exchange(links.idle, {});
    for (server_link* each : idle) {
      each->Close();
    }
  }
  Schedule();
}

bool connection_pool::CloseOldestIdle(const std::string& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || found->second.idle.empty()) {
    return false;
  }
  server_link* oldest = found->second.idle.front();
  found->second.idle.erase(found->second.idle.begin());
  found->second.reopen_to_minimum_at = core::clock::now() + kPreopenPause;
  oldest->Close();
  return true;
}

void connection_pool::Schedule() {
  if (scheduled_) {
    return;
  }
  scheduled_ = true;
  boost::asio::post(context_, [this, alive = alive_] {
    if (*alive) {
      scheduled_ = false;
      Dispatch();
    }
  });
}

bool connection_pool::AcquirePermit(sessions::server_connection& connection,
                                    connection_waiter& waiter) {
  const bool others_wait =
      std::any_of(permit_requests_.begin(), permit_requests_.end(),
                  [&](const permit_request& each) {
                    return each.connection->Server() == connection.Server();
                  });
  if (others_wait || !MayRun(connection.Server())) {
    permit_requests_.push_back({&connection, &waiter});
    Schedule();
    return false;
  }
  GrantPermit(connection);
  return true;
}

void connection_pool::GrantPermit(sessions::server_connection& connection) {
  connection_use& granted = in_use_.at(&connection);
  granted.since = core::clock::now();
  if (replication::group_state::server* found =
          group_.Find(connection.Server())) {
    granted.counted = true;
    found->limiter.OnStart();
    ReportStart(connection.Server(), granted);
  }
}

void connection_pool::ReportStart(const std::string& server,
                                  const connection_use& started) {
  if (balancing::load_balancer* balancer = group_.Balancer()) {
    balancer->OnStarted(server, started.since);
  }
}

void connection_pool::CancelPermit(
    const sessions::server_connection& connection) {
  permit_requests_.remove_if([&connection](const permit_request& each) {
    return each.connection == &connection;
  });
}

void connection_pool::ReleasePermit(sessions::server_connection& connection,
                                    bool sample_latency) {
  const auto in_use = in_use_.find(&connection);
  if (in_use != in_use_.end()) {
    EndStatement(connection.Server(), in_use->second, sample_latency);
  }
}

void connection_pool::GrantWaitingPermits() {
  std::list<permit_request> granted;
  for (auto each = permit_requests_.begin(); each != permit_requests_.end();) {
    const auto next = std::next(each);
    if (MayRun(each->connection->Server())) {
      GrantPermit(*each->connection);
      granted.splice(granted.end(), permit_requests_, each);
    }
    each = next;
  }
  for (const permit_request& each : granted) {
    each.waiter->OnPermit();
  }
}

void connection_pool::Dispatch() {
  // Transactions are served first, because one that cannot continue loses the
  // work that it has done.
  GrantWaitingPermits();
  std::map<std::string, int> missing;
  std::map<std::string, int> missing_by_account;
  const core::time_point now = core::clock::now();
  for (const admission::request_key key : waiting_.Order(now)) {
    const admission::waiting_request* request = waiting_.Find(key);
    if (request == nullptr) {
      continue;
    }
    const std::string& account = request->need.account;
    server_link* link =
        account.empty()
            ? FindIdle(request->need, missing)
            : FindIdleOfAccount(request->need, missing_by_account[account]);
    if (link == nullptr) {
      continue;
    }
    const sessions::connection_requirements need = request->need;
    if (admission_ != nullptr) {
      admission_->OnServed(key, now);
    }
    waiting_.OnServed(key, now);
    OnAcquired(*link, need);
    auto& waiter = static_cast<connection_waiter&>(*key);
    link->Acquire(waiter.Listener());
    waiter.OnConnection(*link);
  }
  OpenMissing(missing);
}

std::vector<std::string> connection_pool::ServersFor(
    const sessions::connection_requirements& need) {
  if (!need.server.empty()) {
    return {need.server};
  }
  if (!need.leader) {
    // A failed read is repeated at another server, but a transaction is not.
    const bool may_probe = need.excluded.empty() && !need.transaction;
    return group_.ChooseReadOrder(need.excluded, core::clock::now(),
                                  need.position, may_probe);
  }
  if (!group_.Leader().empty() &&
      group_.AcceptsNewWork(group_.Leader(), core::clock::now())) {
    return {group_.Leader()};
  }
  return {};
}

server_link* connection_pool::FindIdle(
    const sessions::connection_requirements& need,
    std::map<std::string, int>& missing) {
  for (const std::string& id : ServersFor(need)) {
    // Commands to a given server must not wait behind callers' statements; a
    // transaction needs a permit for each of its statements.
    const bool limited = need.server.empty() && !need.transaction;
    if (limited && !MayRun(id)) {
      continue;
    }
    if (server_link* link = TakeIdle(servers_[id], need)) {
      return link;
    }
    missing[id] += 1;
  }
  return nullptr;
}

bool connection_pool::MayRun(const std::string& server) {
  const replication::group_state::server* found = group_.Find(server);
  if (found == nullptr) {
    return true;
  }
  const core::time_point now = core::clock::now();
  if (found->limiter.BackoffUntil() > now) {
    ArmWake(found->limiter.BackoffUntil());
  }
  return found->limiter.MayStart(now);
}

void connection_pool::OnAcquired(
    server_link& link,
    const sessions::connection_requirements& need) {
  balancing::load_balancer* balancer = group_.Balancer();
  if (balancer != nullptr && !need.leader && need.server.empty()) {
    balancer->OnReadPlaced(link.Server(), core::clock::now());
  }
  connection_use& in_use = in_use_[&link];
  in_use = {!need.server.empty() || need.transaction, false, core::clock::now(),
            admission::KindOf(need)};
  if (replication::group_state::server* found = group_.Find(link.Server())) {
    found->connections_in_use += 1;
    if (!in_use.transaction) {
      in_use.counted = true;
      found->limiter.OnStart();
      ReportStart(link.Server(), in_use);
    }
  }
}

void connection_pool::EndStatement(const std::string& server,
                                   connection_use& ended,
                                   bool sample_latency) {
  balancing::load_balancer* balancer = group_.Balancer();
  if (balancer != nullptr && ended.counted) {
    balancer->OnStopped(server, ended.since);
  }
  replication::group_state::server* found = group_.Find(server);
  if (found == nullptr || !ended.counted) {
    return;
  }
  ended.counted = false;
  ended.run_time += core::clock::now() - ended.since;
  found->limiter.OnEnd();
  if (sample_latency) {
    found->limiter.OnAnswer(core::clock::now() - ended.since,
                            replication::RoundTrip(found->zone_distance));
  }
  if (waiting_.Size() > 0 || !permit_requests_.empty()) {
    Schedule();
  }
}

void connection_pool::OnReleased(server_link& link, bool answered) {
  const auto in_use = in_use_.find(&link);
  if (in_use == in_use_.end()) {
    return;
  }
  connection_use used = in_use->second;
  in_use_.erase(in_use);
  CancelPermit(link);
  EndStatement(link.Server(), used, answered && !used.transaction);
  if (admission_ != nullptr && answered && used.run_time > core::duration(0)) {
    admission_->OnEnded(link.Server(), used.kind, used.run_time,
                        core::clock::now());
  }
  if (replication::group_state::server* found = group_.Find(link.Server())) {
    found->connections_in_use = std::max(0, found->connections_in_use - 1);
  }
}

void connection_pool::OpenMissing(const std::map<std::string, int>& missing) {
  const core::time_point now = core::clock::now();
  core::time_point earliest = core::time_point::max();
  for (const auto& [id, count] : missing) {
    server_links& links = servers_[id];
    while (links.opening < std::min(count, kMaxOpening)) {
      if (links.retry_open_at > now) {
        earliest = std::min(earliest, links.retry_open_at);
        break;
      }
      if (WorkingConnections(links) >= limits_.max_working ||
          !HasRoomFor(links, "") || !Open(id, links, "")) {
        break;
      }
    }
  }
  if (earliest != core::time_point::max()) {
    ArmWake(earliest);
  }
}

int connection_pool::WorkingConnections(const server_links& links) const {
  const auto paused = std::count_if(
      links.all.begin(), links.all.end(), [this](const auto& each) {
        const auto used = in_use_.find(each.get());
        return used != in_use_.end() && used->second.transaction &&
               !used->second.counted;
      });
  return static_cast<int>(links.all.size()) - static_cast<int>(paused);
}

bool connection_pool::Open(const std::string& server,
                           server_links& links,
                           const std::string& account) {
  link_target target;
  target.account = account;
  target.group = group_.Name();
  target.server = server;
  if (!SplitAddress(group_.AddressOf(server), target.host, target.port)) {
    return false;
  }
  links.opening += 1;
  if (!account.empty()) {
    links.opening_by_account[account] += 1;
  }
  links.all.push_back(server_link::Open(context_, codec_, target, *this));
  return true;
}

void connection_pool::ArmWake(core::time_point when) {
  if (wake_at_ > core::clock::now() && wake_at_ <= when) {
    return;
  }
  wake_at_ = when;
  wake_timer_.expires_at(when);
  wake_timer_.async_wait([this, alive = alive_](error_code cancelled) {
    if (!cancelled && *alive) {
      Schedule();
    }
  });
}

void connection_pool::OnOpeningEnded(const server_link& link,
                                     server_links& links) {
  links.opening -= 1;
  const auto of_account = links.opening_by_account.find(link.Account());
  if (of_account != links.opening_by_account.end() &&
      --of_account->second == 0) {
    links.opening_by_account.erase(of_account);
  }
}

void connection_pool::OnLinkIdle(server_link& link, link_phase previous_phase) {
  server_links& links = servers_[link.Server()];
  if (previous_phase == link_phase::kOpening) {
    OnOpeningEnded(link, links);
    links.open_failures = 0;
  } else if (previous_phase == link_phase::kInUse) {
    OnReleased(link, true);
  }
  if (group_.AddressOf(link.Server()).empty()) {
    link.Close();
    return;
  }
  links.idle.push_back(&link);
  UpdateConnected(link.Server());
  if (IsExcess(links)) {
    ArmTrim();
  } else if (previous_phase == link_phase::kOpening) {
    OpenToMinimum();
  }
  if (waiting_.Size() > 0) {
    Schedule();
  }
}

void connection_pool::UpdateConnected(const std::string& server) {
  const server_links& links = servers_[server];
  if (replication::group_state::server* found = group_.Find(server)) {
    found->connected =
        links.all.size() > static_cast<std::size_t>(links.opening);
  }
}

void connection_pool::ArmTrim() {
  if (trim_armed_) {
    return;
  }
  trim_armed_ = true;
  trim_timer_.expires_after(kSpareIdleLimit);
  trim_timer_.async_wait([this, alive = alive_](error_code cancelled) {
    if (!cancelled && *alive) {
      trim_armed_ = false;
      Trim();
    }
  });
}

void connection_pool::Trim() {
  const core::time_point now = core::clock::now();
  for (auto& [id, links] : servers_) {
    while (IsExcess(links) && !links.idle.empty() &&
           now - links.idle.front()->IdleSince() >= IdleLimit(links)) {
      server_link* oldest = links.idle.front();
      links.idle.erase(links.idle.begin());
      oldest->Close();
    }
    if (IsExcess(links)) {
      ArmTrim();
    }
  }
}

bool connection_pool::IsExcess(const server_links& links) const {
  return static_cast<int>(links.all.size()) > limits_.min_open;
}

core::milliseconds connection_pool::IdleLimit(const server_links& links) const {
  return static_cast<int>(links.all.size()) <= limits_.kept_idle
             ? limits_.kept_idle_limit
             : kSpareIdleLimit;
}

void connection_pool::OnLinkFault(server_link& link,
                                  link_fault fault,
                                  int outstanding) {
  listener_.OnServerLinkFault(group_.Name(), link.Server(), fault, outstanding);
}

void connection_pool::OnLinkClosed(server_link& link,
                                   link_close_reason reason,
                                   link_phase previous_phase) {
  const std::string server = link.Server();
  server_links& links = servers_[server];
  if (previous_phase == link_phase::kOpening) {
    OnOpeningEnded(link, links);
  } else if (previous_phase == link_phase::kInUse) {
    OnReleased(link, false);
  }
  std::erase(links.idle, &link);
  // Keeps `link` alive until this function returns.
  const std::shared_ptr<server_link> held = link.shared_from_this();
  std::erase(links.all, held);
  UpdateConnected(server);
  if (previous_phase == link_phase::kOpening) {
    const core::milliseconds pause =
        reason == link_close_reason::kFull ? kFullPause : kLostPause;
    links.retry_open_at =
        core::clock::now() +
        pause * (1 << std::min(links.open_failures, kMaxDoublings));
    links.open_failures += 1;
    links.reopen_to_minimum_at = core::clock::now() + kPreopenPause;
    if (reason == link_close_reason::kFull && waiting_.Size() > 0 &&
        !link.Account().empty() && ReplaceIdle(links, link.Account())) {
      // No other instance has to close one.
      links.retry_open_at = core::clock::now() + kFullPause;
      links.open_failures = 0;
    } else if (reason == link_close_reason::kFull) {
      listener_.OnServerFull(group_.Name(), server);
    } else {
      listener_.OnServerUnreachable(group_.Name(), server);
    }
  }
  if (waiting_.Size() > 0) {
    Schedule();
  }
}

}  // namespace plantaintiller::gateway
