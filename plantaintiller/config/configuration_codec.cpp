#include "plantaintiller/config/configuration_codec.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <set>

namespace plantaintiller::config {

namespace {

using boost::json::object;
using boost::json::value;
using core::error_type;

constexpr int kMaxConnections = 10000;
constexpr std::int64_t kMaxStalenessMs = 86400000;

const value* FieldOf(const value& json, const char* name) {
  const object* fields = json.if_object();
  return fields == nullptr ? nullptr : fields->if_contains(name);
}

core::result<std::int64_t> IntegerOf(const value& json,
                                     const char* name,
                                     std::int64_t min_value,
                                     std::int64_t max_value) {
  const value* field = FieldOf(json, name);
  boost::json::error_code error;
  const std::int64_t number =
      field == nullptr ? min_value - 1 : field->to_number<std::int64_t>(error);
  if (error || number < min_value || number > max_value) {
    return core::Fail(error_type::kBadConfiguration, name,
                      "expected a whole number from " +
                          std::to_string(min_value) + " to " +
                          std::to_string(max_value));
  }
  return number;
}

core::result<std::string> TextOf(const value& json, const char* name) {
  const value* field = FieldOf(json, name);
  if (field == nullptr || !field->is_string() || field->get_string().empty()) {
    return core::Fail(error_type::kBadConfiguration, name,
                      "expected text that is not empty");
  }
  return std::string(field->get_string());
}

core::result<const boost::json::array*> ArrayOf(const value& json,
                                                const char* name) {
  const value* field = FieldOf(json, name);
  if (field == nullptr || !field->is_array() || field->get_array().empty()) {
    return core::Fail(error_type::kBadConfiguration, name,
                      "expected a list that is not empty");
  }
  return &field->get_array();
}

value ServerToJson(const core::backend_server_settings& server,
                   const core::configuration& configuration) {
  return object{{"availability_zone", configuration.ZoneName(server.zone)},
                {"host", server.host},
                {"port", server.port},
                {"leaving", server.leaving}};
}

core::result<core::backend_server_settings> ServerFromJson(
    const value& json,
    const std::vector<std::string>& zones) {
  core::backend_server_settings server;
  BOOST_LEAF_AUTO(zone, TextOf(json, "availability_zone"));
  const auto found = std::ranges::find(zones, zone);
  if (found == zones.end()) {
    return core::Fail(error_type::kBadConfiguration, "availability_zone",
                      "no availability zone is named " + zone);
  }
  server.zone = core::ZoneIdOf(zone);
  BOOST_LEAF_ASSIGN(server.host, TextOf(json, "host"));
  BOOST_LEAF_AUTO(port, IntegerOf(json, "port", 1, 65535));
  server.port = static_cast<std::uint16_t>(port);
  const value* leaving = FieldOf(json, "leaving");
  server.leaving =
      leaving != nullptr && leaving->is_bool() && leaving->get_bool();
  return server;
}

core::result<core::database_settings> DatabaseFromJson(
    const value& json,
    const std::vector<std::string>& zones) {
  core::database_settings database;
  BOOST_LEAF_AUTO(id, IntegerOf(json, "id", 1, UINT32_MAX));
  database.id = {static_cast<std::uint32_t>(id)};
  BOOST_LEAF_ASSIGN(database.name, TextOf(json, "name"));
  BOOST_LEAF_AUTO(connections,
                  IntegerOf(json, "connections", 1, kMaxConnections));
  database.connections = static_cast<int>(connections);
  BOOST_LEAF_AUTO(staleness, IntegerOf(json, "default_max_staleness_ms", 0,
                                       kMaxStalenessMs));
  database.default_max_staleness = core::milliseconds(staleness);
  BOOST_LEAF_AUTO(servers, ArrayOf(json, "backend_servers"));
  if (servers->size() > core::kMaxSlots) {
    return core::Fail(error_type::kBadConfiguration, "backend_servers",
                      "at most 8 backend servers");
  }
  for (const value& each : *servers) {
    BOOST_LEAF_AUTO(server, ServerFromJson(each, zones));
    database.servers.push_back(std::move(server));
  }
  return database;
}

}  // namespace

value ToJson(const core::configuration& configuration) {
  boost::json::array zones;
  for (const std::string& zone : configuration.zones) {
    zones.emplace_back(zone);
  }
  boost::json::array databases;
  for (const core::database_settings& database : configuration.databases) {
    boost::json::array servers;
    for (const core::backend_server_settings& server : database.servers) {
      servers.push_back(ServerToJson(server, configuration));
    }
    databases.push_back(object{
        {"id", database.id.value},
        {"name", database.name},
        {"connections", database.connections},
        {"default_max_staleness_ms", database.default_max_staleness.count()},
        {"backend_servers", std::move(servers)}});
  }
  return object{{"version", configuration.version},
                {"deployment", configuration.deployment},
                {"availability_zones", std::move(zones)},
                {"databases", std::move(databases)}};
}

core::result<core::configuration> ConfigurationFromJson(const value& json) {
  core::configuration configuration;
  BOOST_LEAF_AUTO(version, IntegerOf(json, "version", 0, INT64_MAX));
  configuration.version = static_cast<std::uint64_t>(version);
  BOOST_LEAF_ASSIGN(configuration.deployment, TextOf(json, "deployment"));
  BOOST_LEAF_AUTO(zones, ArrayOf(json, "availability_zones"));
  for (const value& zone : *zones) {
    if (!zone.is_string()) {
      return core::Fail(error_type::kBadConfiguration, "availability_zones",
                        "expected a list of names");
    }
    configuration.zones.emplace_back(zone.get_string());
  }
  BOOST_LEAF_AUTO(databases, ArrayOf(json, "databases"));
  std::set<core::database_id> ids;
  std::set<std::string> names;
  for (const value& each : *databases) {
    BOOST_LEAF_AUTO(database, DatabaseFromJson(each, configuration.zones));
    const bool is_new_id = ids.insert(database.id).second;
    const bool is_new_name = names.insert(database.name).second;
    if (!is_new_id || !is_new_name) {
      return core::Fail(error_type::kBadConfiguration, database.name,
                        "two databases share an id or a name");
    }
    configuration.databases.push_back(std::move(database));
  }
  return configuration;
}

core::result<value> ParseJson(const std::string& text) {
  boost::json::error_code error;
  value parsed = boost::json::parse(text, error);
  if (error) {
    return core::Fail(error_type::kBadJson, "body", error.message());
  }
  return parsed;
}

}  // namespace plantaintiller::config
