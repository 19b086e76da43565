#pragma once

#include <cstdint>
#include <memory>
#include <variant>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/statement.h"

namespace plantaintiller::callers {

/// Passes a caller's request to the decision thread.
struct statement_event {
  std::uint64_t ticket = 0;
  core::statement work;
};

/// @name Commands from the decision thread
/// @{
/// Answers the request with this ticket.
struct answer_command {
  std::uint64_t ticket = 0;
  core::statement_outcome outcome;
};
/// Sets the configuration that requests are checked against.
struct configuration_command {
  std::shared_ptr<const core::configuration> configuration;
};
using command = std::variant<answer_command, configuration_command>;
/// @}

}  // namespace plantaintiller::callers
