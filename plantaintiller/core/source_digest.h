#pragma once

#include <string_view>

namespace plantaintiller::core {

/// @return digest of the sources that this program was built from, 12
/// hexadecimal digits; `cmake -P cmake/source_digest.cmake` prints that of a
/// checkout.
std::string_view SourceDigest();

}  // namespace plantaintiller::core
