#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// `questionnaire`: generates a configuration from answers, and prints it,
/// compares it with the published one, or publishes it.
class questionnaire_command : public command {
 public:
  std::string Name() const override { return "questionnaire"; }
  std::string Summary() const override {
    return "Generates the configuration from answers; asks for them if no "
           "file is given.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

}  // namespace plantaintiller::cli
