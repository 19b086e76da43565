#include "plantaintiller/config/answers.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

namespace plantaintiller::config {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;
using core::error_type;

constexpr std::int64_t kMaxConnections = 10000;
constexpr std::int64_t kMaxStalenessMs = 86400000;

// Reads the answers to the questions of one JSON object.
class question_reader {
 public:
  question_reader(const value& json, std::string path_prefix)
      : fields_(json.if_object()), path_prefix_(std::move(path_prefix)) {}

  core::result<std::string> Text(const char* question) const {
    const value* found = Find(question);
    if (found == nullptr || !found->is_string() ||
        found->get_string().empty()) {
      return InvalidAnswer(question, "expected a name");
    }
    return std::string(found->get_string());
  }

  core::result<std::int64_t> Number(const char* question,
                                    std::int64_t min_value,
                                    std::int64_t max_value) const {
    const value* found = Find(question);
    boost::json::error_code error;
    const std::int64_t number = found == nullptr
                                    ? min_value - 1
                                    : found->to_number<std::int64_t>(error);
    if (error || number < min_value || number > max_value) {
      return InvalidAnswer(question, "expected a whole number from " +
                                         std::to_string(min_value) + " to " +
                                         std::to_string(max_value));
    }
    return number;
  }

  core::result<bool> Flag(const char* question, bool default_value) const {
    const value* found = Find(question);
    if (found == nullptr) {
      return default_value;
    }
    if (!found->is_bool()) {
      return InvalidAnswer(question, "expected true or false");
    }
    return found->get_bool();
  }

  core::result<const array*> List(const char* question) const {
    const value* found = Find(question);
    if (found == nullptr || !found->is_array() || found->get_array().empty()) {
      return InvalidAnswer(question, "expected a list that is not empty");
    }
    return &found->get_array();
  }

 private:
  const value* Find(const char* question) const {
    return fields_ == nullptr ? nullptr : fields_->if_contains(question);
  }
  boost::leaf::error_id InvalidAnswer(const char* question,
                                      std::string detail) const {
    return core::Fail(error_type::kBadConfiguration, path_prefix_ + question,
                      std::move(detail));
  }

  const object* fields_;
  std::string path_prefix_;
};

core::result<server_answer> ReadServer(const value& json,
                                       const std::string& path_prefix) {
  const question_reader questions(json, path_prefix);
  server_answer server;
  BOOST_LEAF_ASSIGN(server.zone, questions.Text("availability_zone"));
  BOOST_LEAF_ASSIGN(server.host, questions.Text("host"));
  BOOST_LEAF_AUTO(port, questions.Number("port", 1, UINT16_MAX));
  server.port = static_cast<std::uint16_t>(port);
  BOOST_LEAF_ASSIGN(server.leaving, questions.Flag("leaving", false));
  return server;
}

core::result<database_answer> ReadDatabase(const value& json,
                                           std::size_t number) {
  const std::string path_prefix = "databases[" + std::to_string(number) + "].";
  const question_reader questions(json, path_prefix);
  database_answer database;
  BOOST_LEAF_ASSIGN(database.service, questions.Text("service"));
  BOOST_LEAF_ASSIGN(database.name, questions.Text("name"));
  BOOST_LEAF_AUTO(connections,
                  questions.Number("connections", 1, kMaxConnections));
  database.connections = static_cast<int>(connections);
  BOOST_LEAF_ASSIGN(database.stale_reads_ms,
                    questions.Number("stale_reads_ms", 0, kMaxStalenessMs));
  BOOST_LEAF_AUTO(servers, questions.List("slots"));
  for (std::size_t slot = 0; slot < servers->size(); ++slot) {
    BOOST_LEAF_AUTO(
        server, ReadServer((*servers)[slot], path_prefix + "slots[" +
                                                 std::to_string(slot) + "]."));
    database.servers.push_back(std::move(server));
  }
  return database;
}

boost::leaf::error_id Contradiction(const std::string& first,
                                    const std::string& second,
                                    std::string detail) {
  return core::Fail(error_type::kContradictoryAnswers, first + " and " + second,
                    std::move(detail));
}

core::result<void> CheckDatabase(const answers& all_answers,
                                 std::size_t number,
                                 std::set<std::string>& addresses) {
  const database_answer& database = all_answers.databases[number];
  const std::string path_prefix = "databases[" + std::to_string(number) + "].";
  if (database.stale_reads_ms > 0 && !all_answers.any_stale_reads) {
    return Contradiction("any_stale_reads", path_prefix + "stale_reads_ms",
                         "no read may be stale, yet this database allows it");
  }
  if (database.servers.size() > core::kMaxSlots) {
    return core::Fail(error_type::kBadConfiguration, path_prefix + "slots",
                      "expected at most 8");
  }
  const bool all_leaving =
      std::ranges::all_of(database.servers, &server_answer::leaving);
  if (all_leaving) {
    return Contradiction(path_prefix + "name", path_prefix + "slots",
                         "every backend server of the database is leaving");
  }
  for (std::size_t slot = 0; slot < database.servers.size(); ++slot) {
    const server_answer& server = database.servers[slot];
    const std::string slot_path =
        path_prefix + "slots[" + std::to_string(slot) + "].";
    if (std::ranges::find(all_answers.zones, server.zone) ==
        all_answers.zones.end()) {
      return Contradiction("availability_zones",
                           slot_path + "availability_zone",
                           "there is no availability zone " + server.zone);
    }
    const std::string address = server.host + ":" + std::to_string(server.port);
    if (!addresses.insert(address).second) {
      return Contradiction("databases", slot_path + "port",
                           "two backend servers share the address " + address);
    }
  }
  return {};
}

core::result<void> CheckConsistency(const answers& all_answers) {
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (std::size_t number = 0; number < all_answers.databases.size();
       ++number) {
    if (!names.insert(all_answers.databases[number].name).second) {
      return Contradiction(
          "databases", "databases[" + std::to_string(number) + "].name",
          "two databases are named " + all_answers.databases[number].name);
    }
    BOOST_LEAF_CHECK(CheckDatabase(all_answers, number, addresses));
  }
  return {};
}

std::string ServiceOf(const std::string& full_name) {
  return full_name.substr(0, full_name.find('.'));
}

std::string NameOf(const std::string& full_name) {
  const std::size_t dot = full_name.find('.');
  return dot == std::string::npos ? full_name : full_name.substr(dot + 1);
}

void CompareServers(const core::configuration& from,
                    const core::configuration& to,
                    const core::database_settings& before,
                    const core::database_settings& after,
                    std::vector<std::string>& lines) {
  const std::size_t slot_count =
      std::max(before.servers.size(), after.servers.size());
  for (std::size_t slot = 0; slot < slot_count; ++slot) {
    const std::string label =
        after.name + " slot " + std::to_string(slot) + ": ";
    if (slot >= before.servers.size()) {
      lines.push_back(label + "added");
      continue;
    }
    if (slot >= after.servers.size()) {
      lines.push_back(label + "removed");
      continue;
    }
    const core::backend_server_settings& old_server = before.servers[slot];
    const core::backend_server_settings& new_server = after.servers[slot];
    if (old_server.host != new_server.host ||
        old_server.port != new_server.port) {
      lines.push_back(label + "address " + old_server.host + ":" +
                      std::to_string(old_server.port) + " -> " +
                      new_server.host + ":" + std::to_string(new_server.port));
    }
    if (old_server.zone != new_server.zone) {
      lines.push_back(label + "availability zone " +
                      from.ZoneName(old_server.zone) + " -> " +
                      to.ZoneName(new_server.zone));
    }
    if (old_server.leaving != new_server.leaving) {
      lines.push_back(label +
                      (new_server.leaving ? "leaving" : "no longer leaving"));
    }
  }
}

void CompareDatabase(const core::configuration& from,
                     const core::configuration& to,
                     const core::database_settings& before,
                     const core::database_settings& after,
                     std::vector<std::string>& lines) {
  if (before.connections != after.connections) {
    lines.push_back(after.name + ": connections " +
                    std::to_string(before.connections) + " -> " +
                    std::to_string(after.connections));
  }
  if (before.default_max_staleness != after.default_max_staleness) {
    lines.push_back(
        after.name + ": reads may be " +
        std::to_string(before.default_max_staleness.count()) + " -> " +
        std::to_string(after.default_max_staleness.count()) + " ms old");
  }
  CompareServers(from, to, before, after, lines);
}

}  // namespace

core::result<answers> AnswersFromJson(const value& json) {
  const question_reader questions(json, "");
  answers all_answers;
  BOOST_LEAF_ASSIGN(all_answers.deployment, questions.Text("deployment"));
  BOOST_LEAF_ASSIGN(all_answers.any_stale_reads,
                    questions.Flag("any_stale_reads", true));
  BOOST_LEAF_AUTO(zones, questions.List("availability_zones"));
  for (const value& zone : *zones) {
    if (!zone.is_string()) {
      return core::Fail(error_type::kBadConfiguration, "availability_zones",
                        "expected names");
    }
    all_answers.zones.emplace_back(zone.get_string());
  }
  BOOST_LEAF_AUTO(databases, questions.List("databases"));
  for (std::size_t number = 0; number < databases->size(); ++number) {
    BOOST_LEAF_AUTO(database, ReadDatabase((*databases)[number], number));
    all_answers.databases.push_back(std::move(database));
  }
  BOOST_LEAF_CHECK(CheckConsistency(all_answers));
  return all_answers;
}

value ToJson(const answers& all_answers) {
  array zones;
  for (const std::string& zone : all_answers.zones) {
    zones.emplace_back(zone);
  }
  array databases;
  for (const database_answer& database : all_answers.databases) {
    array servers;
    for (const server_answer& server : database.servers) {
      servers.push_back(object{{"availability_zone", server.zone},
                               {"host", server.host},
                               {"port", server.port},
                               {"leaving", server.leaving}});
    }
    databases.push_back(object{{"service", database.service},
                               {"name", database.name},
                               {"connections", database.connections},
                               {"stale_reads_ms", database.stale_reads_ms},
                               {"slots", std::move(servers)}});
  }
  return object{{"deployment", all_answers.deployment},
                {"availability_zones", std::move(zones)},
                {"any_stale_reads", all_answers.any_stale_reads},
                {"databases", std::move(databases)}};
}

core::configuration GenerateConfiguration(const answers& all_answers,
                                          const core::configuration& current) {
  core::configuration generated;
  generated.version = current.version;
  generated.deployment = all_answers.deployment;
  generated.zones = all_answers.zones;
  std::uint32_t last_id = 0;
  for (const core::database_settings& each : current.databases) {
    last_id = std::max(last_id, each.id.value);
  }
  for (const database_answer& answer : all_answers.databases) {
    core::database_settings database;
    // The name contains the service, so that AnswersFromConfiguration can
    // recover both.
    database.name = answer.service + "." + answer.name;
    const core::database_settings* known = current.FindByName(database.name);
    database.id = known != nullptr ? known->id : core::database_id{++last_id};
    database.connections = answer.connections;
    database.default_max_staleness = core::milliseconds(answer.stale_reads_ms);
    for (const server_answer& server : answer.servers) {
      database.servers.push_back({core::ZoneIdOf(server.zone), server.host,
                                  server.port, server.leaving});
    }
    generated.databases.push_back(std::move(database));
  }
  return generated;
}

answers AnswersFromConfiguration(const core::configuration& configuration) {
  answers all_answers;
  all_answers.deployment = configuration.deployment;
  all_answers.zones = configuration.zones;
  all_answers.any_stale_reads = false;
  for (const core::database_settings& database : configuration.databases) {
    database_answer answer;
    answer.service = ServiceOf(database.name);
    answer.name = NameOf(database.name);
    answer.connections = database.connections;
    answer.stale_reads_ms = database.default_max_staleness.count();
    all_answers.any_stale_reads =
        all_answers.any_stale_reads || answer.stale_reads_ms > 0;
    for (const core::backend_server_settings& server : database.servers) {
      answer.servers.push_back({configuration.ZoneName(server.zone),
                                server.host, server.port, server.leaving});
    }
    all_answers.databases.push_back(std::move(answer));
  }
  return all_answers;
}

std::vector<std::string> Differences(const core::configuration& from,
                                     const core::configuration& to) {
  std::vector<std::string> lines;
  if (from.zones != to.zones) {
    lines.emplace_back("availability zones change");
  }
  for (const core::database_settings& after : to.databases) {
    const core::database_settings* before = from.FindByName(after.name);
    if (before == nullptr) {
      lines.push_back(after.name + ": new database");
    } else {
      CompareDatabase(from, to, *before, after, lines);
    }
  }
  for (const core::database_settings& before : from.databases) {
    if (to.FindByName(before.name) == nullptr) {
      lines.push_back(before.name +
                      ": removed; its callers get "
                      "unknown_database");
    }
  }
  return lines;
}

core::result<std::string> ExplainSetting(const std::string& setting) {
  struct reason {
    std::string_view setting;
    std::string_view answer;
  };
  constexpr std::array<reason, 7> kReasons{{
      {"deployment", "deployment: what the system is called; part of tokens"},
      {"availability_zones", "availability_zones: the zones of your platform"},
      {"name", "databases[].service and databases[].name, joined by a dot"},
      {"connections",
       "databases[].connections: connections that each backend server accepts "
       "in total"},
      {"default_max_staleness_ms",
       "databases[].stale_reads_ms: maximum age of reads that set no limit"},
      {"backend_servers", "databases[].slots: one entry a slot"},
      {"leaving", "databases[].slots[].leaving: the server gets no new work"},
  }};
  const auto* found =
      std::ranges::find(kReasons, std::string_view(setting), &reason::setting);
  if (found == kReasons.end()) {
    return core::Fail(error_type::kNotFound, setting, "no such setting");
  }
  return std::string(found->answer);
}

}  // namespace plantaintiller::config
