#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/error.h"

namespace plantaintiller::config {

/// Answer for one slot: the location and address of its backend server.
struct server_answer {
  std::string zone;
  std::string host;
  std::uint16_t port = 0;
  bool leaving = false;
  friend bool operator==(const server_answer&, const server_answer&) = default;
};

/// Answers about one database.
struct database_answer {
  std::string service;
  std::string name;
  int connections = 16;
  /// Maximum staleness of reads that set no limit of their own, in
  /// milliseconds; 0 means that they must be current.
  std::int64_t stale_reads_ms = 0;
  std::vector<server_answer> servers;
  friend bool operator==(const database_answer&,
                         const database_answer&) = default;
};

/// All answers to the questionnaire.
struct answers {
  std::string deployment;
  std::vector<std::string> zones;
  /// Whether any database may allow stale reads.
  bool any_stale_reads = true;
  std::vector<database_answer> databases;
  friend bool operator==(const answers&, const answers&) = default;
};

/// Parses answers from JSON and checks that they are consistent.
/// @return the answers, kBadConfiguration with the name of the invalid
/// question, or kContradictoryAnswers with the names of the two questions that
/// contradict each other.
core::result<answers> AnswersFromJson(const boost::json::value& json);
/// Converts answers to JSON.
boost::json::value ToJson(const answers& all_answers);

/// Generates a configuration from answers. A database whose name exists in
/// `current` keeps its id; a new one gets an id above all ids in `current`.
/// @return the configuration, with the version of `current`.
core::configuration GenerateConfiguration(const answers& all_answers,
                                          const core::configuration& current);
/// Reconstructs the answers that a configuration was generated from.
answers AnswersFromConfiguration(const core::configuration& configuration);

/// Describes each change between two configurations in a line that names the
/// database and slot concerned. Empty if there is no change.
std::vector<std::string> Differences(const core::configuration& from,
                                     const core::configuration& to);

/// Explains which answer determines a setting.
/// @param setting a setting's name, such as `connections`.
/// @return kNotFound if there is no such setting.
core::result<std::string> ExplainSetting(const std::string& setting);

}  // namespace plantaintiller::config
