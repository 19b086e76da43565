#include "plantaintiller/callers/statement_codec.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>

namespace plantaintiller::callers {

namespace {

using core::refusal_type;

core::configuration Configuration() {
  core::configuration configuration;
  configuration.deployment = "swanlodge";
  core::database_settings database;
  database.id = {1};
  database.name = "bookings";
  configuration.databases.push_back(database);
  return configuration;
}

// Error type and field of an invalid body; kNone if the body is valid.
std::pair<refusal_type, std::string> ErrorOf(const std::string& body) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::pair<refusal_type, std::string>> {
        BOOST_LEAF_CHECK(ParseRequest(body, core::statement_kind::kRun,
                                      Configuration(), "g-1",
                                      core::time_point()));
        return std::pair(refusal_type::kNone, std::string());
      },
      [](const request_error& error) {
        return std::pair(error.type, error.field);
      },
      [] { return std::pair(refusal_type::kNotReady, std::string()); });
}

std::string Body(const std::string& more) {
  return R"({"database":"bookings","access":"read","sql":"SELECT 1")" + more +
         "}";
}

}  // namespace

TEST_CASE("statement_codec: valid bodies are accepted") {
  CHECK(ErrorOf(Body("")).first == refusal_type::kNone);
  CHECK(ErrorOf(Body(R"(,"params":[1,"a",null,true,2.5])")).first ==
        refusal_type::kNone);
  CHECK(ErrorOf(Body(R"(,"deadline_ms":0)")).first == refusal_type::kNone);
}

TEST_CASE("statement_codec: the error of an invalid body names the field") {
  const auto bad = refusal_type::kBadRequest;
  CHECK(ErrorOf("") == std::pair(bad, std::string("body")));
  CHECK(ErrorOf(R"({"database":"bookings")") ==
        std::pair(bad, std::string("body")));
  CHECK(ErrorOf("[1]") == std::pair(bad, std::string("body")));
  CHECK(ErrorOf(Body(R"(,"sql2":"x")")) == std::pair(bad, std::string("sql2")));
  CHECK(ErrorOf(Body(R"(,"deadline_ms":31536000000)")) ==
        std::pair(bad, std::string("deadline_ms")));
  CHECK(ErrorOf(Body(R"(,"deadline_ms":-1)")) ==
        std::pair(bad, std::string("deadline_ms")));
  CHECK(ErrorOf(Body(R"(,"deadline_ms":"soon")")) ==
        std::pair(bad, std::string("deadline_ms")));
  CHECK(ErrorOf(Body(R"(,"max_staleness_ms":1.5)")) ==
        std::pair(bad, std::string("max_staleness_ms")));
  CHECK(ErrorOf(Body(R"(,"params":{})")) ==
        std::pair(bad, std::string("params")));
  CHECK(ErrorOf(Body(R"(,"params":[[1]])")) ==
        std::pair(bad, std::string("params")));
  CHECK(ErrorOf(Body(R"(,"params":["a\u0000b"])")) ==
        std::pair(bad, std::string("sql")));
  CHECK(ErrorOf(Body(R"(,"request_id":")" + std::string(129, 'x') + "\"")) ==
        std::pair(bad, std::string("request_id")));
  CHECK(ErrorOf(Body(R"(,"class":"urgent")")) ==
        std::pair(bad, std::string("class")));
  CHECK(ErrorOf(R"({"database":"bookings","sql":"SELECT 1"})") ==
        std::pair(bad, std::string("access")));
}

TEST_CASE(
    "statement_codec: unknown databases and invalid tokens have error types") {
  CHECK(ErrorOf(R"({"database":"x","access":"read","sql":"SELECT 1"})").first ==
        refusal_type::kUnknownDatabase);
  CHECK(ErrorOf(Body(R"(,"session_token":"pt1.00")")).first ==
        refusal_type::kTokenDamaged);
  const std::string foreign = core::session_token().Encode("agency");
  CHECK(ErrorOf(Body(",\"session_token\":\"" + foreign + "\"")).first ==
        refusal_type::kTokenForeign);
}

TEST_CASE("statement_codec: transaction names are parsed strictly") {
  const core::transaction_id transaction{{3}, 17, 99};
  const auto read = ParseTransactionName(TransactionName(transaction));
  REQUIRE(read.has_value());
  CHECK(*read == transaction);
  for (const char* bad :
       {"", "3", "3-", "-9", "3-x", "3-9", "3-9-0", "3-9-9-9", "3-9-9x"}) {
    const bool refused = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
          BOOST_LEAF_CHECK(ParseTransactionName(bad));
          return false;
        },
        [] { return true; });
    CHECK(refused);
  }
}

TEST_CASE("statement_codec: the same content has the same fingerprint") {
  const auto read = [](const std::string& body) {
    return ParseRequest(body, core::statement_kind::kRun, Configuration(),
                        "g-1", core::time_point())
        .value()
        .work.fingerprint;
  };
  CHECK(read(Body(R"(,"params":["a"])")) == read(Body(R"(,"params":["a"])")));
  CHECK(read(Body(R"(,"params":["a"])")) != read(Body(R"(,"params":["b"])")));
  CHECK(read(Body(R"(,"params":["a","b"])")) !=
        read(Body(R"(,"params":["ab"])")));
  CHECK(read(Body(R"(,"params":[null])")) != read(Body(R"(,"params":[""])")));
}

}  // namespace plantaintiller::callers
