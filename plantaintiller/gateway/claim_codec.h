#pragma once

#include <optional>
#include <string>

#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::gateway {

/// Table with one part a group, and the key of a group's claim there.
inline constexpr const char* kClaimTable = "groups";
inline constexpr const char* kClaimKey = "claim";

/// Text of a claim's row.
std::string EncodeClaim(const replication::group_claim& claim);
/// @return nothing if the text is not a claim.
std::optional<replication::group_claim> DecodeClaim(const std::string& text);

}  // namespace plantaintiller::gateway
