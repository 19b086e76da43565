#pragma once

#include <string>
#include <string_view>

#include "plantaintiller/accounts/caller_identity.h"
#include "plantaintiller/core/route.h"

namespace plantaintiller::accounts {

/// Looks up the client accounts of one configuration by the digests of their
/// keys.
class account_directory {
 public:
  /// @param routes must outlive the directory.
  explicit account_directory(const core::route_table& routes)
      : routes_(routes) {}

  /// Finds the account that a key belongs to. All digests are compared, so that
  /// the time does not show how far a guess has come.
  /// @return its name; empty if there is none.
  std::string AccountOf(std::string_view key_digest) const;
  /// @return whether the account exists and has the key.
  bool Holds(const caller_identity& identity) const;

 private:
  const core::route_table& routes_;
};

}  // namespace plantaintiller::accounts
