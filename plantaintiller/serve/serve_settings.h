#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::serve {

/// Settings of an entry instance.
struct serve_settings {
  core::instance_id self;
  std::string zone;
  std::string caller_host = "127.0.0.1";
  std::uint16_t caller_port = 0;
  std::string operator_host = "127.0.0.1";
  std::uint16_t operator_port = 0;
  std::string peer_host = "127.0.0.1";
  std::uint16_t peer_port = 0;
  std::string platform_host = "127.0.0.1";
  std::uint16_t platform_port = 0;
  /// Instances to ask for the configuration while the platform is down, each
  /// as ID@ZONE=HOST:PORT.
  std::vector<std::string> seeds;
  /// Time after which a graceful shutdown ends even if work is unfinished.
  core::milliseconds shutdown_limit{60000};
  /// Whether a line is logged for each routing and placement decision.
  bool log_decisions = true;
  /// Seed of the random number generators.
  std::uint64_t seed = 0;
};

}  // namespace plantaintiller::serve
