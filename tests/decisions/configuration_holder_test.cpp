#include "plantaintiller/decisions/configuration_holder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

namespace plantaintiller::decisions {

TEST_CASE("configuration_holder: only newer versions are adopted") {
  configuration_holder holder;
  for (const std::uint64_t version : {3, 1, 7, 7, 6, 9, 2}) {
    const std::uint64_t before = holder.Version();
    const auto offered = std::make_shared<core::configuration>();
    offered->version = version;
    CHECK(holder.Offer(offered, false) == (version > before));
    CHECK(holder.Version() == std::max(before, version));
  }
  CHECK_FALSE(holder.Offer(nullptr, false));
}

}  // namespace plantaintiller::decisions
