#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// `config history`: lists the latest published versions and their changes.
class config_history_command : public command {
 public:
  std::string Name() const override { return "config history"; }
  std::string Summary() const override {
    return "Lists published versions and what each changed.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

/// `config rollback`: publishes an earlier version again, as a new version.
class config_rollback_command : public command {
 public:
  std::string Name() const override { return "config rollback"; }
  std::string Summary() const override {
    return "Publishes an earlier version again, as a new, higher one.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

}  // namespace plantaintiller::cli
