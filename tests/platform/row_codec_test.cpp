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
      R"("truncated":true,"row-version":530,"now-ms":51230})");
  CHECK(answer.status == call_status::kDone);
  REQUIRE(answer.rows.size() == 2);
  CHECK(answer.rows[0].value == "node-1");
  CHECK(answer.rows[0].version == 412);
  CHECK(answer.rows[1].removed);
  CHECK(answer.truncated);
  CHECK(answer.newest_version == 530);
  CHECK(answer.now == plantaintiller::core::milliseconds(51230));
  CHECK(DecodeRows(412, R"({"rows":[]})").status == call_status::kConflict);
  CHECK(DecodeRows(410, "").status == call_status::kHistoryUnavailable);
  for (const int status : {403, 429, 503, 507}) {
    CHECK(DecodeRows(status, "{}").status == call_status::kRefused);
  }
  CHECK(DecodeRows(200, "{\"rows\":[").status == call_status::kRefused);
}

}  // namespace platform
