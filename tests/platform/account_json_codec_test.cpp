#include "platform/account_json_codec.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "plantaintiller/accounts/key_digest.h"
#include "platform/directory_json_codec.h"

namespace platform {

namespace {

using plantaintiller::accounts::DigestOf;

plantaintiller::core::route_table Decode(const std::string& members) {
  const auto table = directory_json_codec().DecodeRoutes(
      R"({"version":7,"routes":[{"host":"db","service":"g",)"
      R"("route-type":"primary"}])" +
      members + "}");
  REQUIRE(table.has_value());
  return *table;
}

std::vector<std::string> LeftOut(
    const plantaintiller::core::route_table& table) {
  std::vector<std::string> parts;
  for (const auto& each : table.left_out) {
    CHECK(each.type == plantaintiller::core::error_type::kBadConfiguration);
    parts.push_back(each.subject);
  }
  return parts;
}

constexpr const char* kAccounts =
    R"(,"tenants":[{"name":"acme","api-keys":["k-1","k-2"],"priority":1,)"
    R"("rate-per-s":12.5,"burst":4},{"name":"birch","api-keys":["k-3"]}])";

}  // namespace

TEST_CASE("account_json_codec: accounts are read") {
  const auto table = Decode(kAccounts);
  REQUIRE(table.accounts.size() == 2);
  CHECK(table.requires_account);
  const auto& acme = table.accounts.at("acme");
  CHECK(acme.key_digests == std::vector{DigestOf("k-1"), DigestOf("k-2")});
  CHECK(acme.priority == 1);
  CHECK(acme.rate_per_s == doctest::Approx(12.5));
  CHECK(acme.burst == doctest::Approx(4));
  CHECK(table.accounts.at("birch").rate_per_s == doctest::Approx(0));
  CHECK(table.left_out.empty());
}

// Guards against an outage of deployments without accounts.
TEST_CASE("account_json_codec: without tenants no account is required") {
  CHECK_FALSE(Decode("").requires_account);
  CHECK_FALSE(Decode(R"(,"tenants":[])").requires_account);
  const auto table = Decode(R"(,"tenants":"none")");
  CHECK_FALSE(table.requires_account);
  CHECK(LeftOut(table) == std::vector<std::string>{"tenants"});
}

// Guards against one invalid part that puts the whole configuration, or the
// accounts beside it, out of force.
TEST_CASE("account_json_codec: invalid parts are left out by name") {
  const auto table = Decode(
      R"(,"tenants":[7,{"api-keys":["k-0"]},{"name":"two words"},)"
      R"({"name":"acme","api-keys":["k-1",5,"","k-1"],"priority":"high",)"
      R"("rate-per-s":-1,"burst":[]},{"name":"acme"},)"
      R"({"name":"birch","api-keys":"k-2"}])");
  CHECK(LeftOut(table) == std::vector<std::string>{
                              "tenants[0]", "tenants[1].name",
                              "tenants[2].name", "tenants[3].api-keys[1]",
                              "tenants[3].api-keys[2]",
                              "tenants[3].api-keys[3]", "tenants[3].priority",
                              "tenants[3].rate-per-s", "tenants[3].burst",
                              "tenants[4].name", "tenants[5].api-keys"});
  CHECK(table.routes.contains("db"));
  CHECK(table.accounts.at("acme").key_digests.size() == 1);
  CHECK(table.accounts.at("birch").key_digests.empty());
  // Guards against keys in the log.
  CHECK(std::none_of(table.left_out.begin(), table.left_out.end(),
                     [](const auto& each) {
                       return each.detail.find("k-") != std::string::npos;
                     }));
}

// Guards against access to everybody because no account could be read.
TEST_CASE("account_json_codec: accounts that are all invalid are required") {
  const auto table = Decode(R"(,"tenants":[{}])");
  CHECK(table.requires_account);
  CHECK(table.accounts.empty());
}

TEST_CASE("account_json_codec: public routes are read") {
  const directory_json_codec codec;
  const auto table = codec.DecodeRoutes(
      R"({"version":7,"routes":[)"
      R"({"host":"a","service":"g","route-type":"primary","public":true},)"
      R"({"host":"b","service":"g","route-type":"primary","public":"yes"},)"
      R"({"host":"c","service":"g","route-type":"primary"}]})");
  REQUIRE(table.has_value());
  CHECK(table->routes.at("a").is_public);
  CHECK_FALSE(table->routes.at("b").is_public);
  CHECK_FALSE(table->routes.at("c").is_public);
  CHECK(LeftOut(*table) == std::vector<std::string>{"routes[1].public"});
}

// Guards against keys that are kept in memory or sent to other instances.
TEST_CASE("account_json_codec: what instances pass on contains no keys") {
  const directory_json_codec codec;
  const std::string text =
      R"({"version":7,"routes":[])" + std::string(kAccounts) + "}";
  const std::string passed_on = codec.WithoutKeys(text);
  CHECK(passed_on.find("k-") == std::string::npos);
  CHECK(codec.WithoutKeys(passed_on) == passed_on);
  const auto received = codec.DecodeRoutes(passed_on);
  REQUIRE(received.has_value());
  CHECK(received->accounts == codec.DecodeRoutes(text)->accounts);
  CHECK(received->left_out.empty());
}

// A list that was written as an object was passed on with its keys.
TEST_CASE("account_json_codec: keys of mistyped accounts are not passed on") {
  const directory_json_codec codec;
  for (const char* const accounts :
       {R"({"acme":{"name":"acme","api-keys":["k-1"]}})", R"(["k-1"])",
        R"("k-1")"}) {
    const std::string text =
        R"({"version":7,"routes":[],"tenants":)" + std::string(accounts) + "}";
    const auto table = codec.DecodeRoutes(text);
    REQUIRE(table.has_value());
    CHECK(table->left_out.size() == 1);
    const std::string passed_on = codec.WithoutKeys(text);
    CHECK(passed_on.find("k-") == std::string::npos);
    CHECK(codec.WithoutKeys(passed_on) == passed_on);
    const auto received = codec.DecodeRoutes(passed_on);
    REQUIRE(received.has_value());
    CHECK(received->requires_account == table->requires_account);
    CHECK(LeftOut(*received) == LeftOut(*table));
  }
}

TEST_CASE("account_json_codec: a configuration without keys is unchanged") {
  const std::string text = R"({ "version":7, "routes":[] })";
  CHECK(directory_json_codec().WithoutKeys(text) == text);
}

}  // namespace platform
