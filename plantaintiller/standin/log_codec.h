#pragma once

#include <string>

#include "plantaintiller/standin/backend_node.h"

namespace plantaintiller::standin {

/// Writes the content of a log entry as JSON text.
std::string LogContentToText(const log_content& content);
/// Reads the content of a log entry. Malformed text gives no statements.
log_content LogContentFromText(const std::string& text);

}  // namespace plantaintiller::standin
