#include "plantaintiller/cli/interview.h"

#include <doctest/doctest.h>

#include <sstream>

namespace plantaintiller::cli {

TEST_CASE("interview: defaults, explanations and return to a question") {
  std::istringstream in(
      "first\n"  // What is the system called?
      "<\n"      // Back from the zones to the name.
      "second\n"
      "?\n"  // Explains the zones.
      "north south\n"
      "\n"      // Stale reads: yes.
      "many\n"  // Not a number of databases.
      "1\n"
      "keys\n"
      "issue\n"
      "\n"      // 16 connections.
      "2000\n"  // Stale reads, in ms.
      "\n"      // 2 slots.
      "\n\n7001\n"
      "\n\n7002\n");
  std::ostringstream out;
  const auto all_answers = interview(in, out).Ask();
  REQUIRE(all_answers.has_value());
  CHECK(all_answers->deployment == "second");
  CHECK(all_answers->zones == std::vector<std::string>{"north", "south"});
  REQUIRE(all_answers->databases.size() == 1);
  CHECK(all_answers->databases[0].connections == 16);
  CHECK(all_answers->databases[0].stale_reads_ms == 2000);
  REQUIRE(all_answers->databases[0].servers.size() == 2);
  CHECK(all_answers->databases[0].servers[1].zone == "south");
  CHECK(all_answers->databases[0].servers[1].port == 7002);
  CHECK(out.str().find("Names, with spaces.") != std::string::npos);
  CHECK(out.str().find("a whole number, please") != std::string::npos);
}

TEST_CASE("interview: a port above 65535 is an error") {
  // Port 70000 was accepted as 4464.
  for (const char* port : {"70000", "0", "5432x"}) {
    std::istringstream in("s\nnorth\n\n1\nkeys\nissue\n\n2000\n\n\n\n" +
                          std::string(port) + "\n\n\n7002\n");
    std::ostringstream out;
    CHECK_FALSE(interview(in, out).Ask().has_value());
  }
}

TEST_CASE("interview: input that ends early is an error") {
  std::istringstream in("only-a-name\n");
  std::ostringstream out;
  CHECK_FALSE(interview(in, out).Ask().has_value());
}

}  // namespace plantaintiller::cli
