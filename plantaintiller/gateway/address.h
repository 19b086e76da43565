#pragma once

#include <cstdint>
#include <string>

namespace plantaintiller::gateway {

/// Splits an address. @param address HOST:PORT; @param host and @param port
/// are set on success. @return false if it is not of that form.
bool SplitAddress(const std::string& address,
                  std::string& host,
                  std::uint16_t& port);

}  // namespace plantaintiller::gateway
