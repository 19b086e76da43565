#include "plantaintiller/sessions/prepared_name.h"

#include <doctest/doctest.h>

namespace plantaintiller::sessions {

// Two shapes that a client had chosen to have one XXH3 hash ran for each other
// on a shared connection (PINNED, review case 9).
TEST_CASE("prepared name: chosen shapes have names of their own") {
  CHECK(PreparedName(true, "qcai3cdkyntzvg") !=
        PreparedName(true, "qmg5m6uwjcxhvl"));
}

// A digest of 128 bits resists 2^64 trials of one who looks for two shapes with
// one name; a collision must stay out of reach.
TEST_CASE("prepared name: it holds a digest of 256 bits") {
  CHECK(PreparedName(true, "q2c").size() == 1 + 256 / 4);
}

TEST_CASE(
    "prepared name: a statement that writes differs from one that reads") {
  CHECK(PreparedName(true, "q2c") != PreparedName(false, "q2c"));
  CHECK(PreparedName(true, "q2c") == PreparedName(true, "q2c"));
  CHECK(PreparedName(true, "").find(' ') == std::string::npos);
}

}  // namespace plantaintiller::sessions
