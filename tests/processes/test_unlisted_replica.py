"""Tests that a replica which only the store does not see keeps its commits."""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from directed_world import run_world  # noqa: E402


class UnlistedReplicaTest(unittest.TestCase):
    # Instances that started while a replica was not listed promoted the other one,
    # without the commits that only the unlisted one had (LOST, review case 2).
    def test_instances_that_start_wait_for_an_unlisted_replica(self):
        async def scenario(world):
            leader, near, far = world.group.servers
            acknowledged = world.checker.acknowledged
            await world.wait_until(lambda: len(acknowledged) > 50)
            near.cut_from_store = True
            await world.wait_until(
                lambda: ("servers", "", near.name) not in world.platform.rows)
            far.replication_paused = True
            await world.kill_all()
            before = len(acknowledged)
            await world.wait_until(lambda: len(acknowledged) > before + 20)
            leader.crash()
            # Longer than an instance that has just started waits for proofs.
            await asyncio.sleep(4)
            near.cut_from_store = far.replication_paused = False
            await leader.restart()
            before = len(acknowledged)
            await world.wait_until(lambda: len(acknowledged) > before)

        world = run_world(scenario)
        self.assertEqual(world.checker.violations, [], world.promotion_log)


if __name__ == "__main__":
    unittest.main()
