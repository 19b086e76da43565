#pragma once

#include <string>

#include "plantaintiller/standin/backend_node.h"

namespace plantaintiller::standin {

/// Converts the content of a log entry to JSON text.
std::string LogContentToText(const log_content& content);
/// Parses the content of a log entry. Text that is not a JSON array yields no
/// statements.
log_content LogContentFromText(const std::string& text);

}  // namespace plantaintiller::standin
