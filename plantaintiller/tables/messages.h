#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::tables {

/// @name Commands from the decision thread
/// @{
/// Reads a database's group record.
struct read_record_command {
  core::database_id database;
};
/// Writes a group record if its row still has the record's version.
struct compare_and_set_command {
  core::database_id database;
  core::group_record record;
};
/// Reads the configuration; no event follows unless it is newer than
/// `known_version`.
struct read_configuration_command {
  std::uint64_t known_version = 0;
};
/// Reads the list of instances.
struct read_instances_command {};
using command = std::variant<read_record_command,
                             compare_and_set_command,
                             read_configuration_command,
                             read_instances_command>;
/// @}

/// @name Events for the decision thread
/// @{
struct record_event {
  core::database_id database;
  /// Whether the platform answered with a valid record, or that none exists.
  bool available = false;
  /// std::nullopt if the row does not exist.
  std::optional<core::group_record> record;
};
struct compare_and_set_event {
  core::database_id database;
  decisions::compare_and_set_status status =
      decisions::compare_and_set_status::kUnknown;
  /// Record after the request, if the answer contains it.
  std::optional<core::group_record> current;
};
struct configuration_event {
  std::shared_ptr<const core::configuration> configuration;
};
struct instances_event {
  std::vector<core::instance_entry> instances;
};
using event = std::variant<record_event,
                           compare_and_set_event,
                           configuration_event,
                           instances_event>;
/// @}

}  // namespace plantaintiller::tables
