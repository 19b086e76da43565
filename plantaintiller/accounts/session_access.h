#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "plantaintiller/accounts/caller_identity.h"
#include "plantaintiller/core/route.h"

namespace plantaintiller::accounts {

/// Whether a session may use its database.
enum class access : std::uint8_t {
  kAllowed,
  /// No account has the key.
  kUnknownKey,
  /// The session's account does not have the key any more.
  kWithdrawnKey,
};

/// Name of an access for the log. @return a string of static storage.
const char* AccessName(access value);

/// Decides whether one session may use its database, under each configuration
/// that comes into force while it is open.
class session_access {
 public:
  /// Sets the caller's identity at the start of the session. With an empty
  /// account, the first `Check` finds the account of the key.
  void Start(caller_identity identity) { identity_ = std::move(identity); }
  /// Decides again if the configuration has changed since the last call. A
  /// session keeps its account: it is refused if a configuration moves its key
  /// to another one. Without accounts, or if the route is missing, everything
  /// is allowed.
  access Check(const core::route_table& routes, const std::string& database);
  const caller_identity& Identity() const { return identity_; }
  /// Name of the session's account; empty for none.
  const std::string& Account() const { return identity_.account; }

 private:
  access Decide(const core::route_table& routes, const std::string& database);

  caller_identity identity_;
  /// Configuration of the last decision; nothing before the first one.
  std::optional<std::uint64_t> version_;
  access last_ = access::kAllowed;
};

}  // namespace plantaintiller::accounts
