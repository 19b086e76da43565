#pragma once

#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::gateway {

/// Key of the row with the members of a group, in the table and part of its
/// claim. It sorts behind `kClaimKey`, so that one read returns both.
inline constexpr const char* kMembersKey = "members";

/// Encodes the servers of a group as a JSON array. Only what tells a server's
/// lifetime and address apart is recorded.
std::string EncodeMembers(
    const std::vector<replication::server_entry>& members);

/// @param group name of the group, which the row does not repeat.
/// @return the servers; nothing if the text is not a row of members.
std::optional<std::vector<replication::server_entry>> DecodeMembers(
    const std::string& group,
    const std::string& text);

}  // namespace plantaintiller::gateway
