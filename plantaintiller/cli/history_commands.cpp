#include "plantaintiller/cli/history_commands.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <optional>

#include "plantaintiller/cli/published_configuration.h"
#include "plantaintiller/config/answers.h"

namespace plantaintiller::cli {

namespace {

void PrintVersion(std::uint64_t version,
                  const std::optional<core::configuration>& previous,
                  const std::optional<core::configuration>& stored) {
  std::cout << "version " << version << "\n";
  if (!stored.has_value()) {
    std::cout << "  not stored\n";
    return;
  }
  if (!previous.has_value()) {
    std::cout << "  " << stored->databases.size() << " databases\n";
    return;
  }
  for (const std::string& line : config::Differences(*previous, *stored)) {
    std::cout << "  " << line << "\n";
  }
}

core::result<int> PrintHistory(const option_values& values) {
  const address platform = values.Address("platform");
  BOOST_LEAF_AUTO(current, ReadPublished(platform));
  const auto max_versions = static_cast<std::uint64_t>(values.Number("most"));
  const std::uint64_t first =
      current.version > max_versions ? current.version - max_versions + 1 : 1;
  std::optional<core::configuration> previous;
  for (std::uint64_t version = first; version <= current.version; ++version) {
    BOOST_LEAF_AUTO(stored, ReadStoredVersion(platform, version));
    PrintVersion(version, previous, stored);
    previous = stored;
  }
  return kExitSuccess;
}

core::result<int> RollBack(const option_values& values) {
  const address platform = values.Address("platform");
  const auto target_version = static_cast<std::uint64_t>(values.Number("to"));
  BOOST_LEAF_AUTO(current, ReadPublished(platform));
  BOOST_LEAF_AUTO(stored, ReadStoredVersion(platform, target_version));
  if (!stored.has_value()) {
    return core::Fail(core::error_type::kNotFound,
                      "version " + std::to_string(target_version),
                      "is not stored");
  }
  BOOST_LEAF_AUTO(version, Publish(platform, *stored, current.version));
  for (const std::string& line : config::Differences(current, *stored)) {
    std::cout << line << "\n";
  }
  std::cout << "version " << target_version << " published as version "
            << version << "\n";
  return kExitSuccess;
}

}  // namespace

std::vector<option> config_history_command::Options() const {
  return {PlatformOption(),
          {"most", option_kind::kNumber, "20",
           "Maximum number of versions to list.", false, 1, 10000}};
}

int config_history_command::Run(const option_values& values) {
  return boost::leaf::try_handle_all([&] { return PrintHistory(values); },
                                     PrintError, [] { return kExitFailure; });
}

std::vector<option> config_rollback_command::Options() const {
  return {PlatformOption(),
          {"to", option_kind::kNumber, "", "Version to publish again.", true, 1,
           INT64_MAX}};
}

int config_rollback_command::Run(const option_values& values) {
  return boost::leaf::try_handle_all([&] { return RollBack(values); },
                                     PrintError, [] { return kExitFailure; });
}

}  // namespace plantaintiller::cli
