#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <string>

#include "plantaintiller/core/channel.h"
#include "plantaintiller/http/client.h"
#include "plantaintiller/tables/messages.h"

namespace plantaintiller::tables {

/// The duty that communicates with the platform: its table service and its list
/// of instances.
class platform_duty {
 public:
  /// @param context event loop of the duty's thread. All other methods must be
  /// called on that thread.
  /// @param host address of the platform's service.
  /// @param port port of the platform's service.
  /// @param events channel to the decision thread; must outlive the duty.
  platform_duty(boost::asio::io_context& context,
                const std::string& host,
                std::uint16_t port,
                core::channel<event>& events);
  ~platform_duty();

  /// Executes one command.
  void Execute(const command& next_command);

 private:
  struct row {
    std::uint64_t version = 0;
    boost::json::value value;
  };

  void Execute(const read_record_command& request);
  void Execute(const compare_and_set_command& update);
  void Execute(const read_configuration_command& request);
  void Execute(const read_instances_command& request);
  void Send(const event& new_event);
  void OnInstances(const std::string& body);
  static std::optional<row> ParseRow(const std::string& body);

  core::channel<event>& events_;
  // Separate connections, so that a slow read of the instance list or the
  // configuration does not delay a change of primary.
  http::client record_client_;
  http::client background_client_;
};

}  // namespace plantaintiller::tables
