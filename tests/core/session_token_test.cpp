#include "plantaintiller/core/session_token.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>

namespace plantaintiller::core {

namespace {

// Decodes a token and returns the type of the error, or nullopt if it is valid.
std::optional<error_type> ErrorOf(const std::string& text,
                                  const std::string& deployment) {
  return boost::leaf::try_handle_all(
      [&]() -> result<std::optional<error_type>> {
        BOOST_LEAF_CHECK(session_token::Decode(text, deployment));
        return std::optional<error_type>();
      },
      [](const error& problem) { return std::optional(problem.type); },
      [] { return std::optional(error_type::kUnavailable); });
}

session_token Sample() {
  session_token token;
  token.Raise({1}, {3, 77});
  token.Raise({9}, {1, 2});
  return token;
}

}  // namespace

TEST_CASE("session_token: text round trip") {
  const std::string text = Sample().Encode("swanlodge");
  const auto read = session_token::Decode(text, "swanlodge");
  REQUIRE(read.has_value());
  CHECK(*read == Sample());
}

TEST_CASE("session_token: positions only rise") {
  session_token token = Sample();
  token.Raise({1}, {2, 1000});
  CHECK(token.PositionOf({1}) == log_position{3, 77});
  token.Raise({1}, {4, 1});
  CHECK(token.PositionOf({1}) == log_position{4, 1});
}

TEST_CASE("session_token: every damaged character is detected") {
  const std::string text = Sample().Encode("swanlodge");
  for (std::size_t n = 0; n < text.size(); ++n) {
    std::string damaged = text;
    damaged[n] = damaged[n] == 'A' ? 'B' : 'A';
    CHECK(ErrorOf(damaged, "swanlodge") == error_type::kBadToken);
  }
  CHECK(ErrorOf(text.substr(0, text.size() - 2), "swanlodge") ==
        error_type::kBadToken);
  CHECK(ErrorOf("nonsense", "swanlodge") == error_type::kBadToken);
  CHECK(ErrorOf(std::string(200000, 'A'), "swanlodge") ==
        error_type::kBadToken);
}

TEST_CASE("session_token: a token of another deployment is foreign") {
  CHECK(ErrorOf(Sample().Encode("agency"), "swanlodge") ==
        error_type::kForeignToken);
  CHECK_FALSE(ErrorOf("", "swanlodge").has_value());
}

}  // namespace plantaintiller::core
