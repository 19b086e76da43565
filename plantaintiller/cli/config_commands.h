#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// `config publish`: writes a configuration to the platform by compare-and-set.
class config_publish_command : public command {
 public:
  std::string Name() const override { return "config publish"; }
  std::string Summary() const override {
    return "Publishes a configuration file to the platform.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

/// `config show`: prints the published configuration.
class config_show_command : public command {
 public:
  std::string Name() const override { return "config show"; }
  std::string Summary() const override {
    return "Shows the published configuration with its version.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

}  // namespace plantaintiller::cli
