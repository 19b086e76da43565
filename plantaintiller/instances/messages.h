#pragma once

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::instances {

/// @name Commands from the decision thread
/// @{
/// Forwards a statement to another instance.
struct forward_command {
  core::instance_id to;
  decisions::forwarded_statement work;
};
/// Replies to a statement that another instance forwarded.
struct reply_command {
  decisions::forwarded_reply reply;
};
struct heartbeat_command {
  core::instance_id to;
  decisions::heartbeat beat;
};
/// Requests the configuration of another instance.
struct request_configuration_command {
  core::instance_id from;
};
/// Sets the addresses of other instances.
struct peers_command {
  std::vector<core::instance_entry> peers;
};
/// Closes the connection to another instance.
struct close_peer_command {
  core::instance_id peer;
};
/// Sets the configuration that other instances receive on request.
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

/// @name Events for the decision thread
/// @{
/// Another instance forwarded a statement to this one.
struct forwarded_statement_event {
  core::instance_id from;
  decisions::forwarded_statement work;
};
/// Another instance replied to a forwarded statement.
struct reply_event {
  decisions::forwarded_reply reply;
};
/// A forwarded statement gets no reply because the connection failed.
struct forward_lost_event {
  std::uint64_t ticket = 0;
};
struct heartbeat_event {
  decisions::heartbeat beat;
};
/// Another instance sent its configuration.
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
