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
