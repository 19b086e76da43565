#pragma once

#include <string>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::serve {

/// One log line for a decision: a prefix for the part, then what and why.
/// @param configuration for the names of databases; may be null.
std::string FormatDecision(const decisions::decision_log_entry& entry,
                           const core::configuration* configuration);

}  // namespace plantaintiller::serve
