#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/accounts/usage_report.h"

namespace plantaintiller::instances {

/// Limit on the size of a datagram, to fit a packet of the network.
inline constexpr std::size_t kMaxUsageDatagram = 1400;

/// Encodes a message as datagrams of at most `kMaxUsageDatagram` bytes.
/// Demand is rounded to sixteenths of an operation a second. Of a report that
/// is too large for a datagram the last accounts are left out.
std::vector<std::string> EncodeUsage(const accounts::usage_message& message);

/// Decodes a datagram. @return nothing if it is not readable.
std::optional<accounts::usage_message> DecodeUsage(const char* data,
                                                   std::size_t size);

}  // namespace plantaintiller::instances
