#include "platform/row_codec.h"

#include <doctest/doctest.h>

namespace platform {

using plantaintiller::store::call_status;
using plantaintiller::store::row;
using plantaintiller::store::row_transaction;

TEST_CASE("row codec: a transaction with its conditions") {
  row_transaction change;
  row claim;
  claim.table = "my";
  claim.part = "p7";
  claim.key = "owner";
  claim.value = "node-1";
  claim.version = 0;
  change.expected.push_back(claim);
  change.writes.push_back(claim);
  CHECK(EncodeTransaction(change) ==
        R"({"expected":[{"table":"my","part":"p7","key":"owner",)"
        R"("row-version":0}],"writes":[{"table":"my","part":"p7",)"
        R"("key":"owner","value":"bm9kZS0x"}],"remove":[]})");
}

TEST_CASE("row codec: rows, and answers that cannot be decoded") {
  const auto answer = DecodeRows(
      200,
      R"({"rows":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x",)"
      R"("row-version":412},{"key":"gone","removed":true},7],)"
      R"("truncated":true,"row-version":530,"now-ms":51230})",
      0);
  CHECK(answer.status == call_status::kDone);
  REQUIRE(answer.rows.size() == 2);
  CHECK(answer.rows[0].value == "node-1");
  CHECK(answer.rows[0].version == 412);
  CHECK(answer.rows[1].removed);
  CHECK(answer.truncated);
  CHECK(answer.newest_version == 530);
  CHECK(answer.now == plantaintiller::core::milliseconds(51230));
  CHECK(DecodeRows(412, R"({"rows":[]})", 0).status == call_status::kConflict);
  CHECK(DecodeRows(410, "", 0).status == call_status::kHistoryUnavailable);
  for (const int status : {403, 429, 503, 507}) {
    CHECK(DecodeRows(status, "{}", 0).status == call_status::kRefused);
  }
  CHECK(DecodeRows(200, "{\"rows\":[", 0).status == call_status::kRefused);
}

TEST_CASE("row codec: versions of a later era are larger than earlier ones") {
  const char* body = R"({"rows":[{"key":"k","value":"","row-version":7}],)"
                     R"("row-version":9})";
  const auto before = DecodeRows(200, body, 0);
  const auto after = DecodeRows(200, R"({"rows":[],"row-version":2})", 1);
  CHECK(after.newest_version > before.newest_version);
  const auto again = DecodeRows(200, body, 1);
  CHECK(again.rows[0].version > before.rows[0].version);
  row_transaction change;
  change.expected.push_back(again.rows[0]);
  CHECK(EncodeTransaction(change).find(R"("row-version":7})") !=
        std::string::npos);
}

// The value of another writer without padding was decoded past the end of its
// buffer; the address sanitizer reports it.
TEST_CASE("row codec: a value without padding fits its buffer") {
  for (const std::size_t size : {54, 55, 58, 59, 62, 63}) {
    const auto answer = DecodeRows(
        200,
        R"({"rows":[{"table":"t","part":"","key":"k","row-version":1,"value":")" +
            std::string(size, 'Q') + R"("}],"row-version":1,"now-ms":1})",
        0);
    REQUIRE(answer.rows.size() == 1);
    CHECK(answer.rows[0].value.size() == size * 3 / 4);
  }
}

}  // namespace platform
