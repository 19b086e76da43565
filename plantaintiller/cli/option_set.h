#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantaintiller/core/error.h"

namespace plantaintiller::cli {

/// Type of an option's value.
enum class option_kind : std::uint8_t {
  kText,
  kNumber,
  kFlag,
  /// HOST:PORT, where the host is a numeric IP address.
  kAddress,
  /// Comma-separated list of ID@ZONE=HOST:PORT.
  kInstances,
};

/// An option of a command: `--name VALUE` or PLANTAINTILLER_NAME=VALUE.
struct option {
  std::string name;
  option_kind kind = option_kind::kText;
  std::string default_value;
  std::string help;
  bool required = false;
  /// Range of a kNumber value, both ends included.
  std::int64_t min_value = 0;
  std::int64_t max_value = 0;
};

/// A numeric host and a port.
struct address {
  std::string host;
  std::uint16_t port = 0;
};

/// Validated values of a command's options.
class option_values {
 public:
  std::string Text(const std::string& name) const { return values_.at(name); }
  std::int64_t Number(const std::string& name) const;
  bool Flag(const std::string& name) const;
  address Address(const std::string& name) const;
  /// Elements of a comma-separated value.
  std::vector<std::string> List(const std::string& name) const;
  /// Arguments that are not options.
  const std::vector<std::string>& Arguments() const { return arguments_; }
  /// Whether `--help` was given.
  bool HelpRequested() const { return help_requested_; }

 private:
  friend class option_set;
  std::map<std::string, std::string> values_;
  std::vector<std::string> arguments_;
  bool help_requested_ = false;
};

/// The options of one command, read from flags and the environment.
class option_set {
 public:
  explicit option_set(std::vector<option> options);

  /// Reads and validates flags and environment variables.
  /// @param arguments command-line arguments without the names of the program
  /// and the command.
  /// @return the values, or an error that names the setting, its value and the
  /// allowed values: kUnknownSetting, kBadSetting, or kSettingClash if a flag
  /// and its environment variable differ.
  core::result<option_values> Parse(
      const std::vector<std::string>& arguments) const;

  /// Help text for the options.
  std::string Help() const;

 private:
  static std::string EnvironmentVariableFor(const std::string& name);
  core::result<void> ReadFlags(const std::vector<std::string>& arguments,
                               option_values& values) const;
  core::result<void> ReadEnvironment(option_values& values) const;

  std::vector<option> options_;
};

}  // namespace plantaintiller::cli
