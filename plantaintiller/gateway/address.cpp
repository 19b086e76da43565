#include "plantaintiller/gateway/address.h"

#include <charconv>

namespace plantaintiller::gateway {

bool SplitAddress(const std::string& address,
                  std::string& host,
                  std::uint16_t& port) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [last, error] = std::from_chars(begin, end, port);
  if (error != std::errc() || last != end || port == 0) {
    return false;
  }
  host = address.substr(0, colon);
  return true;
}

}  // namespace plantaintiller::gateway
