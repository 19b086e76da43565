#pragma once

#include <string>
#include <vector>

#include "plantaintiller/cli/command.h"

namespace plantaintiller::cli {

/// Command that sends one request to the operators' interface of a running
/// instance and prints the answer.
class operator_command : public command {
 public:
  /// @param name of the command.
  /// @param summary for the help text.
  /// @param method of the HTTP request.
  /// @param target of the HTTP request.
  operator_command(std::string name,
                   std::string summary,
                   std::string method,
                   std::string target);

  std::string Name() const override { return name_; }
  std::string Summary() const override { return summary_; }
  std::vector<option> Options() const override;
  int Run(const option_values& values) override;

 private:
  std::string name_;
  std::string summary_;
  std::string method_;
  std::string target_;
};

}  // namespace plantaintiller::cli
