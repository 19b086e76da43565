#include "plantaintiller/cli/config_commands.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>

#include "plantaintiller/cli/published_configuration.h"
#include "plantaintiller/config/configuration_codec.h"

namespace plantaintiller::cli {

namespace {

core::result<int> PublishFile(const option_values& values) {
  BOOST_LEAF_AUTO(text, ReadFile(values.Text("file")));
  BOOST_LEAF_AUTO(json, config::ParseJson(text));
  BOOST_LEAF_AUTO(configuration, config::ConfigurationFromJson(json));
  const auto base = static_cast<std::uint64_t>(values.Number("base-version"));
  BOOST_LEAF_AUTO(version,
                  Publish(values.Address("platform"), configuration, base));
  std::cout << "published as version " << version << "\n";
  return kExitSuccess;
}

core::result<int> ShowPublished(const option_values& values) {
  BOOST_LEAF_AUTO(published, ReadPublished(values.Address("platform")));
  std::cout << boost::json::serialize(config::ToJson(published)) << "\n";
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
  return boost::leaf::try_handle_all([&] { return PublishFile(values); },
                                     PrintError, [] { return kExitFailure; });
}

std::vector<option> config_show_command::Options() const {
  return {PlatformOption()};
}

int config_show_command::Run(const option_values& values) {
  return boost::leaf::try_handle_all([&] { return ShowPublished(values); },
                                     PrintError, [] { return kExitFailure; });
}

}  // namespace plantaintiller::cli
