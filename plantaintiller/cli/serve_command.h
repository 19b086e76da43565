#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// `serve`: runs an entry instance.
class serve_command : public command {
 public:
  std::string Name() const override { return "serve"; }
  std::string Summary() const override { return "Runs an entry instance."; }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

}  // namespace plantaintiller::cli
