#pragma once

#include <istream>
#include <ostream>

#include "plantaintiller/config/answers.h"
#include "plantaintiller/core/error.h"

namespace plantaintiller::cli {

/// Asks the questions of the questionnaire interactively, with defaults and
/// explanations. Input `?` explains a question and `<` returns to the previous
/// one.
class interview {
 public:
  /// @param in the replies, one a line.
  /// @param out receives the questions and explanations.
  interview(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  /// Asks all questions.
  /// @return the answers, kUnavailable if the input ended, or an error of
  /// config::AnswersFromJson.
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
      const config::answers& system_answers);
  core::result<std::int64_t> AskNumber(const question& number_question);

  std::istream& in_;
  std::ostream& out_;
};

}  // namespace plantaintiller::cli
