#include "plantaintiller/decisions/group_controller.h"

#include <doctest/doctest.h>

#include <vector>

#include "tests/decisions/recording_actions.h"

namespace plantaintiller::decisions {

namespace {

using core::milliseconds;

constexpr core::database_id kDatabase{1};

struct controller_fixture {
  group_controller_settings settings;
  injected_defects defects;
  recording_actions actions;
  group_controller controller{kDatabase, 2, settings, defects, actions, 1};
  core::time_point now{milliseconds(1000000)};

  // Lets time pass in steps, with the given servers answering.
  void Pass(milliseconds span,
            const std::vector<std::pair<core::slot_number, core::server_state>>&
                answering) {
    for (milliseconds step(0); step < span; step += milliseconds(10)) {
      now += milliseconds(10);
      for (const auto& [slot, state] : answering) {
        controller.OnState(slot, state, now, now);
      }
      controller.OnTick(now);
    }
  }

  void AdoptFirst() {
    core::group_record record;
    record.term = 1;
    record.confirming = core::server_set(0b11);
    record.promotable = record.confirming;
    record.version = 1;
    controller.OnTick(now);
    controller.OnRecordRead(record, now);
  }
};

const core::server_state kPrimaryState{1, {1, 5}, true};
const core::server_state kReplicaState{1, {1, 4}, false};

}  // namespace

TEST_CASE_FIXTURE(controller_fixture, "group_keeper: makes the first record") {
  controller.OnTick(now);
  REQUIRE(actions.reads == 1);
  controller.OnRecordRead(std::nullopt, now);
  REQUIRE(actions.swaps.size() == 1);
  CHECK(actions.swaps[0].term == 1);
  CHECK(actions.swaps[0].version == 0);
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_keeper: promotes past a silent primary") {
  AdoptFirst();
  Pass(milliseconds(500), {{0, kPrimaryState}, {1, kReplicaState}});
  CHECK(actions.swaps.empty());
  Pass(milliseconds(1200), {{1, kReplicaState}});
  REQUIRE_FALSE(actions.swaps.empty());
  CHECK(actions.swaps[0].term == 2);
  CHECK(actions.swaps[0].primary == 1);
  CHECK(actions.swaps[0].promotable == core::server_set(0b10));
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_keeper: a primary that refuses is replaced sooner") {
  AdoptFirst();
  Pass(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  controller.OnConnectionRefused(0, now);
  Pass(milliseconds(150), {{1, kReplicaState}});
  CHECK(actions.swaps.empty());
  Pass(milliseconds(100), {{1, kReplicaState}});
  REQUIRE_FALSE(actions.swaps.empty());
  CHECK(actions.swaps[0].primary == 1);
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_keeper: an answer after a refusal clears it") {
  AdoptFirst();
  Pass(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  controller.OnConnectionRefused(0, now);
  Pass(milliseconds(500), {{0, kPrimaryState}, {1, kReplicaState}});
  CHECK(actions.swaps.empty());
}

TEST_CASE_FIXTURE(
    controller_fixture,
    "group_keeper: a primary that peers hear from is not failed") {
  AdoptFirst();
  Pass(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  for (int n = 0; n < 20; ++n) {
    controller.OnPeerReport(0, now);
    Pass(milliseconds(100), {{1, kReplicaState}});
  }
  CHECK(actions.swaps.empty());
}

// A dead primary's unconfirmed tail once got the last good member taken out.
TEST_CASE_FIXTURE(controller_fixture,
                  "group_keeper: no member is taken out for a dead primary") {
  AdoptFirst();
  Pass(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  controller.OnConfirmationNeeded(5, now);
  Pass(milliseconds(1500), {{1, kReplicaState}});
  REQUIRE_FALSE(actions.swaps.empty());
  CHECK(actions.swaps[0].term == 2);
  CHECK(actions.swaps[0].primary == 1);
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_keeper: takes out a member that holds up answers") {
  AdoptFirst();
  Pass(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  controller.OnConfirmationNeeded(5, now);
  Pass(milliseconds(1500), {{0, kPrimaryState}, {1, kReplicaState}});
  REQUIRE_FALSE(actions.swaps.empty());
  CHECK(actions.swaps[0].term == 1);
  CHECK(actions.swaps[0].confirming == core::server_set(0b01));
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_keeper: a member that follows a stream stays in") {
  AdoptFirst();
  std::uint64_t offset = 10;
  for (int n = 0; n < 400; ++n) {
    offset += 1;
    controller.OnConfirmationNeeded(offset, now);
    Pass(milliseconds(10),
         {{0, {1, {1, offset}, true}}, {1, {1, {1, offset - 3}, false}}});
  }
  CHECK(actions.swaps.empty());
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_keeper: a lost answer is settled by reading back") {
  AdoptFirst();
  Pass(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  Pass(milliseconds(1200), {{1, kReplicaState}});
  REQUIRE(actions.swaps.size() == 1);
  core::group_record applied = actions.swaps[0];
  controller.OnCompareAndSet(compare_and_set_status::kUnknown, std::nullopt,
                             now);
  const int reads_before = actions.reads;
  Pass(milliseconds(500), {{1, kReplicaState}});
  CHECK(actions.reads > reads_before);
  applied.version = 2;
  controller.OnRecordRead(applied, now);
  CHECK(controller.Record().term == 2);
  Pass(milliseconds(100), {{1, kReplicaState}});
  REQUIRE_FALSE(actions.orders.empty());
  CHECK(actions.orders.back().term == 2);
  CHECK(actions.swaps.size() == 1);
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_keeper: older rows change nothing") {
  AdoptFirst();
  core::group_record old = controller.Record();
  old.version = 0;
  old.term = 9;
  controller.OnRecordRead(old, now);
  CHECK(controller.Record().term == 1);
}

}  // namespace plantaintiller::decisions
