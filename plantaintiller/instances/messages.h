#pragma once

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::instances {

/// @name Commands from the decisions
/// @{
struct forward_command {
  core::instance_id to;
  decisions::forwarded_statement work;
};
struct reply_command {
  decisions::forwarded_reply reply;
};
struct heartbeat_command {
  core::instance_id to;
  decisions::heartbeat beat;
};
struct request_configuration_command {
  core::instance_id from;
};
struct peers_command {
  std::vector<core::instance_entry> peers;
};
struct close_peer_command {
  core::instance_id peer;
};
/// Configuration to give to peers that ask.
struct configuration_command {
  std::shared_ptr<const core::configuration> configuration;
};
using command = std::variant<forward_command,
                             reply_command,
                             heartbeat_command,
                             request_configuration_command,
                             peers_command,
                             close_peer_command,
                             configuration_command>;
/// @}

/// @name Events for the decisions
/// @{
struct forwarded_statement_event {
  core::instance_id from;
  decisions::forwarded_statement work;
};
struct reply_event {
  decisions::forwarded_reply reply;
};
struct forward_lost_event {
  std::uint64_t ticket = 0;
};
struct heartbeat_event {
  decisions::heartbeat beat;
};
struct configuration_event {
  std::shared_ptr<const core::configuration> configuration;
};
using event = std::variant<forwarded_statement_event,
                           reply_event,
                           forward_lost_event,
                           heartbeat_event,
                           configuration_event>;
/// @}

}  // namespace plantaintiller::instances
