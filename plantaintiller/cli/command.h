#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/option_set.h"

namespace plantaintiller::cli {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
/// Wrong use: unknown option, bad value, clash.
inline constexpr int kExitUsage = 2;

/// A subcommand of the program.
class command {
 public:
  virtual ~command() = default;
  /// Words that name it, for example `stand-in backend`.
  virtual std::string Name() const = 0;
  /// One sentence on what it does.
  virtual std::string Summary() const = 0;
  virtual std::vector<option> Options() const = 0;
  /// Runs it. @return the exit status.
  virtual int Run(const option_values& values) = 0;
};

}  // namespace plantaintiller::cli
