#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace plantaintiller::cli {

/// Shows JSON for a person: plain fields a line each, lists of objects as
/// tables.
std::string JsonTable(const boost::json::value& json);

}  // namespace plantaintiller::cli
