#pragma once

#include <boost/json/value.hpp>
#include <string>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/error.h"

namespace plantaintiller::config {

/// Writes a configuration as JSON; the version is part of it.
boost::json::value ToJson(const core::configuration& configuration);

/// Reads a configuration. @return kBadConfiguration naming the field.
core::result<core::configuration> ConfigurationFromJson(
    const boost::json::value& json);

/// Parses JSON text. @return kBadJson with the parser's reason.
core::result<boost::json::value> ParseJson(const std::string& text);

}  // namespace plantaintiller::config
