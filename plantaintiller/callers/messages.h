#pragma once

#include <cstdint>
#include <memory>
#include <variant>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/statement.h"

namespace plantaintiller::callers {

/// A caller's request on its way to the decisions.
struct statement_event {
  std::uint64_t ticket = 0;
  core::statement work;
};

/// @name Commands from the decisions
/// @{
struct answer_command {
  std::uint64_t ticket = 0;
  core::statement_outcome outcome;
};
struct configuration_command {
  std::shared_ptr<const core::configuration> configuration;
};
using command = std::variant<answer_command, configuration_command>;
/// @}

}  // namespace plantaintiller::callers
