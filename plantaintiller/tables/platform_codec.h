#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/group_record.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::tables {

/// Key of a database's group record in the platform's table.
std::string GroupRecordKey(core::database_id database);
/// Key of the configuration in the platform's table.
inline constexpr const char* kConfigurationKey = "configuration";

/// Converts a record to JSON, without its row version: the table maintains it.
boost::json::value ToJson(const core::group_record& record);
/// Parses a group record.
/// @param version version of the record's row.
/// @return std::nullopt if it is malformed.
std::optional<core::group_record> GroupRecordFromJson(
    const boost::json::value& json,
    std::uint64_t version);

/// @param http_status status of the platform's answer to a compare-and-set.
/// @return what the answer tells about the change.
decisions::compare_and_set_status CompareAndSetStatusOf(int http_status);

/// Parses the list of instances; skips malformed entries.
std::vector<core::instance_entry> InstanceListFromJson(
    const boost::json::value& json);

}  // namespace plantaintiller::tables
