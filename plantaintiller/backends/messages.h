#pragma once

#include <cstdint>
#include <memory>
#include <variant>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::backends {

/// @name Commands from the decisions
/// @{
struct attempt_command {
  decisions::attempt work;
};
struct close_connection_command {
  core::backend_server_id server;
  std::uint32_t connection = 0;
};
struct probe_command {
  decisions::server_probe probe;
};
struct set_role_command {
  decisions::role_command role;
};
/// Addresses of the backend servers.
struct configuration_command {
  std::shared_ptr<const core::configuration> configuration;
};
using command = std::variant<attempt_command,
                             close_connection_command,
                             probe_command,
                             set_role_command,
                             configuration_command>;
/// @}

/// @name Events for the decisions
/// @{
struct attempt_event {
  decisions::attempt_result result;
};
struct probe_event {
  core::backend_server_id server;
  std::uint64_t probe_id = 0;
  bool answered = false;
  /// Whether the server's machine refused the connection.
  bool refused = false;
  core::server_state state;
};
struct role_set_event {
  core::backend_server_id server;
};
using event = std::variant<attempt_event, probe_event, role_set_event>;
/// @}

}  // namespace plantaintiller::backends
