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

/// Everything that an entry instance is told at its start.
struct gateway_settings {
  /// Name of this instance, unique in the deployment.
  std::string instance;
  std::string zone;
  /// Region of each availability zone.
  std::map<std::string, std::string> regions;
  endpoint callers;
  endpoint readiness;
  endpoint operators;
  /// Port of the metrics on the operators' host; 0 for none.
  std::uint16_t metrics_port = 9464;
  /// Port for heartbeats and transfers between instances, the same at all.
  endpoint peers;
  /// Port for sessions that instances forward to each other, the same at all.
  std::uint16_t forwarding_port = 0;
  /// Processor share of this instance, in cores.
  double capacity = 1.0;
  /// With fewer other instances alive, everyone tells everyone its news, and
  /// sessions are served where they arrive: a server then has two connections
  /// or more for each instance, and news cost each some 16 datagrams.
  std::size_t small_deployment = 16;
  /// Hosts of instances that may be alive.
  std::vector<std::string> seeds;
  endpoint store;
  endpoint promotions;
  /// Time from the signal to stop until the process is killed.
  core::milliseconds shutdown_grace{6000};
  /// Time after which a leaving server must get no more work.
  core::milliseconds drain_limit{7000};
  /// Most sockets that may be open.
  std::size_t max_sockets = 1000;
  sessions::session_settings session;
};

}  // namespace plantaintiller::gateway
