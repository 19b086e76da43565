#include "plantaintiller/model/network.h"

namespace plantaintiller::model {

namespace {
constexpr core::duration kLatencyWithinZone = std::chrono::microseconds(100);
}  // namespace

network::network(event_queue& queue,
                 const latency_settings& latencies,
                 std::uint64_t seed)
    : queue_(queue), latencies_(latencies), random_(seed) {}

void network::AddProcess(node_id node, std::string zone, std::string region) {
  process& placed = processes_[node];
  placed.zone = std::move(zone);
  placed.region = std::move(region);
}

core::duration network::Latency(const process& from,
                                const process& to,
                                bool caller) {
  core::duration base = kLatencyWithinZone;
  if (caller) {
    base = latencies_.to_callers;
  } else if (from.region != to.region) {
    base = latencies_.between_regions;
  } else if (from.zone != to.zone) {
    base = latencies_.between_zones;
  }
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  core::duration jitter =
      std::chrono::duration_cast<core::duration>(base * (draw(random_) * 0.2));
  if (draw(random_) < delay_probability) {
    jitter += std::chrono::duration_cast<core::duration>(max_extra_delay *
                                                         draw(random_));
  }
  return base + jitter;
}

bool network::IsCut(node_id from, node_id to) const {
  const std::string& from_zone = processes_.at(from).zone;
  const std::string& to_zone = processes_.at(to).zone;
  return zone_cuts_.contains({from_zone, to_zone}) ||
         node_cuts_.contains({from, to});
}

void network::Send(node_id from,
                   node_id to,
                   std::function<void()> deliver,
                   std::function<void()> on_refused) {
  if (!IsAlive(from) || IsCut(from, to)) {
    return;
  }
  const bool caller = from.kind == node_id::node_kind::kCaller ||
                      to.kind == node_id::node_kind::kCaller;
  const process& receiver = processes_.at(to);
  const core::duration latency = Latency(processes_.at(from), receiver, caller);
  std::function<void()> send_refusal;
  if (on_refused) {
    send_refusal = [this, from, to, on_refused = std::move(on_refused)] {
      Send(to, from, on_refused);
    };
  }
  queue_.ScheduleAfter(latency, [this, to, incarnation = receiver.incarnation,
                                 deliver = std::move(deliver),
                                 send_refusal = std::move(send_refusal)] {
    DeliverMessage(to, incarnation, deliver, send_refusal);
  });
}

void network::DeliverMessage(node_id to,
                             std::uint64_t incarnation,
                             const std::function<void()>& deliver,
                             const std::function<void()>& on_refused) {
  process& receiver = processes_.at(to);
  if (!receiver.alive || receiver.incarnation != incarnation) {
    if (on_refused) {
      // The refusal is sent by the receiver's host, not by the dead process. As
      // Send() drops messages of dead processes, the process counts as alive
      // meanwhile.
      const bool alive = std::exchange(receiver.alive, true);
      on_refused();
      receiver.alive = alive;
    }
    return;
  }
  if (receiver.frozen) {
    receiver.mailbox.push_back(deliver);
    return;
  }
  deliver();
}

void network::ScheduleAfter(node_id node,
                            core::duration delay,
                            std::function<void()> work) {
  queue_.ScheduleAfter(delay, [this, node, incarnation = Incarnation(node),
                               work = std::move(work)] {
    DeliverMessage(node, incarnation, work, nullptr);
  });
}

bool network::IsAlive(node_id node) const {
  return processes_.at(node).alive;
}

bool network::IsFrozen(node_id node) const {
  return processes_.at(node).frozen;
}

std::uint64_t network::Incarnation(node_id node) const {
  return processes_.at(node).incarnation;
}

void network::Kill(node_id node) {
  process& killed = processes_.at(node);
  killed.alive = false;
  killed.frozen = false;
  killed.mailbox.clear();
}

void network::Restart(node_id node) {
  process& started = processes_.at(node);
  started.alive = true;
  started.incarnation += 1;
}

void network::Freeze(node_id node) {
  processes_.at(node).frozen = true;
}

void network::Resume(node_id node) {
  process& resumed = processes_.at(node);
  if (!resumed.frozen) {
    return;
  }
  resumed.frozen = false;
  const std::vector<std::function<void()>> waiting =
      std::exchange(resumed.mailbox, {});
  for (const std::function<void()>& each : waiting) {
    each();
  }
}

void network::SetZoneCut(const std::string& from,
                         const std::string& to,
                         bool cut) {
  if (cut) {
    zone_cuts_.insert({from, to});
  } else {
    zone_cuts_.erase({from, to});
  }
}

void network::SetNodeCut(node_id from, node_id to, bool cut) {
  if (cut) {
    node_cuts_.insert({from, to});
  } else {
    node_cuts_.erase({from, to});
  }
}

void network::HealAll() {
  zone_cuts_.clear();
  node_cuts_.clear();
}

}  // namespace plantaintiller::model
