#include "plantaintiller/config/configuration_codec.h"

#include <doctest/doctest.h>

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace plantaintiller::config {

namespace {

constexpr const char* kValidJson = R"({
  "version": 4, "deployment": "swanlodge",
  "availability_zones": ["perth-north", "bunbury-a"],
  "databases": [{"id": 1, "name": "allocations", "connections": 16,
    "default_max_staleness_ms": 0, "backend_servers": [
      {"availability_zone": "perth-north", "host": "127.0.0.1", "port": 1},
      {"availability_zone": "bunbury-a", "host": "127.0.0.1", "port": 2,
       "leaving": true}]}]})";

// Field for which a configuration is rejected; empty if it is accepted.
std::string RejectedField(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> core::result<std::string> {
        BOOST_LEAF_AUTO(json, ParseJson(text));
        BOOST_LEAF_CHECK(ConfigurationFromJson(json));
        return std::string();
      },
      [](const core::error& problem) { return problem.subject; },
      [] { return std::string("?"); });
}

std::string WithReplaced(const std::string& from, const std::string& to) {
  std::string text = kValidJson;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("configuration_codec: JSON round trip") {
  const auto first = ConfigurationFromJson(ParseJson(kValidJson).value());
  REQUIRE(first.has_value());
  const auto second = ConfigurationFromJson(ToJson(*first));
  REQUIRE(second.has_value());
  CHECK(boost::json::serialize(ToJson(*first)) ==
        boost::json::serialize(ToJson(*second)));
  CHECK(second->databases[0].servers[1].leaving);
}

TEST_CASE("configuration_codec: errors name the invalid field") {
  CHECK(RejectedField(kValidJson).empty());
  CHECK(RejectedField("{") == "body");
  CHECK(RejectedField(WithReplaced("\"connections\": 16",
                                   "\"connections\": 0")) == "connections");
  CHECK(RejectedField(WithReplaced("\"port\": 1}", "\"port\": 99999}")) ==
        "port");
  CHECK(RejectedField(
            WithReplaced("zone\": \"perth-north\"", "zone\": \"atlantis\"")) ==
        "availability_zone");
  CHECK(RejectedField(WithReplaced("\"id\": 1", "\"id\": -1")) == "id");
  CHECK(RejectedField(WithReplaced("\"deployment\": \"swanlodge\"",
                                   "\"deployment\": \"\"")) == "deployment");
}

}  // namespace plantaintiller::config
