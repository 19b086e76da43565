#include "plantaintiller/model/fake_server.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace plantaintiller::model {

using decisions::attempt_kind;
using decisions::attempt_status;

namespace {
constexpr core::duration kFetchTimeout = std::chrono::milliseconds(100);
constexpr core::duration kPeerResetDelay = std::chrono::milliseconds(20);
constexpr std::size_t kMaxEntriesPerFetch = 256;
}  // namespace

fake_server::fake_server(core::backend_server_id id,
                         std::size_t connections,
                         event_queue& queue,
                         network& net,
                         history_checker& checker,
                         server_lookup find)
    : id_(id),
      connection_limit_(connections),
      queue_(queue),
      net_(net),
      checker_(checker),
      find_server_(std::move(find)) {}

std::vector<request_number> fake_server::Writes() const {
  std::vector<request_number> writes;
  for (const auto& entry : log_.Entries()) {
    writes.insert(writes.end(), entry.value.writes.begin(),
                  entry.value.writes.end());
  }
  return writes;
}

const model_entry* fake_server::FindKey(const core::request_key& key) const {
  for (const auto& entry : log_.Entries()) {
    if (entry.value.has_key && entry.value.key == key) {
      return &entry.value;
    }
  }
  return nullptr;
}

void fake_server::OnAttempt(
    const connection_key& connection,
    bool opens_connection,
    const decisions::attempt& work,
    const std::function<void(decisions::attempt_result)>& reply) {
  if (closed_.contains(connection)) {
    return;
  }
  if (!connections_.contains(connection)) {
    const bool full = connections_.size() >= connection_limit_;
    if (!opens_connection || full) {
      decisions::attempt_result refused;
      refused.id = work.id;
      refused.server = id_;
      refused.status = opens_connection ? attempt_status::kTooManyConnections
                                        : attempt_status::kConnectionLost;
      reply(refused);
      return;
    }
    connections_[connection] = {};
    const node_id peer = node_id::Instance(connection.instance);
    const bool peer_died =
        !net_.IsAlive(peer) || net_.Incarnation(peer) != connection.incarnation;
    if (peer_died) {
      // Statements that a dead process has sent still run; the reset of its
      // connection arrives a little later.
      queue_.ScheduleAfter(kPeerResetDelay,
                           [this, connection] { OnClose(connection); });
    }
  }
  open_connection& open = connections_[connection];
  checker_.OnStatementAtServer(id_, work, open.busy, open.transaction,
                               queue_.Now());
  open.busy = true;
  net_.ScheduleAfter(Node(), service_time, [this, connection, work, reply] {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
      return;
    }
    found->second.busy = false;
    reply(Execute(connection, work));
  });
}

decisions::attempt_result fake_server::Execute(const connection_key& key,
                                               const decisions::attempt& work) {
  open_connection& open = connections_[key];
  decisions::attempt_result result;
  result.id = work.id;
  result.server = id_;
  result.status = attempt_status::kDone;
  const model_body& body = BodyOf(work.work);
  const bool in_transaction = work.kind == attempt_kind::kInTransaction ||
                              work.kind == attempt_kind::kCommit ||
                              work.kind == attempt_kind::kRollback;
  const core::term_number expected_term =
      in_transaction ? open.term : work.term;
  const bool wrong_term = expected_term != log_.State().adopted_term;
  if (wrong_term && !checker_.IgnoresTerm(work.kind)) {
    result.status = attempt_status::kWrongTerm;
    result.state = log_.State();
    open.pending.clear();
    return result;
  }
  switch (work.kind) {
    case attempt_kind::kRead:
      break;
    case attempt_kind::kWrite:
      result.status = ExecuteWrite(work, {body.request});
      break;
    case attempt_kind::kTombstone:
      result.status = ExecuteWrite(work, {});
      break;
    case attempt_kind::kBegin:
      open.in_transaction = true;
      open.transaction = body.transaction;
      open.term = work.term;
      open.pending.clear();
      break;
    case attempt_kind::kInTransaction:
      open.pending.push_back(body.request);
      break;
    case attempt_kind::kCommit:
      // The whole transaction is acknowledged by the request of its commit.
      open.pending.push_back(body.request);
      result.status = ExecuteWrite(work, std::exchange(open.pending, {}));
      open.in_transaction = false;
      open.transaction = 0;
      break;
    case attempt_kind::kRollback:
      open.in_transaction = false;
      open.transaction = 0;
      open.pending.clear();
      break;
  }
  result.state = log_.State();
  result.result = ResultFor(work);
  return result;
}

attempt_status fake_server::ExecuteWrite(const decisions::attempt& work,
                                         std::vector<request_number> writes) {
  if (!log_.State().is_primary) {
    return attempt_status::kStatementFailed;
  }
  const bool tombstone = work.kind == attempt_kind::kTombstone;
  if (work.work.has_key) {
    if (const model_entry* found = FindKey(work.work.key)) {
      if (found->fingerprint != work.work.fingerprint) {
        return attempt_status::kKeyReused;
      }
      return found->is_tombstone ? attempt_status::kTombstoned
                                 : attempt_status::kAlreadyDone;
    }
  }
  model_entry entry;
  entry.writes = std::move(writes);
  entry.has_key = work.work.has_key;
  entry.is_tombstone = tombstone;
  entry.key = work.work.key;
  entry.fingerprint = work.work.fingerprint;
  log_.Append(std::move(entry));
  OnLogChanged();
  return attempt_status::kDone;
}

std::shared_ptr<model_result> fake_server::ResultFor(
    const decisions::attempt& work) const {
  auto result = std::make_shared<model_result>();
  result->request = BodyOf(work.work).request;
  if (work.kind == attempt_kind::kRead) {
    result->seen = Writes();
  }
  return result;
}

void fake_server::OnClose(const connection_key& connection) {
  connections_.erase(connection);
  closed_.insert(connection);
}

void fake_server::OnInstanceDied(core::instance_id instance) {
  std::erase_if(connections_, [instance](const auto& each) {
    return each.first.instance == instance;
  });
}

void fake_server::OnProbe(
    node_id from,
    const decisions::server_probe& probe,
    const std::function<void(core::server_state)>& reply) {
  const auto answer = [this, from, reply] {
    net_.Send(Node(), from, [reply, state = log_.State()] { reply(state); });
  };
  const core::server_state state = log_.State();
  const bool waits = probe.max_wait > core::milliseconds(0) &&
                     state.adopted_term == probe.wait_term &&
                     state.position.offset < probe.wait_offset;
  if (!waits) {
    answer();
    return;
  }
  const std::uint64_t number = ++next_waiter_;
  probe_waiters_.push_back(
      {probe.wait_offset, probe.wait_term, answer, number});
  net_.ScheduleAfter(Node(), probe.max_wait, [this, number] {
    const auto found =
        std::ranges::find(probe_waiters_, number, &probe_waiter::number);
    if (found != probe_waiters_.end()) {
      const std::function<void()> due = found->answer;
      probe_waiters_.erase(found);
      due();
    }
  });
}

void fake_server::OnRoleCommand(node_id from,
                                const decisions::role_command& command,
                                const std::function<void()>& reply) {
  if (command.primary == id_.slot) {
    const bool changes = command.term > log_.State().adopted_term;
    if (!log_.Promote(command.term)) {
      return;
    }
    if (changes) {
      follow_term_ = command.term;
      OnLogChanged();
    }
  } else if (log_.IsNewerTerm(command.term) && command.term > follow_term_) {
    follow_term_ = command.term;
    follow_primary_ = command.primary;
    Fetch();
  }
  net_.Send(Node(), from, reply);
}

void fake_server::OnLogChanged() {
  checker_.OnLogChanged(id_, log_.State(), Writes(), queue_.Now());
  const core::server_state state = log_.State();
  std::vector<probe_waiter> due;
  std::erase_if(probe_waiters_, [&](const probe_waiter& waiter) {
    const bool ready = state.adopted_term != waiter.term ||
                       state.position.offset >= waiter.offset;
    if (ready) {
      due.push_back(waiter);
    }
    return ready;
  });
  for (const probe_waiter& waiter : due) {
    waiter.answer();
  }
  const std::vector<fetch_waiter> fetches = std::exchange(fetch_waiters_, {});
  for (const fetch_waiter& waiter : fetches) {
    SendEntries(waiter);
  }
}

void fake_server::Fetch() {
  const core::server_state state = log_.State();
  if (state.is_primary && state.adopted_term >= follow_term_) {
    return;
  }
  fetch_round_ += 1;
  const std::uint64_t round = fetch_round_;
  net_.Send(
      Node(), node_id::Server({id_.database, follow_primary_}),
      [this, log = log_] {
        find_server_(follow_primary_).OnFetch(id_.slot, follow_term_, log);
      });
  net_.ScheduleAfter(Node(), kFetchTimeout, [this, round] {
    if (fetch_round_ == round) {
      Fetch();
    }
  });
}

void fake_server::OnFetch(
    core::slot_number follower,
    core::term_number term,
    const standin::replica_log<model_entry>& follower_log) {
  const core::server_state state = log_.State();
  if (state.adopted_term != term || !state.is_primary) {
    return;
  }
  if (follower_log.State().adopted_term != term) {
    const std::size_t common =
        standin::replica_log<model_entry>::CommonPrefix(log_, follower_log);
    net_.Send(
        Node(), node_id::Server({id_.database, follower}),
        [this, follower, term, common, from = follower_log.LastPosition()] {
          find_server_(follower).OnCommonPrefix(term, common, from);
        });
    return;
  }
  SendEntries({follower, term, follower_log.Entries().size()});
}

void fake_server::SendEntries(const fetch_waiter& to) {
  const core::server_state state = log_.State();
  if (state.adopted_term != to.term || !state.is_primary) {
    return;
  }
  const auto& entries = log_.Entries();
  if (to.offset >= entries.size()) {
    std::erase_if(fetch_waiters_, [&](const fetch_waiter& waiter) {
      return waiter.follower == to.follower;
    });
    fetch_waiters_.push_back(to);
    return;
  }
  const auto first = entries.begin() + static_cast<std::ptrdiff_t>(to.offset);
  const std::size_t count =
      std::min(kMaxEntriesPerFetch, entries.size() - to.offset);
  std::vector<standin::replica_log<model_entry>::entry> sent(
      first, first + static_cast<std::ptrdiff_t>(count));
  net_.Send(Node(), node_id::Server({id_.database, to.follower}),
            [this, to, sent] {
              find_server_(to.follower).OnEntries(to.term, to.offset, sent);
            });
}

void fake_server::OnCommonPrefix(core::term_number term,
                                 std::size_t common,
                                 core::log_position follower_position) {
  const bool current = term == follow_term_ && log_.IsNewerTerm(term) &&
                       log_.LastPosition() == follower_position;
  if (!current) {
    return;
  }
  log_.Follow(term, common);
  OnLogChanged();
  Fetch();
}

void fake_server::OnEntries(
    core::term_number term,
    std::uint64_t after,
    std::vector<standin::replica_log<model_entry>::entry> entries) {
  fetch_round_ += 1;
  const std::uint64_t round = fetch_round_;
  net_.ScheduleAfter(Node(), replication_lag,
                     [this, term, after, round, entries = std::move(entries)] {
                       const core::server_state state = log_.State();
                       const bool continues_log =
                           state.adopted_term == term && !state.is_primary &&
                           log_.Entries().size() == after;
                       if (continues_log) {
                         for (const auto& each : entries) {
                           log_.Receive(each);
                         }
                         OnLogChanged();
                       }
                       if (fetch_round_ == round) {
                         Fetch();
                       }
                     });
}

void fake_server::OnKilled() {
  connections_.clear();
  probe_waiters_.clear();
  fetch_waiters_.clear();
}

void fake_server::OnRestarted() {
  if (follow_term_ > 0) {
    Fetch();
  }
}

}  // namespace plantaintiller::model
