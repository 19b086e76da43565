#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// `stand-in backend`: runs a stand-in backend server.
class standin_backend_command : public command {
 public:
  std::string Name() const override { return "stand-in backend"; }
  std::string Summary() const override {
    return "Runs a stand-in backend server, for the demo and tests.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

/// `stand-in platform`: runs a stand-in platform.
class standin_platform_command : public command {
 public:
  std::string Name() const override { return "stand-in platform"; }
  std::string Summary() const override {
    return "Runs a stand-in platform, for the demo and tests.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

}  // namespace plantaintiller::cli
