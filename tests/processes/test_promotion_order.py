"""Tests that promotions reach the platform in the order of their tokens.

The platform of these tests carries out a promotion whatever its token, so an order
that arrives after its claim has lapsed undoes the change of another instance and
the commits that were acknowledged since.
"""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from directed_world import run_world  # noqa: E402


class PromotionOrderTest(unittest.TestCase):
    # A promotion that was held up on its way was carried out after that of the
    # instance which had taken over, and undid it (wirnik-diag, rules ONE and LOST).
    def test_held_up_promotion_does_not_arrive_after_a_later_one(self):
        async def scenario(world):
            await world.wait_until(lambda: len(world.checker.acknowledged) > 50)
            # Each instance promotes once, so that its connection stays open.
            for chosen in world.instances:
                for each in world.instances:
                    if each is not chosen:
                        each.store_proxy.blocked_directions.update(("up", "down"))
                await world.change_leader()
                for each in world.instances:
                    each.store_proxy.blocked_directions.clear()
                await asyncio.sleep(3)
            ordered = {each.name: world.promotions_ordered(each)
                       for each in world.instances}
            # The next order of the first two is held up.
            for each in world.instances[:2]:
                each.promotion_proxy.blocked_directions.update(("up", "down"))
            world.instances[2].store_proxy.blocked_directions.update(("up", "down"))
            leader = world.group.leader()
            leader.draining = True
            await world.wait_until(lambda: any(
                world.promotions_ordered(each) > ordered[each.name]
                for each in world.instances[:2]))
            for each in world.instances[:2]:
                each.store_proxy.blocked_directions.update(("up", "down"))
            world.instances[2].store_proxy.blocked_directions.clear()
            await world.wait_until(
                lambda: world.group.leader() not in (None, leader))
            await asyncio.sleep(0.5)
            for each in world.instances:
                each.store_proxy.blocked_directions.clear()
                each.promotion_proxy.blocked_directions.clear()
            await asyncio.sleep(2)

        world = run_world(scenario, fencing=False)
        self.assertEqual(world.checker.violations, [], world.promotion_log)


if __name__ == "__main__":
    unittest.main()
