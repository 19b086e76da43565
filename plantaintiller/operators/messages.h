#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/group_record.h"

namespace plantaintiller::operators {

/// State of one backend server as an instance sees it.
struct server_status {
  core::slot_number slot = 0;
  bool alive = false;
  bool leaving = false;
  std::string zone;
  /// Connections that this instance may hold to the server.
  int connections = 0;
  /// Last confirmed offset; -1 if it is not known.
  std::int64_t position = -1;
  /// Age of its data in milliseconds; -1 if it is not known.
  std::int64_t age_ms = -1;
};

/// State of one database as an instance sees it.
struct database_status {
  std::string name;
  /// Whether this instance watches the database.
  bool watched = false;
  core::group_record record;
  std::vector<server_status> servers;
};

/// Snapshot of an instance's state.
struct instance_status {
  core::instance_id self;
  std::string zone;
  std::string deployment;
  std::uint64_t configuration_version = 0;
  bool ready = false;
  bool draining = false;
  /// Requests in flight, of callers and of other instances.
  std::size_t unfinished = 0;
  std::vector<core::instance_id> live_instances;
  std::vector<database_status> databases;
};

/// @name Queries to the decision thread
/// @{
/// Requests the instance's status.
struct status_query {
  std::uint64_t id = 0;
};
/// Starts to drain the instance and requests its status.
struct drain_query {
  std::uint64_t id = 0;
};
using query = std::variant<status_query, drain_query>;
/// @}

/// Answer of the decision thread to the query with the same id.
struct status_answer {
  std::uint64_t id = 0;
  std::shared_ptr<const instance_status> status;
};

}  // namespace plantaintiller::operators
