#pragma once

#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// Command-line program: finds the subcommand, parses its options and runs it.
class program {
 public:
  program();

  /// Runs the subcommand that the arguments name.
  /// @param arguments command-line arguments without the program's name.
  /// @return the exit status.
  int Run(const std::vector<std::string>& arguments);

 private:
  // Returns null if no command matches. `word_count` receives the number of
  // words in the command's name.
  command* Find(const std::vector<std::string>& arguments,
                std::size_t& word_count) const;
  std::string Help() const;
  static int RunCommand(command& chosen,
                        const std::vector<std::string>& arguments);

  std::vector<std::unique_ptr<command>> commands_;
};

}  // namespace plantaintiller::cli
