"""Tests that commits which only a server that just joined has are not passed on."""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from directed_world import run_world  # noqa: E402


class JoiningServerTest(unittest.TestCase):
    # A server that was not listed yet alone confirmed quick commits. Instances passed
    # them on, and a change of leader knew no server that had them (LOST, review case 7).
    def test_commits_that_only_an_unlisted_server_has_are_in_doubt(self):
        async def scenario(world):
            leader, near, far = world.group.servers
            acknowledged = world.checker.acknowledged
            await world.wait_until(lambda: len(acknowledged) > 50)
            # Longer than instances and servers count as new.
            await asyncio.sleep(4)
            near.replication_paused = far.replication_paused = True
            joined = await world.group.add_server(9, f"{world.network}.2.9")
            joined.cut_from_store = True
            await world.add_proxy(joined).start()
            size = len(leader.log)
            await world.wait_until(lambda: len(joined.log) > size + 40)
            known = {entry.query_id for each in (near, far) for entry in each.log}
            world.passed_on = [each for each in acknowledged if each not in known]
            near.replication_paused = far.replication_paused = False
            before = len(acknowledged)
            await world.wait_until(lambda: len(acknowledged) > before + 20)

        world = run_world(scenario)
        self.assertEqual(world.passed_on, [])
        self.assertEqual(world.checker.violations, [], world.promotion_log)


if __name__ == "__main__":
    unittest.main()
