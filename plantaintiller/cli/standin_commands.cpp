#include "plantaintiller/cli/standin_commands.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "plantaintiller/http/server.h"
#include "plantaintiller/standin/backend_service.h"
#include "plantaintiller/standin/platform_service.h"

namespace plantaintiller::cli {

namespace {

option ListenOption() {
  return {"listen",
          option_kind::kAddress,
          "127.0.0.1:0",
          "Address to listen on; port 0 selects a free port.",
          false,
          0,
          0};
}

template <class listener>
int ListenAndRun(boost::asio::io_context& context, listener& service) {
  // Before the port is announced, because whoever reads it may end the process.
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](const boost::system::error_code&, int) { context.stop(); });
  try {
    const std::uint16_t port = service.Listen();
    std::cout << "listening " << port << std::endl;
  } catch (const boost::system::system_error& error) {
    std::cerr << "cannot listen: " << error.what() << "\n";
    return kExitFailure;
  }
  context.run();
  return kExitSuccess;
}

}  // namespace

std::vector<option> standin_backend_command::Options() const {
  return {ListenOption(),
          {"connections", option_kind::kNumber, "16",
           "Maximum number of connections for statements.", false, 1, 10000},
          {"lag-ms", option_kind::kNumber, "0",
           "Replication delay, in milliseconds.", false, 0, 3600000}};
}

int standin_backend_command::Run(const option_values& values) {
  standin::backend_settings settings;
  const address listen = values.Address("listen");
  settings.host = listen.host;
  settings.port = listen.port;
  settings.connections = static_cast<std::size_t>(values.Number("connections"));
  settings.lag = core::milliseconds(values.Number("lag-ms"));
  boost::asio::io_context context(1);
  standin::backend_service service(context, settings);
  const int status = ListenAndRun(context, service);
  // Sessions hold references to the service, so they must end before it is
  // destroyed.
  service.Stop();
  context.restart();
  context.poll();
  return status;
}

std::vector<option> standin_platform_command::Options() const {
  return {ListenOption()};
}

int standin_platform_command::Run(const option_values& values) {
  const address listen = values.Address("listen");
  http::server_settings settings;
  settings.host = listen.host;
  settings.port = listen.port;
  boost::asio::io_context context(1);
  standin::platform_service service(context);
  http::server server(context, settings, service);
  return ListenAndRun(context, server);
}

}  // namespace plantaintiller::cli
