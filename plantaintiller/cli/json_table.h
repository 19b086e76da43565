#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace plantaintiller::cli {

/// Formats JSON as readable text: plain fields one per line, lists of objects
/// as tables.
std::string JsonTable(const boost::json::value& json);

}  // namespace plantaintiller::cli
