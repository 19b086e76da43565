#include "plantaintiller/standin/replica_log.h"

#include <doctest/doctest.h>

namespace plantaintiller::standin {

TEST_CASE("replica_log: promotion appends one entry and is idempotent") {
  replica_log<int> log;
  CHECK(log.Promote(2));
  CHECK(log.Promote(2));
  CHECK_FALSE(log.Promote(1));
  CHECK(log.LastPosition() == core::log_position{2, 1});
  log.Append(5);
  CHECK(log.State() == core::server_state{2, {2, 2}, true});
}

TEST_CASE("replica_log: a follower drops entries that the primary lacks") {
  replica_log<int> old_primary;
  old_primary.Promote(1);
  old_primary.Append(10);
  replica_log<int> replica = old_primary;
  replica.Follow(1, 2);
  old_primary.Append(11);
  old_primary.Append(12);
  CHECK(replica.Promote(2));
  const std::size_t common =
      replica_log<int>::CommonPrefix(old_primary, replica);
  CHECK(common == 2);
  CHECK(old_primary.IsNewerTerm(2));
  old_primary.Follow(2, common);
  CHECK(old_primary.LastPosition() == core::log_position{1, 2});
  CHECK_FALSE(old_primary.State().is_primary);
  CHECK_FALSE(old_primary.Promote(2));
}

}  // namespace plantaintiller::standin
