#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::replication {

/// A group of the leader "a" and the replicas "b" and "c", a store with one row
/// and a promotion service. Every call is answered after `latency`, in order,
/// when the test lets time pass.
class change_fixture : public change_host {
 public:
  struct order {
    std::string server;
    std::uint64_t token = 0;
    core::milliseconds valid_for{0};
    /// When it was given, by the store's clock.
    core::milliseconds given{0};
    /// The row when the order was given.
    group_claim row;
  };

  change_fixture() {
    settings.holder = "self";
    for (const char* id : {"a", "b", "c"}) {
      sessions::server_status& status = servers[id];
      status.term = 1;
      status.received = {1, 10};
    }
    servers["a"].is_primary = true;
    List();
    group.OnLeaderSeen("a", 1, now);
    now += core::milliseconds(10000);
    change = std::make_unique<primary_change>(*this, group, settings);
  }

  /// Passes the list with the present states to the group.
  void List() {
    std::vector<server_entry> listed;
    for (const auto& [id, status] : servers) {
      if (unlisted.contains(id)) {
        continue;
      }
      server_entry entry;
      entry.id = id;
      entry.group = group.Name();
      entry.zone = far.contains(id) ? "far" : "z";
      entry.draining = draining.contains(id);
      entry.reports_leader = status.is_primary;
      listed.push_back(entry);
    }
    group.OnList(listed,
                 {{"z", distance::kSameZone}, {"far", distance::kOtherRegion}},
                 now);
  }

  /// Lets answers and timers come in their order until `span` has passed.
  void Run(core::milliseconds span) {
    const core::time_point end = now + span;
    while (!events.empty() && events.begin()->first <= end) {
      const auto event = events.begin();
      now = event->first;
      const auto task = std::move(event->second);
      events.erase(event);
      task();
    }
    now = end;
  }

  /// The row as written by another instance.
  void SetClaimOfOther(std::uint64_t token, core::milliseconds claimed_at) {
    row.token = token;
    row.holder = "other";
    row.nonce = 99;
    row.claimed_at = claimed_at;
    row.settled = false;
    row.version = ++newest_version;
  }

  core::milliseconds StoreNow() const {
    return core::ToMilliseconds(now.time_since_epoch()) + store_clock_offset;
  }

  // change_host
  core::time_point Now() const override { return now; }
  core::duration SuspendedTime() const override { return core::duration(0); }
  void ReadClaim(const std::string&,
                 std::function<void(std::optional<group_claim>,
                                    core::milliseconds)> done) override {
    After(store_latency, [this, done] { done(row, StoreNow()); });
  }
  void WriteClaim(const std::string&,
                  const group_claim& claim,
                  std::function<void(store::call_status, store::row_version)>
                      done) override {
    After(store_latency, [this, claim, done] {
      if (claim.version != row.version) {
        done(store::call_status::kConflict, 0);
        return;
      }
      row = claim;
      row.version = ++newest_version;
      written.push_back(row);
      done(store::call_status::kDone, row.version);
    });
  }
  void SendCommand(const std::string&,
                   const std::string& server,
                   server_command command,
                   core::term_number term,
                   std::function<void(std::optional<sessions::server_status>)>
                       done) override {
    After(server_latency, [this, server, command, term, done] {
      commands.emplace_back(server, command);
      if (unreachable.contains(server)) {
        done(std::nullopt);
        return;
      }
      sessions::server_status& status = servers[server];
      if (command == server_command::kHold && !status.is_primary) {
        status.held_term = term;
      } else if (command == server_command::kResume) {
        status.held_term = 0;
      } else if (command == server_command::kDemote && term > status.term) {
        status.is_primary = false;
      }
      done(status);
    });
  }
  void Promote(const std::string&,
               const std::string& server,
               std::uint64_t token,
               core::milliseconds valid_for,
               std::function<void(store::promotion_status)> done) override {
    orders.push_back({server, token, valid_for, StoreNow(), row});
    After(server_latency, [this, done] { done(promotion_answer); });
  }
  void SetTimer(const std::string&, core::milliseconds pause) override {
    const int id = ++timer;
    After(pause, [this, id] {
      if (id == timer) {
        change->OnTimer();
      }
    });
  }
  std::uint64_t DrawNonce() override { return ++nonce; }
  void RequestList() override { list_requests += 1; }
  void OnChangeClaimed(const std::string&) override {}
  void OnChangeDone(const std::string&,
                    const std::string& leader,
                    core::term_number) override {
    leaders.push_back(leader);
  }
  void LogChange(const std::string&,
                 const char* event,
                 const std::string& detail) override {
    log += std::string(event) + " " + detail + "\n";
  }

  core::time_point now{std::chrono::hours(1)};
  core::milliseconds store_clock_offset{0};
  core::milliseconds store_latency{5};
  core::milliseconds server_latency{2};
  group_state group{"g"};
  change_settings settings;
  std::map<std::string, sessions::server_status> servers;
  std::set<std::string> draining;
  std::set<std::string> far;
  std::set<std::string> unreachable;
  std::set<std::string> unlisted;
  group_claim row;
  store::row_version newest_version = 0;
  std::vector<group_claim> written;
  std::vector<order> orders;
  int list_requests = 0;
  /// Commands in the order of their execution.
  std::vector<std::pair<std::string, server_command>> commands;
  std::size_t CountOf(server_command command) const {
    return static_cast<std::size_t>(std::count_if(
        commands.begin(), commands.end(),
        [&](const auto& each) { return each.second == command; }));
  }
  store::promotion_status promotion_answer = store::promotion_status::kAccepted;
  /// One entry for each change that ended: its leader, or nothing.
  std::vector<std::string> leaders;
  std::string log;
  std::unique_ptr<primary_change> change;

 private:
  void After(core::milliseconds delay, std::function<void()> task) {
    events.emplace(now + delay, std::move(task));
  }

  std::multimap<core::time_point, std::function<void()>> events;
  int timer = 0;
  std::uint64_t nonce = 0;
};

}  // namespace plantaintiller::replication
