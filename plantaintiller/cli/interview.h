#pragma once

#include <istream>
#include <ostream>

#include "plantaintiller/config/answers.h"
#include "plantaintiller/core/error.h"

namespace plantaintiller::cli {

/// Asks a person for the answers, with defaults and explanations. `?` explains
/// a question and `<` goes back to the one before.
class interview {
 public:
  interview(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  /// Asks everything. @return the answers, or kUnavailable if the input ended.
  core::result<config::answers> Ask();

 private:
  struct question {
    std::string text;
    std::string explanation;
    std::string default_value;
  };

  core::result<std::vector<std::string>> AskAll(
      const std::vector<question>& questions);
  core::result<config::database_answer> AskDatabase(
      const config::answers& given);
  core::result<std::int64_t> AskNumber(const question& asked);

  std::istream& in_;
  std::ostream& out_;
};

}  // namespace plantaintiller::cli
