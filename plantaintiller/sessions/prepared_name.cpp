#include "plantaintiller/sessions/prepared_name.h"

#include <sodium.h>

#include <array>

namespace plantaintiller::sessions {

std::string PreparedName(bool writes, std::string_view shape) {
  // Selects the implementation for this processor; the hash also works without.
  static const int initialized = sodium_init();
  static_cast<void>(initialized);
  std::array<unsigned char, crypto_generichash_BYTES> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(shape.data()),
                     shape.size(), nullptr, 0);
  std::array<char, 2 * crypto_generichash_BYTES + 1> digits{};
  sodium_bin2hex(digits.data(), digits.size(), digest.data(), digest.size());
  return (writes ? 'w' : 'r') + std::string(digits.data());
}

}  // namespace plantaintiller::sessions
