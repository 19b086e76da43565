#pragma once

#include <string>
#include <string_view>

namespace plantaintiller::accounts {

/// Computes the digest under which a caller's key is kept and compared. All
/// instances compute the same one, because an instance passes it on with a
/// forwarded session.
/// @param key key as presented or configured.
/// @return 32 bytes; empty for an empty key.
std::string DigestOf(std::string_view key);

/// Compares two digests in a time that does not depend on their bytes.
bool AreEqualDigests(std::string_view left, std::string_view right);

/// @return the first digits of a digest in hexadecimal, for the log; "none" for
/// an empty digest.
std::string DigestPrefix(std::string_view digest);

}  // namespace plantaintiller::accounts
