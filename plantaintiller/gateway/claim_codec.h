#pragma once

#include <optional>
#include <string>

#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::gateway {

/// Store table with one part per group, and the key of the group's claim there.
inline constexpr const char* kClaimTable = "groups";
inline constexpr const char* kClaimKey = "claim";

/// @return a claim as JSON, for its row in the store.
std::string EncodeClaim(const replication::group_claim& claim);
/// @return nothing if the text is not a valid claim.
std::optional<replication::group_claim> DecodeClaim(const std::string& text);

}  // namespace plantaintiller::gateway
