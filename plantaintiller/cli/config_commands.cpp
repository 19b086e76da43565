#include "plantaintiller/cli/config_commands.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "plantaintiller/cli/blocking_request.h"
#include "plantaintiller/config/configuration_codec.h"
#include "plantaintiller/platform/platform_codec.h"

namespace plantaintiller::cli {

namespace {

constexpr int kConflict = 409;

option PlatformOption() {
  return {"platform", option_kind::kAddress,
          "",         "Address of the platform's service.",
          true,       0,
          0};
}

std::string ConfigurationTarget() {
  return std::string("/v1/rows/") + platform::kConfigurationKey;
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

int PrintError(const core::error& problem) {
  std::cerr << core::ErrorName(problem.type) << ": " << problem.subject << ": "
            << problem.detail << "\n";
  return kExitFailure;
}

core::result<int> Publish(const option_values& values) {
  BOOST_LEAF_AUTO(text, ReadFile(values.Text("file")));
  BOOST_LEAF_AUTO(json, config::ParseJson(text));
  BOOST_LEAF_AUTO(configuration, config::ConfigurationFromJson(json));
  const std::int64_t base = values.Number("base-version");
  const std::string body = boost::json::serialize(boost::json::object{
      {"expected_version", base}, {"value", config::ToJson(configuration)}});
  BOOST_LEAF_AUTO(answer,
                  BlockingRequest(values.Address("platform"),
                                  {"PUT", ConfigurationTarget(), body}));
  if (answer.status == kConflict) {
    return core::Fail(core::error_type::kConflict, "configuration",
                      "another change came first; now: " + answer.body);
  }
  if (answer.status != 200) {
    return core::Fail(core::error_type::kUnavailable, "platform", answer.body);
  }
  std::cout << "published as version " << base + 1 << "\n";
  return kExitSuccess;
}

}  // namespace

std::vector<option> config_publish_command::Options() const {
  return {
      PlatformOption(),
      {"file", option_kind::kText, "", "Configuration file, JSON.", true, 0, 0},
      {"base-version", option_kind::kNumber, "0",
       "Version that the change is based on.", false, 0, INT64_MAX}};
}

int config_publish_command::Run(const option_values& values) {
  return boost::leaf::try_handle_all([&] { return Publish(values); },
                                     PrintError, [] { return kExitFailure; });
}

std::vector<option> config_show_command::Options() const {
  return {PlatformOption()};
}

int config_show_command::Run(const option_values& values) {
  return boost::leaf::try_handle_all(
      [&]() -> core::result<int> {
        BOOST_LEAF_AUTO(answer,
                        BlockingRequest(values.Address("platform"),
                                        {"GET", ConfigurationTarget(), ""}));
        std::cout << answer.body << "\n";
        return answer.status == 200 ? kExitSuccess : kExitFailure;
      },
      PrintError, [] { return kExitFailure; });
}

}  // namespace plantaintiller::cli
