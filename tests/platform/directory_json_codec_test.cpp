#include "platform/directory_json_codec.h"

#include <doctest/doctest.h>

#include <string>

namespace platform {

using plantaintiller::core::consistency;
using plantaintiller::core::milliseconds;

namespace {

const std::string kServer =
    R"({"service":"g","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":2,"state":"ready","cold-remaining-ms":0,"db-role":"replica",)"
    R"("seq":4,"born":17})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

TEST_CASE("directory codec: a server's entry") {
  const directory_json_codec codec;
  const auto entry = codec.DecodeServer("i-1", kServer);
  REQUIRE(entry.has_value());
  CHECK(entry->id == "i-1");
  CHECK(entry->group == "g");
  CHECK(entry->slots == 2);
  CHECK(entry->born_ms == 17);
  CHECK_FALSE(entry->draining);
  CHECK_FALSE(entry->reports_leader);
}

TEST_CASE("directory codec: an entry with an invalid field is not a server") {
  const directory_json_codec codec;
  for (const auto& [from, to] :
       std::initializer_list<std::pair<const char*, const char*>>{
           {R"("service":"g",)", ""},
           {R"("g")", "7"},
           {R"("10.0.0.9:80")", R"("10.0.0.9")"},
           {R"("ready")", R"("resting")"},
           {R"("replica")", R"("witness")"},
           {R"("slots":2)", R"("slots":"2")"},
           {R"("seq":4)", R"("seq":null)"},
           {R"("born":17)", R"("born":"17")"},
           {R"("zone":"z")", R"("zone":[])"},
           {R"({"service")", R"([{"service")"}}) {
    CHECK_FALSE(
        codec.DecodeServer("i", Replaced(kServer, from, to)).has_value());
  }
  CHECK_FALSE(codec.DecodeServer("i", "").has_value());
  CHECK_FALSE(codec.DecodeServer("i", "\xff\xfe").has_value());
}

// An odd entry of another writer ended processes, or blocked the changes of
// primary of its group as a server that never answers (other operators'
// report).
TEST_CASE("directory codec: an odd entry is not a server") {
  const directory_json_codec codec;
  for (const auto& [from, to] :
       std::initializer_list<std::pair<std::string, std::string>>{
           {R"("10.0.0.9:80")", R"("10.0.0.9:70000")"},
           {R"("10.0.0.9:80")", R"("10.0.0.9:65536")"},
           {R"("10.0.0.9:80")", R"("10.0.0.9:0")"},
           {R"("10.0.0.9:80")", R"("10.0.0.9:-1")"},
           {R"("10.0.0.9:80")", R"("10.0.0.9:80x")"},
           {R"("10.0.0.9:80")", R"("999.0.0.9:80")"},
           {R"("10.0.0.9:80")", R"("database:80")"},
           {R"("slots":2)", R"("slots":1e300)"},
           {R"("slots":2)", R"("slots":-1e300)"},
           {R"("slots":2)", R"("slots":4294967297)"},
           {R"("slots":2)", R"("slots":2147483647)"},
           {R"("slots":2)", R"("slots":18446744073709551615)"},
           {R"("slots":2)", R"("slots":99999999999999999999999)"},
           {R"("slots":2)", R"("slots":1e999)"},
           {R"("born":17)", R"("born":1e300)"},
           {R"("seq":4)", R"("seq":-1e300)"},
           {R"("zone":"z")", R"("zone":"z z")"},
           {R"("service":"g")", R"("service":"g\r\nQUERY")"}}) {
    const std::string odd = Replaced(kServer, from, to);
    CHECK_MESSAGE(!codec.DecodeServer("i", odd).has_value(), odd);
  }
  CHECK_FALSE(codec.DecodeServer("i 1", kServer).has_value());
  CHECK_FALSE(codec.DecodeServer("i\r\n", kServer).has_value());
  CHECK_FALSE(codec.DecodeServer("", kServer).has_value());
}

TEST_CASE("directory codec: a deeply nested entry is not a server") {
  const directory_json_codec codec;
  for (const std::size_t depth : {40, 20000}) {
    const std::string nested =
        std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(codec.DecodeServer("i", nested).has_value());
    CHECK_FALSE(codec
                    .DecodeServer("i", Replaced(kServer, R"("seq":4)",
                                                R"("seq":4,"more":)" + nested))
                    .has_value());
  }
}

TEST_CASE("directory codec: numbers of a configuration that are too large") {
  const directory_json_codec codec;
  const auto table = codec.DecodeRoutes(
      R"({"version":7,"routes":[{"name":"r1","host":"d1","service":"g",)"
      R"("route-type":"primary","timeout-ms":1e300,"target-latency-ms":9000000000000,"priority":4294967296}],)"
      R"("services":[{"name":"g","max-conns":4294967296}]})");
  REQUIRE(table.has_value());
  CHECK(table->Find("d1")->statement_timeout ==
        plantaintiller::core::route().statement_timeout);
  CHECK(table->Find("d1")->latency_objective ==
        plantaintiller::core::route().latency_objective);
  CHECK(table->Find("d1")->priority == plantaintiller::core::route().priority);
  CHECK(table->groups.at("g").max_connections ==
        plantaintiller::core::group_settings().max_connections);
}

TEST_CASE("directory codec: the configuration") {
  const directory_json_codec codec;
  const auto table = codec.DecodeRoutes(
      R"({"version":7,"routes":[)"
      R"({"name":"r1","host":"d1","route-type":"read_own_writes","timeout-ms":800,)"
      R"("target-latency-ms":500,"priority":2,"service":"g","max-staleness-ms":2500},)"
      R"({"name":"r2","host":"d2","route-type":"strange","service":"g"},"x"],)"
      R"("services":[{"name":"g","max-conns":16,"sync-replicas":1}],)"
      R"("limits":{"tx-idle-ms":3000}})");
  REQUIRE(table.has_value());
  CHECK(table->version == 7);
  CHECK(table->Find("d2") == nullptr);
  REQUIRE(table->Find("d1") != nullptr);
  CHECK(table->Find("d1")->kind == consistency::kReadYourWrites);
  CHECK(table->Find("d1")->max_staleness == milliseconds(2500));
  CHECK(table->groups.at("g").max_connections == 16);
  CHECK(table->groups.at("g").confirming_replicas == 1);
  CHECK_FALSE(codec.DecodeRoutes(R"({"routes":[]})").has_value());
  CHECK_FALSE(codec.DecodeRoutes(R"({"version":"7","routes":[]})").has_value());
  CHECK_FALSE(codec.DecodeRoutes("no json").has_value());
}

}  // namespace platform
