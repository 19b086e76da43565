#include "plantaintiller/accounts/key_digest.h"

#include <sodium.h>

#include <array>
#include <cstddef>

namespace plantaintiller::accounts {

namespace {

/// Key of the hash. It keeps the digests apart from those of other uses of the
/// same hash; it is no secret, because all instances need the same one and
/// share no secret.
constexpr std::string_view kHashKey = "plantaintiller client key digest";
static_assert(kHashKey.size() == crypto_generichash_KEYBYTES);

/// Number of a digest's bytes that the log shows.
constexpr std::size_t kPrefixBytes = 4;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string DigestOf(std::string_view key) {
  if (key.empty()) {
    return "";
  }
  // Selects the implementation for this processor; the hash also works without.
  static const int initialized = sodium_init();
  static_cast<void>(initialized);
  std::array<unsigned char, crypto_generichash_BYTES> digest{};
  crypto_generichash(digest.data(), digest.size(), Bytes(key), key.size(),
                     Bytes(kHashKey), kHashKey.size());
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

bool AreEqualDigests(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string DigestPrefix(std::string_view digest) {
  if (digest.empty()) {
    return "none";
  }
  const std::string_view prefix = digest.substr(0, kPrefixBytes);
  std::array<char, 2 * kPrefixBytes + 1> digits{};
  sodium_bin2hex(digits.data(), digits.size(), Bytes(prefix), prefix.size());
  return digits.data();
}

}  // namespace plantaintiller::accounts
