#include "plantaintiller/gateway/claim_codec.h"

#include <doctest/doctest.h>

namespace plantaintiller::gateway {

TEST_CASE("claim_codec: a claim is read as it was written") {
  replication::group_claim claim;
  claim.token = 12;
  claim.holder = "entry-1-77";
  claim.nonce = (std::uint64_t{1} << 52) - 1;
  claim.claimed_at = core::milliseconds(123456);
  claim.candidates.emplace();
  (*claim.candidates)["i-1"] = core::milliseconds(7);
  (*claim.candidates)["i-2"] = core::milliseconds(123);
  const auto read = DecodeClaim(EncodeClaim(claim));
  REQUIRE(read.has_value());
  CHECK(read->token == claim.token);
  CHECK(read->holder == claim.holder);
  CHECK(read->nonce == claim.nonce);
  CHECK(read->claimed_at == claim.claimed_at);
  CHECK(!read->settled);
  CHECK(read->candidates == claim.candidates);
}

TEST_CASE("claim_codec: a row of an earlier release names no candidates") {
  const auto read = DecodeClaim(
      R"({"token":3,"holder":"h","nonce":1,"claimed_at_ms":5,"settled":true})");
  REQUIRE(read.has_value());
  CHECK(!read->candidates.has_value());
  CHECK(read->settled);
}

TEST_CASE("claim_codec: candidates of another type make a row unreadable") {
  CHECK(!DecodeClaim(R"({"token":3,"holder":"h","nonce":1,)"
                     R"("claimed_at_ms":5,"candidates":{"i-1":"x"}})"));
  CHECK(!DecodeClaim(R"({"token":3,"holder":"h","nonce":1,)"
                     R"("claimed_at_ms":5,"candidates":"i-1"})"));
}

}  // namespace plantaintiller::gateway
