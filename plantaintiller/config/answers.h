#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/error.h"

namespace plantaintiller::config {

/// Where a backend server stands; the answer for one slot.
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
  /// Age of data, in milliseconds, that its reads may have when they do not
  /// say; 0 when they must be current.
  std::int64_t stale_reads_ms = 0;
  std::vector<server_answer> servers;
  friend bool operator==(const database_answer&,
                         const database_answer&) = default;
};

/// All answers to the questionnaire.
struct answers {
  std::string deployment;
  std::vector<std::string> zones;
  /// Whether any read may be stale at all.
  bool any_stale_reads = true;
  std::vector<database_answer> databases;
  friend bool operator==(const answers&, const answers&) = default;
};

/// Reads answers from JSON.
/// @return kBadConfiguration naming the question, or kContradictoryAnswers
/// naming both.
core::result<answers> AnswersFromJson(const boost::json::value& json);
/// Writes answers as JSON.
boost::json::value ToJson(const answers& given);

/// Generates the configuration that follows from answers. Databases keep their
/// ids from `current` by name; new ones get ids never used in it.
core::configuration GenerateConfiguration(const answers& given,
                                          const core::configuration& current);
/// The answers that a configuration was generated from.
answers AnswersFromConfiguration(const core::configuration& configuration);

/// What would change for whom, a line each. Empty if nothing would.
std::vector<std::string> Differences(const core::configuration& from,
                                     const core::configuration& to);

/// Says which answer a setting follows from.
/// @param setting a setting's name, such as `connections`.
/// @return kNotFound if there is no such setting.
core::result<std::string> ExplainSetting(const std::string& setting);

}  // namespace plantaintiller::config
