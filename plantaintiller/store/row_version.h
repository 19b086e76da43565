#pragma once

#include <cstdint>

namespace plantaintiller::store {

/// Version of a row, increased with each transaction of the store; 0 means that
/// the row does not exist.
///
/// A store may come back from an older copy. Its era then rises by one, and it
/// gives the versions since that copy out again. The high bits of a row version
/// hold the era, so that versions of all eras compare in the order in which
/// they were given out.
using row_version = std::uint64_t;

/// Bits of a row version below its era: enough for 17 million million
/// transactions.
inline constexpr int kEraShift = 44;

/// @param era era of the store's answer.
/// @param number version as the store knows it.
constexpr row_version MakeRowVersion(std::uint64_t era, std::uint64_t number) {
  return (era << kEraShift) + number;
}

/// @return the era in which a version was given out.
constexpr std::uint64_t EraOf(row_version version) {
  return version >> kEraShift;
}

/// @return the version as the store knows it.
constexpr std::uint64_t NumberWithinEra(row_version version) {
  return version & ((std::uint64_t{1} << kEraShift) - 1);
}

}  // namespace plantaintiller::store
