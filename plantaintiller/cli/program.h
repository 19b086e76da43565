#pragma once

#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// The program: finds the subcommand, reads its options and runs it.
class program {
 public:
  program();

  /// @param arguments without the program's name. @return the exit status.
  int Run(const std::vector<std::string>& arguments);

 private:
  command* Find(const std::vector<std::string>& arguments,
                std::size_t& word_count) const;
  std::string Help() const;
  static int RunCommand(command& chosen,
                        const std::vector<std::string>& arguments);

  std::vector<std::unique_ptr<command>> commands_;
};

}  // namespace plantaintiller::cli
