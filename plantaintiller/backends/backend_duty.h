#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <utility>

#include "plantaintiller/backends/connection.h"
#include "plantaintiller/backends/messages.h"
#include "plantaintiller/core/channel.h"

namespace plantaintiller::backends {

/// The duty that communicates with backend servers: executes the decision
/// thread's commands on connections that it opens on demand.
class backend_duty {
 public:
  /// @param context event loop of the duty's thread. All other methods must be
  /// called on that thread.
  /// @param events channel to the decision thread; must outlive the duty.
  backend_duty(boost::asio::io_context& context, core::channel<event>& events);
  ~backend_duty();

  /// Executes one command.
  void Execute(const command& next_command);

 private:
  using connection_key = std::pair<core::backend_server_id, std::uint32_t>;

  void Execute(const attempt_command& attempt);
  void Execute(const close_connection_command& target);
  void Execute(const probe_command& probe_request);
  void Execute(const set_role_command& role_change);
  void Execute(const configuration_command& update);
  void Send(const event& new_event);
  const core::backend_server_settings* SettingsOf(
      core::backend_server_id server) const;
  static server_address AddressOf(const core::backend_server_settings& settings,
                                  const char* role);

  boost::asio::io_context& context_;
  core::channel<event>& events_;
  std::shared_ptr<const core::configuration> configuration_;
  std::map<connection_key, std::unique_ptr<connection>> connections_;
  std::map<core::backend_server_id, std::unique_ptr<connection>>
      probe_connections_;
  std::map<core::backend_server_id, std::unique_ptr<connection>>
      role_connections_;
};

}  // namespace plantaintiller::backends
