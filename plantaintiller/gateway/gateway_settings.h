#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/session_engine.h"

namespace plantaintiller::gateway {

/// An address of this instance or of a service.
struct endpoint {
  std::string host;
  std::uint16_t port = 0;
};

/// Settings that an instance is started with.
struct gateway_settings {
  /// Name of this instance, unique in the deployment.
  std::string instance;
  std::string zone;
  /// Region of each availability zone.
  std::map<std::string, std::string> regions;
  endpoint callers;
  endpoint readiness;
  endpoint operators;
  /// Port of the metrics on the readiness endpoint's host; 0 for none.
  std::uint16_t metrics_port = 9464;
  /// Address for heartbeats and state transfers between instances; the port is
  /// the same on all.
  endpoint peers;
  /// Port for sessions that instances forward to each other; the same on all.
  std::uint16_t forwarding_port = 0;
  /// Port for reports about the rate limits of accounts; the same on all. 0 if
  /// the port range has no third port; then each instance uses its part 1/N of
  /// each limit.
  std::uint16_t limits_port = 0;
  /// Processor share of this instance, in cores.
  double capacity = 1.0;
  /// With fewer live instances besides this one than this number, each instance
  /// sends heartbeats to all others, and sessions are served by the instance
  /// that the caller is connected to. A server then has two or more
  /// connections for each instance, and announcing a change costs each instance
  /// about 16 datagrams.
  std::size_t small_deployment = 16;
  /// Hosts of instances that receive this one's first heartbeat.
  std::vector<std::string> seeds;
  endpoint store;
  endpoint promotions;
  /// Time from the stop signal until the process is killed.
  core::milliseconds shutdown_grace{6000};
  /// Time after which a draining server must get no more work.
  core::milliseconds drain_limit{7000};
  /// Whether the platform refuses promotions with outdated tokens.
  bool fencing = true;
  /// Whether reads are balanced by the servers' load and faults; otherwise the
  /// servers are ordered by fixed costs.
  bool weighted_balancing = false;
  /// Limit on open sockets.
  std::size_t max_sockets = 1000;
  sessions::session_settings session;
};

}  // namespace plantaintiller::gateway
