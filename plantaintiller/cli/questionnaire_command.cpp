#include "plantaintiller/cli/questionnaire_command.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>

#include "plantaintiller/cli/interview.h"
#include "plantaintiller/cli/published_configuration.h"
#include "plantaintiller/config/answers.h"
#include "plantaintiller/config/configuration_codec.h"

namespace plantaintiller::cli {

namespace {

core::result<config::answers> GetAnswers(const option_values& values) {
  const std::string file = values.Text("answers");
  if (file.empty()) {
    return interview(std::cin, std::cerr).Ask();
  }
  BOOST_LEAF_AUTO(text, ReadFile(file));
  BOOST_LEAF_AUTO(json, config::ParseJson(text));
  return config::AnswersFromJson(json);
}

void PrintDifferences(const core::configuration& from,
                      const core::configuration& to) {
  const std::vector<std::string> lines = config::Differences(from, to);
  for (const std::string& line : lines) {
    std::cout << line << "\n";
  }
  if (lines.empty()) {
    std::cout << "nothing would change\n";
  }
}

core::result<int> RunQuestionnaire(const option_values& values) {
  if (const std::string setting = values.Text("explain"); !setting.empty()) {
    BOOST_LEAF_AUTO(reason, config::ExplainSetting(setting));
    std::cout << reason << "\n";
    return kExitSuccess;
  }
  BOOST_LEAF_AUTO(all_answers, GetAnswers(values));
  if (values.Flag("check")) {
    std::cout << "the answers are complete and consistent\n";
    return kExitSuccess;
  }
  const bool needs_published = values.Flag("diff") || values.Flag("publish");
  core::configuration current;
  if (needs_published) {
    BOOST_LEAF_ASSIGN(current, ReadPublished(values.Address("platform")));
  }
  const core::configuration generated =
      config::GenerateConfiguration(all_answers, current);
  if (!needs_published) {
    std::cout << boost::json::serialize(config::ToJson(generated)) << "\n";
    return kExitSuccess;
  }
  PrintDifferences(current, generated);
  if (values.Flag("publish")) {
    BOOST_LEAF_AUTO(version, Publish(values.Address("platform"), generated,
                                     current.version));
    std::cout << "published as version " << version << "\n";
  }
  return kExitSuccess;
}

}  // namespace

std::vector<option> questionnaire_command::Options() const {
  return {
      {"answers", option_kind::kText, "", "Answers file, JSON.", false, 0, 0},
      {"check", option_kind::kFlag, "false", "Only checks the answers.", false,
       0, 0},
      {"explain", option_kind::kText, "",
       "Explains which answer determines a setting.", false, 0, 0},
      {"diff", option_kind::kFlag, "false",
       "Shows what would change in the published configuration.", false, 0, 0},
      {"publish", option_kind::kFlag, "false",
       "Publishes; fails if another change was published first.", false, 0, 0},
      {"platform", option_kind::kAddress, "127.0.0.1:7500",
       "Address of the platform's service.", false, 0, 0}};
}

int questionnaire_command::Run(const option_values& values) {
  return boost::leaf::try_handle_all([&] { return RunQuestionnaire(values); },
                                     PrintError, [] { return kExitFailure; });
}

}  // namespace plantaintiller::cli
