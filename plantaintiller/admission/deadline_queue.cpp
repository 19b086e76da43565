#include "plantaintiller/admission/deadline_queue.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace plantaintiller::admission {

namespace {

bool IsCommand(const sessions::connection_requirements& need) {
  return !need.server.empty();
}

/// Order within an account among requests that can meet the objective.
bool IsBefore(const sessions::connection_requirements& left,
              const sessions::connection_requirements& right,
              bool late) {
  if (late) {
    return left.deadline_at < right.deadline_at;
  }
  return std::make_tuple(!left.returning, left.objective_at) <
         std::make_tuple(!right.returning, right.objective_at);
}

}  // namespace

/// Requests of one account that are in the same state: on time, or late.
struct deadline_queue::lane {
  std::vector<const waiting_request*> requests;
  std::size_t next = 0;

  bool HasNext() const { return next < requests.size(); }
};

/// A priority class while the order is computed.
struct deadline_queue::ordered_class {
  struct account {
    const std::string* name = nullptr;
    /// On time, then late.
    std::array<lane, 2> lanes;
    double deficit = 0;
    double quantum = 1;
  };
  /// In the order of their names.
  std::vector<account> accounts;
  std::size_t left = 0;
  std::size_t left_on_time = 0;
  /// Index of the account that has the next turn, if others may be served, too.
  std::size_t turn = 0;
};

void deadline_queue::SetWeights(const std::map<std::string, double>& weights) {
  double largest = 0;
  for (const auto& [account, weight] : weights) {
    largest = std::max(largest, weight);
  }
  quanta_.clear();
  for (const auto& [account, weight] : weights) {
    // An account without a limit counts as the largest.
    const bool limited = weight > 0 && largest > 0;
    quanta_[account] = limited ? std::max(kMinQuantum, weight / largest) : 1.0;
  }
}

double deadline_queue::Quantum(const std::string& account) const {
  const auto found = quanta_.find(account);
  return found == quanta_.end() ? 1.0 : found->second;
}

double deadline_queue::Rounds(double deficit, double quantum) {
  // The small term keeps sums of quanta such as 0.1 from being short of 1.
  return std::max(0.0, std::ceil((1.0 - deficit) / quantum - 1e-9));
}

bool deadline_queue::IsExpired(const waiting_request& request,
                               core::time_point now) const {
  const core::time_point deadline = request.need.deadline_at;
  return deadline != core::time_point{} &&
         now + run_times_.ExpectedFor(request.need) > deadline;
}

bool deadline_queue::IsLate(const sessions::connection_requirements& need,
                            core::time_point now) const {
  return !need.returning && need.objective_at != core::time_point{} &&
         now + run_times_.Mean(KindOf(need)) > need.objective_at;
}

void deadline_queue::Add(request_key key,
                         const sessions::connection_requirements& need,
                         core::time_point now) {
  waiting_[key] = {key, need, now, next_sequence_};
  next_sequence_ += 1;
  if (IsCommand(need)) {
    return;
  }
  class_state& state = classes_[need.priority];
  state.waiting += 1;
  state.waiting_by_account[need.account] += 1;
  state.deficits.try_emplace(need.account, 0.0);
}

void deadline_queue::Remove(request_key key) {
  const auto found = waiting_.find(key);
  if (found == waiting_.end()) {
    return;
  }
  const sessions::connection_requirements need = found->second.need;
  waiting_.erase(found);
  if (IsCommand(need)) {
    return;
  }
  const auto state = classes_.find(need.priority);
  state->second.waiting -= 1;
  if (--state->second.waiting_by_account[need.account] == 0) {
    state->second.waiting_by_account.erase(need.account);
    state->second.deficits.erase(need.account);
  }
  if (state->second.waiting == 0) {
    classes_.erase(state);
  }
}

void deadline_queue::OnServed(request_key key, core::time_point) {
  const auto found = waiting_.find(key);
  if (found == waiting_.end()) {
    return;
  }
  const sessions::connection_requirements need = found->second.need;
  if (!IsCommand(need)) {
    std::map<int, double> credits;
    for (const auto& [priority, state] : classes_) {
      credits[priority] = state.credit;
    }
    UpdateCredits(credits, need.priority);
    for (auto& [priority, state] : classes_) {
      state.credit = credits[priority];
    }
    class_state& own = classes_[need.priority];
    const double rounds =
        Rounds(own.deficits[need.account], Quantum(need.account));
    for (auto& [account, deficit] : own.deficits) {
      deficit = std::min(kMaxCredit, deficit + rounds * Quantum(account));
    }
    own.deficits[need.account] -= 1.0;
    own.last_account = need.account;
  }
  Remove(key);
}

void deadline_queue::UpdateCredits(std::map<int, double>& credits, int served) {
  const int highest = credits.begin()->first;
  for (auto& [priority, credit] : credits) {
    if (priority != highest) {
      credit = std::min(kMaxCredit, credit + kClassFloor);
    }
  }
  if (served != highest) {
    credits[served] = std::max(0.0, credits[served] - 1.0);
  }
}

const waiting_request* deadline_queue::Find(request_key key) const {
  const auto found = waiting_.find(key);
  return found == waiting_.end() ? nullptr : &found->second;
}

std::map<int, deadline_queue::ordered_class> deadline_queue::Classes(
    core::time_point now) const {
  struct item {
    const waiting_request* request;
    bool late;
  };
  std::vector<item> items;
  items.reserve(waiting_.size());
  for (const auto& [key, each] : waiting_) {
    if (!IsCommand(each.need) && !IsExpired(each, now)) {
      items.push_back({&each, IsLate(each.need, now)});
    }
  }
  std::sort(items.begin(), items.end(),
            [](const item& left, const item& right) {
              const sessions::connection_requirements& a = left.request->need;
              const sessions::connection_requirements& b = right.request->need;
              if (a.priority != b.priority) {
                return a.priority < b.priority;
              }
              if (const int order = a.account.compare(b.account); order != 0) {
                return order < 0;
              }
              if (left.late != right.late) {
                return right.late;
              }
              if (IsBefore(a, b, left.late)) {
                return true;
              }
              return !IsBefore(b, a, left.late) &&
                     left.request->sequence < right.request->sequence;
            });
  std::map<int, ordered_class> result;
  for (const item& each : items) {
    const sessions::connection_requirements& need = each.request->need;
    const class_state& state = classes_.at(need.priority);
    ordered_class& group = result[need.priority];
    if (group.accounts.empty() || *group.accounts.back().name != need.account) {
      if (need.account <= state.last_account) {
        group.turn = group.accounts.size() + 1;
      }
      ordered_class::account added;
      added.name = &need.account;
      added.deficit = state.deficits.at(need.account);
      added.quantum = Quantum(need.account);
      group.accounts.push_back(std::move(added));
    }
    group.accounts.back().lanes[each.late ? 1 : 0].requests.push_back(
        each.request);
    group.left += 1;
    group.left_on_time += each.late ? 0 : 1;
  }
  return result;
}

void deadline_queue::AppendNext(ordered_class& from,
                                std::vector<request_key>& order) {
  const std::size_t late = from.left_on_time > 0 ? 0 : 1;
  // Accounts take turns: those after the one served last come first.
  const std::size_t count = from.accounts.size();
  double fewest = 0;
  std::size_t chosen = count;
  for (std::size_t n = 0; n < count; ++n) {
    const std::size_t index = (from.turn + n) % count;
    const ordered_class::account& each = from.accounts[index];
    if (!each.lanes[late].HasNext()) {
      continue;
    }
    const double rounds = Rounds(each.deficit, each.quantum);
    if (chosen == count || rounds < fewest) {
      fewest = rounds;
      chosen = index;
    }
  }
  for (ordered_class::account& each : from.accounts) {
    each.deficit = std::min(kMaxCredit, each.deficit + fewest * each.quantum);
  }
  ordered_class::account& served = from.accounts[chosen];
  served.deficit -= 1.0;
  from.turn = chosen + 1;
  from.left -= 1;
  from.left_on_time -= late == 0 ? 1 : 0;
  lane& taken = served.lanes[late];
  order.push_back(taken.requests[taken.next]->key);
  taken.next += 1;
}

std::vector<request_key> deadline_queue::Order(core::time_point now) const {
  std::vector<request_key> order;
  order.reserve(waiting_.size());
  std::map<std::uint64_t, request_key> commands;
  for (const auto& [key, each] : waiting_) {
    if (IsCommand(each.need)) {
      commands[each.sequence] = key;
    }
  }
  for (const auto& [sequence, key] : commands) {
    order.push_back(key);
  }
  std::map<int, ordered_class> classes = Classes(now);
  std::map<int, double> credits;
  for (const auto& [priority, group] : classes) {
    credits[priority] = classes_.at(priority).credit;
  }
  while (!classes.empty()) {
    auto chosen = classes.begin();
    for (auto each = std::next(chosen); each != classes.end(); ++each) {
      // The small term keeps ten times 0.1 from being short of 1.
      if (credits[each->first] >= 1.0 - 1e-9) {
        chosen = each;
      }
    }
    AppendNext(chosen->second, order);
    UpdateCredits(credits, chosen->first);
    if (chosen->second.left == 0) {
      credits.erase(chosen->first);
      classes.erase(chosen);
    }
  }
  return order;
}

std::map<int, std::size_t> deadline_queue::LengthByClass() const {
  std::map<int, std::size_t> lengths;
  for (const auto& [priority, state] : classes_) {
    lengths[priority] = state.waiting;
  }
  return lengths;
}

work_ahead deadline_queue::Ahead(const sessions::connection_requirements& need,
                                 bool late,
                                 core::time_point now) const {
  work_ahead result;
  struct account_work {
    waiting_work work;
    double requests = 0;
  };
  std::map<std::string, account_work> accounts;
  const auto add = [](waiting_work& to, const waiting_request& each) {
    work_counts& counts = each.need.leader ? to.leader_only : to.any_server;
    counts[static_cast<std::size_t>(KindOf(each.need))] += 1;
  };
  for (const auto& [key, each] : waiting_) {
    if (IsCommand(each.need) || each.need.priority > need.priority ||
        IsExpired(each, now)) {
      continue;
    }
    if (each.need.priority < need.priority) {
      add(result.higher_classes, each);
      continue;
    }
    const bool each_late = IsLate(each.need, now);
    if (each_late && !late) {
      continue;
    }
    const bool own = each.need.account == need.account;
    const bool same_lane = each_late == late;
    if (own && same_lane && IsBefore(need, each.need, late)) {
      continue;
    }
    if (!same_lane) {
      // What is on time precedes all that is late, whatever the account.
      add(result.same_class, each);
      continue;
    }
    account_work& work = accounts[each.need.account];
    add(work.work, each);
    work.requests += 1;
  }
  const double own_turns = accounts[need.account].requests + 1;
  for (const auto& [account, each] : accounts) {
    // Another account is served in proportion to its weight until it is this
    // request's turn.
    const double turns =
        account == need.account
            ? each.requests
            : own_turns * Quantum(account) / Quantum(need.account);
    const double share =
        each.requests > 0 ? std::min(1.0, turns / each.requests) : 0.0;
    for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
      result.same_class.leader_only[kind] +=
          share * each.work.leader_only[kind];
      result.same_class.any_server[kind] += share * each.work.any_server[kind];
    }
  }
  return result;
}

}  // namespace plantaintiller::admission
