#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantaintiller/core/client_account.h"
#include "plantaintiller/core/error_type.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::core {

/// Consistency of the reads of a route: which commits they must include.
enum class consistency : std::uint8_t {
  /// Every commit acknowledged before the read began.
  kPrimary,
  /// Every commit acknowledged more than the route's staleness ago.
  kBoundedStaleness,
  /// As kBoundedStaleness, and every commit of the same session.
  kReadYourWrites,
};

/// Route from a database name to the group that serves it.
struct route {
  std::string name;
  /// Database name that callers ask for.
  std::string database;
  /// Database group that serves it.
  std::string group;
  consistency kind = consistency::kPrimary;
  /// Maximum age of the data that reads return; unused on primary routes.
  milliseconds max_staleness{0};
  /// Time limit of one statement.
  milliseconds statement_timeout{1000};
  /// Time within which a whole operation should be answered.
  milliseconds latency_objective{1000};
  /// 0 is the highest.
  int priority = 0;
  /// Whether callers without a key of an account may use it.
  bool is_public = false;
  friend bool operator==(const route&, const route&) = default;
};

/// Limits of one database group.
struct group_settings {
  std::string name;
  /// Connections that each backend server accepts from all callers.
  int max_connections = 16;
  /// Number of replicas that must have received a commit before it is
  /// acknowledged.
  int confirming_replicas = 0;
  friend bool operator==(const group_settings&,
                         const group_settings&) = default;
};

/// Configuration of the entry path. Versions only rise.
struct route_table {
  std::uint64_t version = 0;
  /// Routes by database name.
  std::map<std::string, route> routes;
  /// Groups by name.
  std::map<std::string, group_settings> groups;
  /// Client accounts by name. Empty if the deployment has none: then callers
  /// need no key.
  std::map<std::string, client_account> accounts;
  /// Whether callers need a key of an account, except on public routes. Also
  /// true if none of the configured accounts is valid.
  bool requires_account = false;
  /// Parts of the accounts and of public routes that are not valid and were
  /// left out.
  std::vector<error> left_out;
  /// Idle time after which an open transaction may be ended.
  milliseconds transaction_idle_timeout{3000};

  /// Finds a route by its database's name. @return null if there is none.
  const route* Find(const std::string& database) const {
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
  }
};

}  // namespace plantaintiller::core
