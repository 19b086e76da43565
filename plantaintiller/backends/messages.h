#pragma once

#include <cstdint>
#include <memory>
#include <variant>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::backends {

/// @name Commands from the decision thread
/// @{
/// Runs an attempt on its connection.
struct attempt_command {
  decisions::attempt work;
};
/// Closes a connection.
struct close_connection_command {
  core::backend_server_id server;
  std::uint32_t connection = 0;
};
/// Queries a server's state.
struct probe_command {
  decisions::server_probe probe;
};
/// Makes a server the primary of a term, or a follower of the primary.
struct set_role_command {
  decisions::role_command role;
};
/// Sets the addresses of the backend servers.
struct configuration_command {
  std::shared_ptr<const core::configuration> configuration;
};
using command = std::variant<attempt_command,
                             close_connection_command,
                             probe_command,
                             set_role_command,
                             configuration_command>;
/// @}

/// @name Events for the decision thread
/// @{
/// An attempt has ended.
struct attempt_event {
  decisions::attempt_result result;
};
/// A probe was answered or has failed.
struct probe_event {
  core::backend_server_id server;
  std::uint64_t probe_id = 0;
  bool answered = false;
  /// Whether the server's machine refused the TCP connection.
  bool refused = false;
  core::server_state state;
};
/// A server answered a set_role_command.
struct role_set_event {
  core::backend_server_id server;
};
using event = std::variant<attempt_event, probe_event, role_set_event>;
/// @}

}  // namespace plantaintiller::backends
