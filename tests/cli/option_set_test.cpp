#include "plantaintiller/cli/option_set.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <optional>

namespace plantaintiller::cli {

namespace {

option_set SampleOptions() {
  return option_set({
      {"port-count", option_kind::kNumber, "4", "", false, 1, 10},
      {"listen", option_kind::kAddress, "", "", true, 0, 0},
      {"json", option_kind::kFlag, "false", "", false, 0, 0},
      {"seeds", option_kind::kInstances, "", "", false, 0, 0},
  });
}

struct failure {
  core::error_type type;
  std::string subject;
};

std::optional<failure> FailureOf(const std::vector<std::string>& arguments) {
  return boost::leaf::try_handle_all(
      [&]() -> core::result<std::optional<failure>> {
        BOOST_LEAF_CHECK(SampleOptions().Parse(arguments));
        return std::optional<failure>();
      },
      [](const core::error& problem) {
        return std::optional(failure{problem.type, problem.subject});
      },
      [] { return std::optional<failure>(); });
}

}  // namespace

TEST_CASE("option_set: defaults, flags and lists") {
  const auto values =
      SampleOptions().Parse({"--listen", "127.0.0.1:80", "--json", "--seeds",
                             "1@a=127.0.0.1:1,2@b=[::1]:2"});
  CHECK_FALSE(
      values.has_value());  // A host in brackets is not a numeric address.
  const auto valid = SampleOptions().Parse(
      {"--listen", "127.0.0.1:80", "--json", "--seeds", "1@a=127.0.0.1:1"});
  REQUIRE(valid.has_value());
  CHECK(valid->Number("port-count") == 4);
  CHECK(valid->Flag("json"));
  CHECK(valid->Address("listen").port == 80);
  CHECK(valid->List("seeds").size() == 1);
}

TEST_CASE("option_set: errors name the setting") {
  using core::error_type;
  const std::vector<std::string> base{"--listen", "127.0.0.1:80"};
  const auto with = [&base](std::vector<std::string> more) {
    more.insert(more.end(), base.begin(), base.end());
    return FailureOf(more);
  };
  CHECK_FALSE(with({}).has_value());
  CHECK(FailureOf({})->subject == "--listen");
  CHECK(with({"--port-count", "11"})->type == error_type::kBadSetting);
  CHECK(with({"--port-count", "many"})->subject == "--port-count");
  CHECK(with({"--nonsense"})->type == error_type::kUnknownSetting);
  CHECK(FailureOf({"--listen", "localhost:80"})->type ==
        error_type::kBadSetting);
  CHECK(FailureOf({"--listen", "127.0.0.1:70000"})->type ==
        error_type::kBadSetting);
}

TEST_CASE("option_set: a flag and its environment variable must not differ") {
  setenv("PLANTAINTILLER_PORT_COUNT", "5", 1);
  const auto from_environment =
      SampleOptions().Parse({"--listen", "127.0.0.1:80"});
  REQUIRE(from_environment.has_value());
  CHECK(from_environment->Number("port-count") == 5);
  CHECK(FailureOf({"--listen", "127.0.0.1:80", "--port-count", "6"})->type ==
        core::error_type::kSettingClash);
  unsetenv("PLANTAINTILLER_PORT_COUNT");
}

}  // namespace plantaintiller::cli
