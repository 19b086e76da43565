#pragma once

#include <string>

#include "plantaintiller/gateway/caller_environment.h"
#include "plantaintiller/sessions/session_ending.h"

namespace plantaintiller::gateway {

/// Reason of the failures of sessions that end because this instance stops.
inline constexpr const char* kShutdownReason = "shutdown";

/// Logs and counts the requests that a session's end has refused since the last
/// call.
/// @param database name of the database that the caller asked for.
void ReportRefusals(caller_environment& environment,
                    const std::string& database,
                    sessions::session_ending& ending);

/// Logs and counts the requests in bytes that arrived after the end of their
/// session and so get no answer.
/// @param since time since the session has ended.
void ReportDropped(caller_environment& environment,
                   const std::string& database,
                   core::duration since,
                   std::string input);

}  // namespace plantaintiller::gateway
