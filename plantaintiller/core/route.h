#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"

namespace plantaintiller::core {

/// How fresh the reads of a route must be.
enum class consistency : std::uint8_t {
  /// Every commit acknowledged before the read began.
  kPrimary,
  /// Every commit acknowledged more than the route's staleness ago.
  kBoundedStaleness,
  /// As bounded, and every commit of the same session.
  kReadYourWrites,
};

/// How one database name is served.
struct route {
  std::string name;
  /// Database name that callers ask for.
  std::string database;
  /// Database group that serves it.
  std::string group;
  consistency kind = consistency::kPrimary;
  /// Age that reads may have; unused on primary routes.
  milliseconds max_staleness{0};
  /// Longest time for one statement.
  milliseconds statement_timeout{1000};
  /// Time within which a whole operation should be answered.
  milliseconds latency_objective{1000};
  /// 0 is the highest.
  int priority = 0;
  friend bool operator==(const route&, const route&) = default;
};

/// Limits of one database group.
struct group_settings {
  std::string name;
  /// Connections that each backend server accepts from all callers.
  int max_connections = 16;
  /// Replicas that must have received a commit before it is acknowledged.
  int confirming_replicas = 0;
  friend bool operator==(const group_settings&,
                         const group_settings&) = default;
};

/// Configuration of the entry path. Versions only rise.
struct route_table {
  std::uint64_t version = 0;
  /// By database name.
  std::map<std::string, route> routes;
  /// By name.
  std::map<std::string, group_settings> groups;
  /// An open transaction that stays idle for longer may be ended.
  milliseconds transaction_idle_timeout{3000};

  /// Finds a route by its database's name. @return null if there is none.
  const route* Find(const std::string& database) const {
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
  }
};

}  // namespace plantaintiller::core
