#pragma once

#include <string>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::serve {

/// Formats a decision as a log line: the prefix of the component, the decision
/// with its reason, and the values that it concerns.
/// @param configuration used to look up the names of databases; if null, their
/// ids are printed.
std::string FormatDecision(const decisions::decision_log_entry& entry,
                           const core::configuration* configuration);

}  // namespace plantaintiller::serve
