#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/option_set.h"

namespace plantaintiller::cli {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
/// Usage error: an unknown option, an invalid value, or an environment variable
/// that contradicts a flag.
inline constexpr int kExitUsage = 2;

/// A subcommand of the program.
class command {
 public:
  virtual ~command() = default;
  /// Name on the command line, one or more words, for example
  /// `stand-in backend`.
  virtual std::string Name() const = 0;
  /// One-sentence description for the help text.
  virtual std::string Summary() const = 0;
  /// Options that the command accepts.
  virtual std::vector<option> Options() const = 0;
  /// Runs the command. @return the exit status.
  virtual int Run(const option_values& values) = 0;
};

}  // namespace plantaintiller::cli
