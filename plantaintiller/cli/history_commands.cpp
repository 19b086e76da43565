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
                  const std::optional<core::configuration>& before,
                  const std::optional<core::configuration>& kept) {
  std::cout << "version " << version << "\n";
  if (!kept.has_value()) {
    std::cout << "  not kept\n";
    return;
  }
  if (!before.has_value()) {
    std::cout << "  " << kept->databases.size() << " databases\n";
    return;
  }
  for (const std::string& line : config::Differences(*before, *kept)) {
    std::cout << "  " << line << "\n";
  }
}

core::result<int> PrintHistory(const option_values& values) {
  const address platform = values.Address("platform");
  BOOST_LEAF_AUTO(current, ReadPublished(platform));
  const auto most = static_cast<std::uint64_t>(values.Number("most"));
  const std::uint64_t first =
      current.version > most ? current.version - most + 1 : 1;
  std::optional<core::configuration> before;
  for (std::uint64_t version = first; version <= current.version; ++version) {
    BOOST_LEAF_AUTO(kept, ReadKept(platform, version));
    PrintVersion(version, before, kept);
    before = kept;
  }
  return kExitSuccess;
}

core::result<int> RollBack(const option_values& values) {
  const address platform = values.Address("platform");
  const auto wanted = static_cast<std::uint64_t>(values.Number("to"));
  BOOST_LEAF_AUTO(current, ReadPublished(platform));
  BOOST_LEAF_AUTO(kept, ReadKept(platform, wanted));
  if (!kept.has_value()) {
    return core::Fail(core::error_type::kNotFound,
                      "version " + std::to_string(wanted), "is not kept");
  }
  BOOST_LEAF_AUTO(version, Publish(platform, *kept, current.version));
  for (const std::string& line : config::Differences(current, *kept)) {
    std::cout << line << "\n";
  }
  std::cout << "version " << wanted << " published as version " << version
            << "\n";
  return kExitSuccess;
}

}  // namespace

std::vector<option> config_history_command::Options() const {
  return {PlatformOption(),
          {"most", option_kind::kNumber, "20", "Most versions to list.", false,
           1, 10000}};
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
