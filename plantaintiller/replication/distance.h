#pragma once

#include <cstdint>

#include "plantaintiller/core/time.h"

namespace plantaintiller::replication {

/// Distance of an availability zone from this instance.
enum class distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };

/// @return the typical network round trip over a distance.
core::duration RoundTrip(distance zone_distance);

}  // namespace plantaintiller::replication
