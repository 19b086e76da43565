#include "plantaintiller/cli/program.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstddef>
#include <iostream>
#include <optional>
#include <sstream>

#include "plantaintiller/cli/config_commands.h"
#include "plantaintiller/cli/history_commands.h"
#include "plantaintiller/cli/operator_commands.h"
#include "plantaintiller/cli/questionnaire_command.h"
#include "plantaintiller/cli/serve_command.h"
#include "plantaintiller/cli/standin_commands.h"
#include "plantaintiller/cli/standin_fault_command.h"
#include "platform/entry_command.h"

namespace plantaintiller::cli {

program::program() {
  commands_.push_back(std::make_unique<serve_command>());
  commands_.push_back(std::make_unique<platform::entry_command>());
  commands_.push_back(std::make_unique<questionnaire_command>());
  commands_.push_back(std::make_unique<config_publish_command>());
  commands_.push_back(std::make_unique<config_show_command>());
  commands_.push_back(std::make_unique<config_history_command>());
  commands_.push_back(std::make_unique<config_rollback_command>());
  commands_.push_back(std::make_unique<operator_command>(
      "status", "Shows an instance's state.", "GET", "/v1/status"));
  commands_.push_back(std::make_unique<operator_command>(
      "routing", "Shows databases, terms and backend servers.", "GET",
      "/v1/routing"));
  commands_.push_back(std::make_unique<operator_command>(
      "metrics", "Prints an instance's metrics.", "GET", "/v1/metrics"));
  commands_.push_back(std::make_unique<operator_command>(
      "drain", "Starts an instance's graceful shutdown.", "POST", "/v1/drain"));
  commands_.push_back(std::make_unique<standin_backend_command>());
  commands_.push_back(std::make_unique<standin_platform_command>());
  commands_.push_back(std::make_unique<standin_fault_command>());
}

command* program::Find(const std::vector<std::string>& arguments,
                       std::size_t& word_count) const {
  for (const auto& each : commands_) {
    std::istringstream name(each->Name());
    std::string word;
    std::size_t matched = 0;
    bool matches = true;
    while (matches && name >> word) {
      matches = matched < arguments.size() && arguments[matched] == word;
      matched += 1;
    }
    if (matches) {
      word_count = matched;
      return each.get();
    }
  }
  return nullptr;
}

std::string program::Help() const {
  std::ostringstream out;
  out << "plantaintiller: database proxy with session consistency\n\n"
      << "usage: plantaintiller COMMAND [OPTIONS]\n\n";
  for (const auto& each : commands_) {
    out << "  " << each->Name() << "\n      " << each->Summary() << "\n";
  }
  out << "\nplantaintiller COMMAND --help shows a command's options.\n";
  return out.str();
}

int program::Run(const std::vector<std::string>& arguments) {
  const bool help_requested = !arguments.empty() && (arguments[0] == "--help" ||
                                                     arguments[0] == "help");
  if (help_requested) {
    std::cout << Help();
    return kExitSuccess;
  }
  std::size_t word_count = 0;
  command* chosen = Find(arguments, word_count);
  if (chosen == nullptr) {
    std::cerr << (arguments.empty()
                      ? "no command given\n\n"
                      : "no such command: " + arguments[0] + "\n\n")
              << Help();
    return kExitUsage;
  }
  return RunCommand(
      *chosen, {arguments.begin() + static_cast<std::ptrdiff_t>(word_count),
                arguments.end()});
}

int program::RunCommand(command& chosen,
                        const std::vector<std::string>& arguments) {
  const option_set options(chosen.Options());
  std::optional<option_values> values;
  boost::leaf::try_handle_all(
      [&]() -> core::result<void> {
        BOOST_LEAF_ASSIGN(values, options.Parse(arguments));
        return {};
      },
      [&](const core::error& problem) {
        std::cerr << core::ErrorName(problem.type) << ": " << problem.subject
                  << " " << problem.detail << "\n";
      },
      [] {});
  if (!values.has_value()) {
    return kExitUsage;
  }
  if (values->HelpRequested()) {
    std::cout << chosen.Name() << ": " << chosen.Summary() << "\n\n"
              << options.Help();
    return kExitSuccess;
  }
  if (!values->Arguments().empty()) {
    std::cerr << "unknown_setting: " << values->Arguments()[0]
              << " no such argument; see --help\n";
    return kExitUsage;
  }
  return chosen.Run(*values);
}

}  // namespace plantaintiller::cli
