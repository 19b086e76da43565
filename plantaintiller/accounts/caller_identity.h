#pragma once

#include <string>

namespace plantaintiller::accounts {

/// Who a caller is: its account and the digest of the key that it presented.
struct caller_identity {
  /// Name of the account; empty if the key belongs to none.
  std::string account;
  /// Digest of the key; empty if the caller presented none.
  std::string key_digest;
  friend bool operator==(const caller_identity&,
                         const caller_identity&) = default;
};

}  // namespace plantaintiller::accounts
