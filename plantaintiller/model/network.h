#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/model/event_queue.h"

namespace plantaintiller::model {

/// Identifies a process of the modelled system.
struct node_id {
  enum class node_kind : std::uint8_t {
    kInstance,
    kServer,
    kPlatform,
    kCaller
  };
  node_kind kind = node_kind::kInstance;
  std::uint32_t number = 0;
  core::slot_number slot = 0;
  friend auto operator<=>(const node_id&, const node_id&) = default;

  static node_id Instance(core::instance_id id) {
    return {node_kind::kInstance, id.value, 0};
  }
  static node_id Server(core::backend_server_id id) {
    return {node_kind::kServer, id.database.value, id.slot};
  }
  static node_id Platform() { return {node_kind::kPlatform, 0, 0}; }
  static node_id Caller(std::uint32_t number) {
    return {node_kind::kCaller, number, 0};
  }
};

/// One-way latencies of a deployment.
struct latency_settings {
  core::duration between_zones = std::chrono::microseconds(1000);
  core::duration between_regions = std::chrono::microseconds(8000);
  core::duration to_callers = std::chrono::microseconds(3000);
};

/// Simulates processes and the messages between them, with latency, cut links,
/// and killed and frozen processes.
class network {
 public:
  network(event_queue& queue,
          const latency_settings& latencies,
          std::uint64_t seed);

  /// Adds a running process. @param zone, region location of the process.
  void AddProcess(node_id node, std::string zone, std::string region);

  /// Sends a message. It is lost if the sender is dead or the link is cut.
  /// @param deliver runs at the receiver when the message arrives, or after
  /// Resume() if the receiver is frozen.
  /// @param on_refused runs at the sender if the receiver is dead, or has been
  /// restarted, when the message arrives.
  void Send(node_id from,
            node_id to,
            std::function<void()> deliver,
            std::function<void()> on_refused = nullptr);
  /// Runs `work` at a process after a delay, unless the process is killed
  /// before.
  void ScheduleAfter(node_id node,
                     core::duration delay,
                     std::function<void()> work);

  bool IsAlive(node_id node) const;
  bool IsFrozen(node_id node) const;
  /// Returns the incarnation of a process, which increases with each restart.
  std::uint64_t Incarnation(node_id node) const;
  void Kill(node_id node);
  void Restart(node_id node);
  void Freeze(node_id node);
  /// Resumes a frozen process, which first handles all messages that arrived
  /// while it was frozen.
  void Resume(node_id node);

  /// Cuts or restores the link from one zone to another, in this direction
  /// only.
  void SetZoneCut(const std::string& from, const std::string& to, bool cut);
  /// Cuts or restores the link from one process to another, in this direction
  /// only.
  void SetNodeCut(node_id from, node_id to, bool cut);
  /// Restores all links.
  void HealAll();
  bool IsCut(node_id from, node_id to) const;

  /// Probability that a message takes up to `max_extra_delay` longer.
  double delay_probability = 0.0;
  core::duration max_extra_delay = std::chrono::milliseconds(800);

 private:
  struct process {
    std::string zone;
    std::string region;
    bool alive = true;
    bool frozen = false;
    std::uint64_t incarnation = 1;
    std::vector<std::function<void()>> mailbox;
  };

  void DeliverMessage(node_id to,
                      std::uint64_t incarnation,
                      const std::function<void()>& deliver,
                      const std::function<void()>& on_refused);
  core::duration Latency(const process& from, const process& to, bool caller);

  event_queue& queue_;
  latency_settings latencies_;
  std::mt19937_64 random_;
  std::map<node_id, process> processes_;
  std::set<std::pair<std::string, std::string>> zone_cuts_;
  std::set<std::pair<node_id, node_id>> node_cuts_;
};

}  // namespace plantaintiller::model
