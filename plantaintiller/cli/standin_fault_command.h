#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// `stand-in fault`: sets a fault of a stand-in backend server.
class standin_fault_command : public command {
 public:
  std::string Name() const override { return "stand-in fault"; }
  std::string Summary() const override {
    return "Sets a fault of a stand-in backend server: lag_ms, or silent.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

}  // namespace plantaintiller::cli
