#include "plantaintiller/cli/published_configuration.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "plantaintiller/cli/blocking_request.h"
#include "plantaintiller/cli/command.h"
#include "plantaintiller/config/answers.h"
#include "plantaintiller/config/configuration_codec.h"
#include "plantaintiller/tables/platform_codec.h"

namespace plantaintiller::cli {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

std::string ConfigurationTarget() {
  return std::string("/v1/rows/") + tables::kConfigurationKey;
}

std::string StoredVersionTarget(std::uint64_t version) {
  return "/v1/objects/configuration." + std::to_string(version);
}

// Only warns if the copy cannot be stored: the row is already published, and a
// missing copy merely leaves a gap in the history.
void StoreCopy(const address& platform,
               const core::configuration& configuration,
               std::uint64_t version) {
  const std::string body =
      boost::json::serialize(config::ToJson(configuration));
  boost::leaf::try_handle_all(
      [&]() -> core::result<void> {
        BOOST_LEAF_AUTO(
            answer, BlockingRequest(
                        platform, {"PUT", StoredVersionTarget(version), body}));
        if (answer.status != kOk) {
          return core::Fail(core::error_type::kUnavailable, "platform",
                            answer.body);
        }
        return {};
      },
      [version] {
        std::cerr << "version " << version
                  << " could not be stored for the history\n";
      });
}

core::result<core::configuration> ParseRow(const std::string& body) {
  BOOST_LEAF_AUTO(json, config::ParseJson(body));
  const boost::json::object* row = json.if_object();
  if (row == nullptr || !row->contains("value") || !row->contains("version")) {
    return core::Fail(core::error_type::kBadConfiguration, "platform",
                      "the row is malformed");
  }
  BOOST_LEAF_AUTO(configuration,
                  config::ConfigurationFromJson(row->at("value")));
  boost::system::error_code error;
  configuration.version = row->at("version").to_number<std::uint64_t>(error);
  if (error) {
    return core::Fail(core::error_type::kBadConfiguration, "platform",
                      "the row's version is not a number");
  }
  return configuration;
}

}  // namespace

option PlatformOption() {
  return {"platform", option_kind::kAddress,
          "",         "Address of the platform's service.",
          true,       0,
          0};
}

core::result<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return core::Fail(core::error_type::kNotFound, path, "cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

core::result<core::configuration> ReadPublished(const address& platform) {
  BOOST_LEAF_AUTO(
      answer, BlockingRequest(platform, {"GET", ConfigurationTarget(), ""}));
  if (answer.status == kNotFound) {
    return core::configuration();
  }
  if (answer.status != kOk) {
    return core::Fail(core::error_type::kUnavailable, "platform", answer.body);
  }
  return ParseRow(answer.body);
}

core::result<std::optional<core::configuration>> ReadStoredVersion(
    const address& platform,
    std::uint64_t version) {
  BOOST_LEAF_AUTO(
      answer,
      BlockingRequest(platform, {"GET", StoredVersionTarget(version), ""}));
  if (answer.status == kNotFound) {
    return std::optional<core::configuration>();
  }
  if (answer.status != kOk) {
    return core::Fail(core::error_type::kUnavailable, "platform", answer.body);
  }
  BOOST_LEAF_AUTO(json, config::ParseJson(answer.body));
  BOOST_LEAF_AUTO(stored, config::ConfigurationFromJson(json));
  stored.version = version;
  return std::optional(std::move(stored));
}

core::result<std::uint64_t> Publish(const address& platform,
                                    const core::configuration& configuration,
                                    std::uint64_t base_version) {
  const std::string body = boost::json::serialize(
      boost::json::object{{"expected_version", base_version},
                          {"value", config::ToJson(configuration)}});
  BOOST_LEAF_AUTO(
      answer, BlockingRequest(platform, {"PUT", ConfigurationTarget(), body}));
  if (answer.status == kConflict) {
    BOOST_LEAF_AUTO(other, ParseRow(answer.body));
    std::string detail = "version " + std::to_string(other.version) +
                         " came first; against it, yours would change:";
    for (const std::string& line : config::Differences(other, configuration)) {
      detail += "\n  " + line;
    }
    return core::Fail(core::error_type::kConflict, "configuration", detail);
  }
  if (answer.status != kOk) {
    return core::Fail(core::error_type::kUnavailable, "platform", answer.body);
  }
  StoreCopy(platform, configuration, base_version + 1);
  return base_version + 1;
}

int PrintError(const core::error& problem) {
  std::cerr << core::ErrorName(problem.type) << ": " << problem.subject << ": "
            << problem.detail << "\n";
  return kExitFailure;
}

}  // namespace plantaintiller::cli
