#pragma once

#include <cstdint>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/statement.h"
#include "plantaintiller/decisions/group_controller.h"

namespace plantaintiller::decisions {

/// Callback interface of request_router to the instance that it runs in.
class router_host {
 public:
  virtual ~router_host() = default;

  /// Finds the settings of a database.
  /// @return null if the configuration has no database of that id.
  virtual const core::database_settings* SettingsOf(
      core::database_id database) const = 0;
  /// Finds the controller of a database's group record.
  /// @return null if this instance does not watch the database.
  virtual group_controller* ControllerOf(core::database_id database) = 0;
  /// Instances that hold connections to a server, in order of preference.
  virtual const std::vector<core::instance_id>& HoldersOf(
      core::backend_server_id server) = 0;
  /// Whether a peer is live, so that statements can be forwarded to it.
  virtual bool IsReachable(core::instance_id peer) const = 0;
  /// Whether a peer has ever sent a heartbeat to this instance.
  virtual bool HasBeenHeard(core::instance_id peer) const = 0;
  /// Availability zone of this instance.
  virtual core::zone_id Zone() const = 0;
  /// Runs a statement on this instance's own connections.
  virtual void SubmitLocally(std::uint64_t handle,
                             const core::statement& work,
                             core::slot_number slot,
                             core::time_point now) = 0;
};

}  // namespace plantaintiller::decisions
