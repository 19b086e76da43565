#include "plantaintiller/replication/distance.h"

namespace plantaintiller::replication {

core::duration RoundTrip(distance zone_distance) {
  // Round trips close to those of both users' sites.
  switch (zone_distance) {
    case distance::kSameZone:
      return std::chrono::microseconds(500);
    case distance::kSameRegion:
      return core::milliseconds(2);
    case distance::kOtherRegion:
      return core::milliseconds(17);
  }
  return core::milliseconds(17);
}

}  // namespace plantaintiller::replication
