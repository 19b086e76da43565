#include "plantaintiller/cli/serve_command.h"

#include <cstdint>
#include <random>

#include "plantaintiller/serve/entry_instance.h"

namespace plantaintiller::cli {

std::vector<option> serve_command::Options() const {
  return {
      {"instance", option_kind::kNumber, "", "Number of this instance.", true,
       1, UINT32_MAX},
      {"zone", option_kind::kText, "", "Availability zone of this instance.",
       true, 0, 0},
      {"platform", option_kind::kAddress, "",
       "Address of the platform's service.", true, 0, 0},
      {"callers", option_kind::kAddress, "127.0.0.1:7400",
       "Address for callers.", false, 0, 0},
      {"operators", option_kind::kAddress, "127.0.0.1:7401",
       "Address for operators.", false, 0, 0},
      {"peers", option_kind::kAddress, "127.0.0.1:7402",
       "Address for other instances.", false, 0, 0},
      {"seeds", option_kind::kInstances, "",
       "Instances to ask for the configuration while the platform is down.",
       false, 0, 0},
      {"shutdown-limit-ms", option_kind::kNumber, "60000",
       "Time limit for a graceful shutdown, in milliseconds.", false, 0,
       3600000},
      {"log-decisions", option_kind::kFlag, "true",
       "Logs a line for each routing and placement decision.", false, 0, 0},
      {"seed", option_kind::kNumber, "0",
       "Seed for jitter and request ids; 0 chooses a random one.", false, 0,
       INT64_MAX},
  };
}

int serve_command::Run(const option_values& values) {
  serve::serve_settings settings;
  settings.self = {static_cast<std::uint32_t>(values.Number("instance"))};
  settings.zone = values.Text("zone");
  const address platform = values.Address("platform");
  settings.platform_host = platform.host;
  settings.platform_port = platform.port;
  const address callers = values.Address("callers");
  settings.caller_host = callers.host;
  settings.caller_port = callers.port;
  const address operators = values.Address("operators");
  settings.operator_host = operators.host;
  settings.operator_port = operators.port;
  const address peers = values.Address("peers");
  settings.peer_host = peers.host;
  settings.peer_port = peers.port;
  settings.seeds = values.List("seeds");
  settings.shutdown_limit =
      core::milliseconds(values.Number("shutdown-limit-ms"));
  settings.log_decisions = values.Flag("log-decisions");
  settings.seed = static_cast<std::uint64_t>(values.Number("seed"));
  if (settings.seed == 0) {
    std::random_device device;
    settings.seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
  }
  return serve::entry_instance(settings).Run();
}

}  // namespace plantaintiller::cli
