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

  // Advances time in steps of 10 ms, in which only the given servers answer.
  void Advance(
      milliseconds span,
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

  void AdoptFirstRecord() {
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

TEST_CASE_FIXTURE(controller_fixture,
                  "group_controller: proposes the first record") {
  controller.OnTick(now);
  REQUIRE(actions.reads == 1);
  controller.OnRecordRead(std::nullopt, now);
  REQUIRE(actions.proposals.size() == 1);
  CHECK(actions.proposals[0].term == 1);
  CHECK(actions.proposals[0].version == 0);
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_controller: replaces an unresponsive primary") {
  AdoptFirstRecord();
  Advance(milliseconds(500), {{0, kPrimaryState}, {1, kReplicaState}});
  CHECK(actions.proposals.empty());
  Advance(milliseconds(1200), {{1, kReplicaState}});
  REQUIRE_FALSE(actions.proposals.empty());
  CHECK(actions.proposals[0].term == 2);
  CHECK(actions.proposals[0].primary == 1);
  CHECK(actions.proposals[0].promotable == core::server_set(0b10));
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_controller: refused connections shorten the timeout") {
  AdoptFirstRecord();
  Advance(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  controller.OnConnectionRefused(0, now);
  Advance(milliseconds(150), {{1, kReplicaState}});
  CHECK(actions.proposals.empty());
  Advance(milliseconds(100), {{1, kReplicaState}});
  REQUIRE_FALSE(actions.proposals.empty());
  CHECK(actions.proposals[0].primary == 1);
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_controller: an answer resets refused connections") {
  AdoptFirstRecord();
  Advance(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  controller.OnConnectionRefused(0, now);
  Advance(milliseconds(500), {{0, kPrimaryState}, {1, kReplicaState}});
  CHECK(actions.proposals.empty());
}

TEST_CASE_FIXTURE(
    controller_fixture,
    "group_controller: a primary that answers peers is not failed") {
  AdoptFirstRecord();
  Advance(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  for (int n = 0; n < 20; ++n) {
    controller.OnPeerReport(0, now);
    Advance(milliseconds(100), {{1, kReplicaState}});
  }
  CHECK(actions.proposals.empty());
}

// Guards against the removal of the last healthy member: an offset that a
// failed primary left unconfirmed was counted as that member's delay.
TEST_CASE_FIXTURE(
    controller_fixture,
    "group_controller: no member is removed if the primary fails") {
  AdoptFirstRecord();
  Advance(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  controller.OnConfirmationNeeded(5, now);
  Advance(milliseconds(1500), {{1, kReplicaState}});
  REQUIRE_FALSE(actions.proposals.empty());
  CHECK(actions.proposals[0].term == 2);
  CHECK(actions.proposals[0].primary == 1);
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_controller: removes a member that delays answers") {
  AdoptFirstRecord();
  Advance(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  controller.OnConfirmationNeeded(5, now);
  Advance(milliseconds(1500), {{0, kPrimaryState}, {1, kReplicaState}});
  REQUIRE_FALSE(actions.proposals.empty());
  CHECK(actions.proposals[0].term == 1);
  CHECK(actions.proposals[0].confirming == core::server_set(0b01));
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_controller: keeps a member that follows a stream") {
  AdoptFirstRecord();
  std::uint64_t offset = 10;
  for (int n = 0; n < 400; ++n) {
    offset += 1;
    controller.OnConfirmationNeeded(offset, now);
    Advance(milliseconds(10),
            {{0, {1, {1, offset}, true}}, {1, {1, {1, offset - 3}, false}}});
  }
  CHECK(actions.proposals.empty());
}

TEST_CASE_FIXTURE(controller_fixture,
                  "group_controller: reads the record after a lost answer") {
  AdoptFirstRecord();
  Advance(milliseconds(100), {{0, kPrimaryState}, {1, kReplicaState}});
  Advance(milliseconds(1200), {{1, kReplicaState}});
  REQUIRE(actions.proposals.size() == 1);
  core::group_record applied = actions.proposals[0];
  controller.OnCompareAndSet(compare_and_set_status::kUnknown, std::nullopt,
                             now);
  const int reads_before = actions.reads;
  Advance(milliseconds(500), {{1, kReplicaState}});
  CHECK(actions.reads > reads_before);
  applied.version = 2;
  controller.OnRecordRead(applied, now);
  CHECK(controller.Record().term == 2);
  Advance(milliseconds(100), {{1, kReplicaState}});
  REQUIRE_FALSE(actions.role_commands.empty());
  CHECK(actions.role_commands.back().term == 2);
  CHECK(actions.proposals.size() == 1);
}

TEST_CASE_FIXTURE(controller_fixture, "group_controller: ignores older rows") {
  AdoptFirstRecord();
  core::group_record old = controller.Record();
  old.version = 0;
  old.term = 9;
  controller.OnRecordRead(old, now);
  CHECK(controller.Record().term == 1);
}

}  // namespace plantaintiller::decisions
