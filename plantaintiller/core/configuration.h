#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::core {

/// Identifier of an availability zone: a hash of its name, so that processes
/// agree on it without a list.
zone_id ZoneIdOf(std::string_view name);

/// Address and availability zone of a backend server.
struct backend_server_settings {
  zone_id zone;
  std::string host;
  std::uint16_t port = 0;
  /// A server that is leaving receives no new work.
  bool leaving = false;
};

/// One database: its backend servers in slot order and the limits on them.
struct database_settings {
  database_id id;
  std::string name;
  /// Connections that each backend server accepts from the whole system.
  int connections = 16;
  /// Maximum staleness of reads that do not specify one.
  milliseconds default_max_staleness{0};
  std::vector<backend_server_settings> servers;

  /// Number of backend servers.
  slot_number Slots() const { return static_cast<slot_number>(servers.size()); }
};

/// Configuration in force. Versions only rise.
struct configuration {
  std::uint64_t version = 0;
  std::string deployment;
  /// Names of availability zones.
  std::vector<std::string> zones;
  std::vector<database_settings> databases;

  /// Finds a database. @return null when there is none of that id.
  const database_settings* Find(database_id id) const;
  /// Name of an availability zone. @return empty if there is none of that id.
  std::string ZoneName(zone_id zone) const;
  /// Finds a database by name. @return null when there is none.
  const database_settings* FindByName(const std::string& name) const;
};

/// State of an instance in the platform's list.
enum class instance_state : std::uint8_t { kLive, kLeaving };

/// An instance as the platform's list gives it.
struct instance_entry {
  instance_id id;
  zone_id zone;
  std::string host;
  std::uint16_t port = 0;
  instance_state state = instance_state::kLive;
  friend bool operator==(const instance_entry&,
                         const instance_entry&) = default;
};

}  // namespace plantaintiller::core
