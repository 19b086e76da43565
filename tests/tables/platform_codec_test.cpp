#include "plantaintiller/tables/platform_codec.h"

#include <doctest/doctest.h>

namespace plantaintiller::tables {

using decisions::compare_and_set_status;

// A refusal of the platform counted as applied, so that an instance believed in
// a record that was never written.
TEST_CASE("compare-and-set: only a success counts as applied") {
  CHECK(CompareAndSetStatusOf(200) == compare_and_set_status::kApplied);
  CHECK(CompareAndSetStatusOf(409) == compare_and_set_status::kConflict);
  CHECK(CompareAndSetStatusOf(404) == compare_and_set_status::kConflict);
  for (const int refused : {302, 400, 401, 403, 413, 429, 503}) {
    CHECK(CompareAndSetStatusOf(refused) ==
          compare_and_set_status::kUnavailable);
  }
  for (const int unknown : {500, 502, 504}) {
    CHECK(CompareAndSetStatusOf(unknown) == compare_and_set_status::kUnknown);
  }
}

}  // namespace plantaintiller::tables
