#pragma once

#include <string>
#include <string_view>

namespace plantaintiller::sessions {

/// Computes the name of a prepared statement at the servers. All sessions that
/// use a connection share it, so that two statements must never have one name,
/// also if a caller chooses their texts: the name is a cryptographic digest.
/// @param writes whether the statement writes.
/// @param shape text of the statement, as given to PREPARE.
std::string PreparedName(bool writes, std::string_view shape);

}  // namespace plantaintiller::sessions
