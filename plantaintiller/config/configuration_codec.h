#pragma once

#include <boost/json/value.hpp>
#include <string>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/error.h"

namespace plantaintiller::config {

/// Converts a configuration, including its version, to JSON.
boost::json::value ToJson(const core::configuration& configuration);

/// Parses a configuration from JSON.
/// @return the configuration, or kBadConfiguration with the name of the invalid
/// field.
core::result<core::configuration> ConfigurationFromJson(
    const boost::json::value& json);

/// Parses JSON text. @return the value, or kBadJson with the parser's message.
core::result<boost::json::value> ParseJson(const std::string& text);

}  // namespace plantaintiller::config
