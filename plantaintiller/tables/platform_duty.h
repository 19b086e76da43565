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

/// The duty that talks to the platform's table service and list of instances.
class platform_duty {
 public:
  /// @param context of the duty's thread; all else is called on that thread.
  /// @param host, port of the platform's service.
  platform_duty(boost::asio::io_context& context,
                const std::string& host,
                std::uint16_t port,
                core::channel<event>& events);
  ~platform_duty();

  /// Carries out one command.
  void Execute(const command& given);

 private:
  struct row {
    std::uint64_t version = 0;
    boost::json::value value;
  };

  void Execute(const read_record_command& given);
  void Execute(const compare_and_set_command& given);
  void Execute(const read_configuration_command& given);
  void Execute(const read_instances_command& given);
  void Send(const event& new_event);
  void OnInstances(const std::string& body);
  static std::optional<row> ParseRow(const std::string& body);

  core::channel<event>& events_;
  // Two connections, so that a slow list does not hold up a change of primary.
  http::client record_client_;
  http::client background_client_;
};

}  // namespace plantaintiller::tables
