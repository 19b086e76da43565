#include "plantaintiller/cli/interview.h"

#include <charconv>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace plantaintiller::cli {

namespace {

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return words;
}

// Returns -1, which no question allows, if the text is not a whole number.
std::int64_t NumberOf(const std::string& text) {
  std::int64_t number = -1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? number : -1;
}

}  // namespace

core::result<std::vector<std::string>> interview::AskAll(
    const std::vector<question>& questions) {
  std::vector<std::string> replies(questions.size());
  std::size_t current = 0;
  while (current < questions.size()) {
    const question& current_question = questions[current];
    out_ << current_question.text << " [" << current_question.default_value
         << "] " << std::flush;
    std::string line;
    if (!std::getline(in_, line)) {
      return core::Fail(core::error_type::kUnavailable, current_question.text,
                        "the input ended");
    }
    if (line == "?") {
      out_ << "  " << current_question.explanation << "\n";
    } else if (line == "<") {
      current -= current > 0 ? 1 : 0;
    } else {
      replies[current] = line.empty() ? current_question.default_value : line;
      current += 1;
    }
  }
  return replies;
}

core::result<std::int64_t> interview::AskNumber(
    const question& number_question) {
  while (true) {
    BOOST_LEAF_AUTO(replies, AskAll({number_question}));
    const std::int64_t number = NumberOf(replies[0]);
    if (number >= 0) {
      return number;
    }
    out_ << "  a whole number, please\n";
  }
}

core::result<config::database_answer> interview::AskDatabase(
    const config::answers& system_answers) {
  BOOST_LEAF_AUTO(
      texts,
      AskAll({{"Which service does it belong to?",
               "Databases are named SERVICE.NAME.", "core"},
              {"What is the database called?", "One word.", "main"},
              {"How many connections does each backend server accept?",
               "All instances together stay below this.", "16"},
              {"How old may reads be that set no limit, in milliseconds?",
               "0: current. Portals and availability views often allow some "
               "seconds; replicas then serve them.",
               "0"},
              {"How many slots (backend servers) has it?",
               "A primary and its replicas.", "2"}}));
  config::database_answer database;
  database.service = texts[0];
  database.name = texts[1];
  database.connections = static_cast<int>(NumberOf(texts[2]));
  database.stale_reads_ms = NumberOf(texts[3]);
  const std::int64_t slots = NumberOf(texts[4]);
  for (std::int64_t slot = 0; slot < slots; ++slot) {
    const std::string prefix = "Slot " + std::to_string(slot) + ": ";
    const std::string zone =
        system_answers.zones[static_cast<std::size_t>(slot) %
                             system_answers.zones.size()];
    BOOST_LEAF_AUTO(
        server_texts,
        AskAll(
            {{prefix + "availability zone?", "Spread them over zones.", zone},
             {prefix + "IP address?", "Numeric.", "127.0.0.1"},
             {prefix + "port?", "PostgreSQL's is 5432.", "5432"}}));
    const std::int64_t port = NumberOf(server_texts[2]);
    if (port < 1 || port > UINT16_MAX) {
      return core::Fail(core::error_type::kBadConfiguration, prefix + "port",
                        "\"" + server_texts[2] + "\" must be 1 to 65535");
    }
    database.servers.push_back({server_texts[0], server_texts[1],
                                static_cast<std::uint16_t>(port), false});
  }
  return database;
}

core::result<config::answers> interview::Ask() {
  config::answers system_answers;
  BOOST_LEAF_AUTO(
      texts,
      AskAll({{"What is the system called?",
               "Session tokens of other systems are refused.", "swanlodge"},
              {"Which availability zones are there?", "Names, with spaces.",
               "zone-a zone-b"},
              {"May any read be stale?",
               "no: every read is current unless it asks otherwise.", "yes"}}));
  system_answers.deployment = texts[0];
  system_answers.zones = Words(texts[1]);
  system_answers.any_stale_reads = texts[2] == "yes";
  if (system_answers.zones.empty()) {
    return core::Fail(core::error_type::kBadConfiguration, "availability_zones",
                      "at least one is needed");
  }
  BOOST_LEAF_AUTO(databases, AskNumber({"How many databases are there?",
                                        "Each has its own primary.", "1"}));
  for (std::int64_t n = 0; n < databases; ++n) {
    BOOST_LEAF_AUTO(database, AskDatabase(system_answers));
    system_answers.databases.push_back(std::move(database));
  }
  // Validates the answers by the same rules as an answers file.
  return config::AnswersFromJson(config::ToJson(system_answers));
}

}  // namespace plantaintiller::cli
