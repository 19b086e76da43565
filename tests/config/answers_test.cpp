#include "plantaintiller/config/answers.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <random>

#include "plantaintiller/config/configuration_codec.h"

namespace plantaintiller::config {

namespace {

answers RandomAnswers(unsigned seed) {
  std::mt19937 random(seed);
  answers random_answers;
  random_answers.deployment = "deployment-" + std::to_string(seed);
  const unsigned zones = 1 + random() % 4;
  for (unsigned n = 0; n < zones; ++n) {
    random_answers.zones.push_back("zone-" + std::to_string(n));
  }
  random_answers.any_stale_reads = false;
  std::uint16_t port = 1000;
  const unsigned databases = 1 + random() % 5;
  for (unsigned n = 0; n < databases; ++n) {
    database_answer database;
    database.service = "service-" + std::to_string(random() % 3);
    database.name = "db" + std::to_string(n);
    database.connections = static_cast<int>(1 + random() % 100);
    database.stale_reads_ms = random() % 2 == 0 ? 0 : 5000;
    random_answers.any_stale_reads =
        random_answers.any_stale_reads || database.stale_reads_ms > 0;
    const unsigned slots = 1 + random() % 8;
    for (unsigned slot = 0; slot < slots; ++slot) {
      database.servers.push_back({random_answers.zones[random() % zones],
                                  "127.0.0.1", ++port,
                                  slot > 0 && random() % 4 == 0});
    }
    random_answers.databases.push_back(std::move(database));
  }
  return random_answers;
}

// Type and subject of the error for invalid answers; empty if they are valid.
std::string ErrorOf(const answers& all_answers) {
  return boost::leaf::try_handle_all(
      [&]() -> core::result<std::string> {
        BOOST_LEAF_CHECK(AnswersFromJson(ToJson(all_answers)));
        return std::string();
      },
      [](const core::error& problem) {
        return std::string(core::ErrorName(problem.type)) + ": " +
               problem.subject;
      },
      [] { return std::string("?"); });
}

}  // namespace

TEST_CASE("answers: are recovered from the generated configuration") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    const answers all_answers = RandomAnswers(seed);
    CHECK(ErrorOf(all_answers).empty());
    const core::configuration generated =
        GenerateConfiguration(all_answers, {});
    CHECK(AnswersFromConfiguration(generated) == all_answers);
    const auto read = ConfigurationFromJson(ToJson(generated));
    REQUIRE(read.has_value());
    CHECK(AnswersFromConfiguration(*read) == all_answers);
    CHECK(Differences(generated, *read).empty());
  }
}

TEST_CASE("answers: databases keep their ids") {
  answers all_answers = RandomAnswers(4);
  const core::configuration first = GenerateConfiguration(all_answers, {});
  database_answer added = all_answers.databases[0];
  added.name = "added";
  all_answers.databases.insert(all_answers.databases.begin(), added);
  const core::configuration second = GenerateConfiguration(all_answers, first);
  for (const core::database_settings& before : first.databases) {
    CHECK(second.FindByName(before.name)->id == before.id);
  }
  CHECK(Differences(first, second).size() == 1);
}

TEST_CASE("answers: contradictions name both questions") {
  answers all_answers = RandomAnswers(4);
  all_answers.any_stale_reads = false;
  all_answers.databases[0].stale_reads_ms = 100;
  CHECK(ErrorOf(all_answers) ==
        "contradictory_answers: any_stale_reads and "
        "databases[0].stale_reads_ms");
  all_answers = RandomAnswers(4);
  all_answers.databases[0].servers[0].zone = "atlantis";
  CHECK(ErrorOf(all_answers) ==
        "contradictory_answers: availability_zones and "
        "databases[0].slots[0].availability_zone");
  all_answers = RandomAnswers(4);
  all_answers.databases.push_back(all_answers.databases[0]);
  CHECK(
      ErrorOf(all_answers).starts_with("contradictory_answers: databases and"));
  all_answers = RandomAnswers(4);
  all_answers.databases[0].connections = 0;
  CHECK(ErrorOf(all_answers) == "bad_configuration: databases[0].connections");
}

TEST_CASE("answers: settings are explained") {
  CHECK(ExplainSetting("connections").has_value());
  CHECK_FALSE(ExplainSetting("colour").has_value());
}

}  // namespace plantaintiller::config
