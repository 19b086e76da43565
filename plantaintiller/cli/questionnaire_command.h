#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// `questionnaire`: turns answers into a configuration, compares and publishes
/// it.
class questionnaire_command : public command {
 public:
  std::string Name() const override { return "questionnaire"; }
  std::string Summary() const override {
    return "Makes the configuration from answers; asks for them without a "
           "file.";
  }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;
};

}  // namespace plantaintiller::cli
