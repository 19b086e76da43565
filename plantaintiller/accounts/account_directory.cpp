#include "plantaintiller/accounts/account_directory.h"

#include "plantaintiller/accounts/key_digest.h"

namespace plantaintiller::accounts {

namespace {

bool HasDigest(const core::client_account& account,
               std::string_view key_digest) {
  bool found = false;
  for (const std::string& each : account.key_digests) {
    found |= AreEqualDigests(each, key_digest);
  }
  return found;
}

}  // namespace

std::string account_directory::AccountOf(std::string_view key_digest) const {
  const core::client_account* found = nullptr;
  if (key_digest.empty()) {
    return "";
  }
  for (const auto& [name, account] : routes_.accounts) {
    if (HasDigest(account, key_digest)) {
      found = &account;
    }
  }
  return found == nullptr ? "" : found->name;
}

bool account_directory::Holds(const caller_identity& identity) const {
  const auto found = routes_.accounts.find(identity.account);
  return found != routes_.accounts.end() && !identity.key_digest.empty() &&
         HasDigest(found->second, identity.key_digest);
}

}  // namespace plantaintiller::accounts
