#include "plantaintiller/decisions/confirmation_tracker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace plantaintiller::decisions {

namespace {

using core::milliseconds;

core::time_point At(int ms) {
  return core::time_point(milliseconds(1000000 + ms));
}

core::group_record Record(core::term_number term, std::uint8_t confirming) {
  core::group_record record;
  record.term = term;
  record.confirming = core::server_set(confirming);
  record.promotable = record.confirming;
  return record;
}

/// Reference implementation that keeps every report of the term and scans all
/// of them for each question.
class reference_tracker {
 public:
  explicit reference_tracker(core::server_set confirming)
      : confirming_(confirming) {}

  void Add(core::slot_number slot, std::uint64_t offset, core::time_point at) {
    reports_.push_back({slot, offset, at});
  }
  std::uint64_t ConfirmedOffset() const {
    std::uint64_t floor = UINT64_MAX;
    for (core::slot_number slot = 0; slot < core::kMaxSlots; ++slot) {
      std::uint64_t best = 0;
      for (const report& each : reports_) {
        best = each.slot == slot ? std::max(best, each.offset) : best;
      }
      floor = confirming_.Contains(slot) ? std::min(floor, best) : floor;
    }
    return floor;
  }
  bool ProvesFreshness(std::uint64_t offset, core::time_point since) const {
    for (core::slot_number slot = 0; slot < core::kMaxSlots; ++slot) {
      const bool probed_since =
          std::ranges::any_of(reports_, [&](const report& each) {
            return each.slot == slot && each.at >= since;
          });
      if (confirming_.Contains(slot) && !probed_since) {
        return false;
      }
    }
    return std::ranges::any_of(reports_, [&](const report& each) {
      return each.slot == 0 && each.at >= since && each.offset <= offset;
    });
  }

 private:
  struct report {
    core::slot_number slot;
    std::uint64_t offset;
    core::time_point at;
  };
  core::server_set confirming_;
  std::vector<report> reports_;
};

}  // namespace

TEST_CASE("confirmation_tracker: never proves more than the reference") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    confirmation_tracker tracker;
    tracker.AdoptRecord(Record(1, 0b111));
    reference_tracker reference(core::server_set(0b111));
    std::uint64_t primary = 1;
    int now = 0;
    int proved = 0;
    for (int step = 0; step < 300; ++step) {
      now += static_cast<int>(random() % 40);
      primary += random() % 3;
      const auto slot = static_cast<core::slot_number>(random() % 3);
      const std::uint64_t behind = slot == 0 ? 0 : random() % 4;
      const std::uint64_t offset = primary > behind ? primary - behind : 0;
      tracker.OnState(slot, {1, {1, offset}, slot == 0}, At(now));
      reference.Add(slot, offset, At(now));
      CHECK(tracker.ConfirmedOffset() == reference.ConfirmedOffset());
      const std::uint64_t queried_offset = primary - random() % 3;
      const core::time_point since = At(now - static_cast<int>(random() % 500));
      const bool fresh = tracker.ProvesFreshness(queried_offset, since);
      // The tracker keeps fewer samples, so it may prove less, but never more.
      CHECK((!fresh || reference.ProvesFreshness(queried_offset, since)));
      proved += fresh ? 1 : 0;
    }
    CHECK(proved > 0);
  }
}

TEST_CASE("confirmation_tracker: reports of another term do not count") {
  confirmation_tracker tracker;
  tracker.AdoptRecord(Record(2, 0b11));
  tracker.OnState(0, {2, {2, 9}, true}, At(0));
  tracker.OnState(1, {1, {1, 30}, false}, At(0));
  CHECK(tracker.ConfirmedOffset() == 0);
  CHECK_FALSE(tracker.IsConfirmed(2, 9));
  tracker.OnState(1, {2, {2, 9}, false}, At(1));
  CHECK(tracker.IsConfirmed(2, 9));
  CHECK_FALSE(tracker.IsConfirmed(1, 9));
  tracker.AdoptRecord(Record(3, 0b11));
  CHECK(tracker.ConfirmedOffset() == 0);
}

TEST_CASE("confirmation_tracker: shrinking the set confirms more") {
  confirmation_tracker tracker;
  tracker.AdoptRecord(Record(1, 0b11));
  tracker.OnState(0, {1, {1, 5}, true}, At(0));
  CHECK(tracker.ConfirmedOffset() == 0);
  tracker.AdoptRecord(Record(1, 0b01));
  CHECK(tracker.ConfirmedOffset() == 5);
}

}  // namespace plantaintiller::decisions
