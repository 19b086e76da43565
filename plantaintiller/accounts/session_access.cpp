#include "plantaintiller/accounts/session_access.h"

#include <utility>

#include "plantaintiller/accounts/account_directory.h"

namespace plantaintiller::accounts {

const char* AccessName(access value) {
  switch (value) {
    case access::kAllowed:
      return "allowed";
    case access::kUnknownKey:
      return "unknown_key";
    case access::kWithdrawnKey:
      return "withdrawn_key";
  }
  return "allowed";
}

access session_access::Check(const core::route_table& routes,
                             const std::string& database) {
  if (version_ != routes.version) {
    version_ = routes.version;
    last_ = Decide(routes, database);
  }
  return last_;
}

access session_access::Decide(const core::route_table& routes,
                              const std::string& database) {
  if (!routes.requires_account) {
    identity_.account.clear();
    return access::kAllowed;
  }
  const account_directory directory(routes);
  const bool had_account = !identity_.account.empty();
  if (had_account && directory.Holds(identity_)) {
    return access::kAllowed;
  }
  if (!had_account) {
    identity_.account = directory.AccountOf(identity_.key_digest);
    if (!identity_.account.empty()) {
      return access::kAllowed;
    }
  }
  const core::route* route = routes.Find(database);
  // A removed route must not keep a withdrawn key in use in a transaction that
  // began under it.
  if (route == nullptr ? !had_account : route->is_public) {
    identity_.account.clear();
    return access::kAllowed;
  }
  return had_account ? access::kWithdrawnKey : access::kUnknownKey;
}

}  // namespace plantaintiller::accounts
