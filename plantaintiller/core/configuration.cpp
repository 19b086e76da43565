#include "plantaintiller/core/configuration.h"

#include <xxhash.h>

#include <algorithm>

namespace plantaintiller::core {

zone_id ZoneIdOf(std::string_view name) {
  return {static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()))};
}

std::string configuration::ZoneName(zone_id zone) const {
  const auto found = std::ranges::find(
      zones, zone, [](const std::string& name) { return ZoneIdOf(name); });
  return found == zones.end() ? std::string() : *found;
}

const database_settings* configuration::Find(database_id id) const {
  const auto found = std::ranges::find(databases, id, &database_settings::id);
  return found == databases.end() ? nullptr : &*found;
}

const database_settings* configuration::FindByName(
    const std::string& name) const {
  const auto found =
      std::ranges::find(databases, name, &database_settings::name);
  return found == databases.end() ? nullptr : &*found;
}

}  // namespace plantaintiller::core
