"""Tests that promotions reach the platform in the order of their tokens.

The platform of these tests carries out a promotion whatever its token, so an order
that arrives after its claim has lapsed undoes the change of another instance and
the commits that were acknowledged since.
"""

import asyncio
import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import soak  # noqa: E402


class UnfencedWorld(soak.World):
    """Three instances whose ways to the promotion service can be cut one by one."""

    def __init__(self, folder):
        soak.Instance.fencing = False
        super().__init__(1, 3, folder)
        soak.Instance.fencing = True

    async def start_all(self):
        await self.platform.start()
        await self.group.start()
        for proxy in self.proxies + self.platform_proxies():
            await proxy.start()
        self.publish()
        self.tasks = [asyncio.create_task(each) for each in (
            self.group.replicate(), self.platform.report_servers())]
        for each in self.instances:
            each.start()
        self.tasks += [asyncio.create_task(soak.Caller(self, "orders").run())
                       for _ in range(4)]

    def end(self):
        for each in self.tasks:
            each.cancel()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    async def wait_until(self, condition, seconds=40):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise AssertionError("the awaited state was not reached")
            await asyncio.sleep(0.01)

    async def change_leader(self):
        """Lets the leader drain until another server leads."""
        leader = self.group.leader()
        leader.draining = True
        await self.wait_until(lambda: self.group.leader() not in (None, leader))
        leader.draining = False

    def log_of(self, instance):
        return pathlib.Path(instance.log.name).read_text()

    def promotions_ordered(self, instance):
        return self.log_of(instance).count("groups event=promote ")


class PromotionOrderTest(unittest.TestCase):
    def run_world(self, scenario):
        with tempfile.TemporaryDirectory(prefix="order-") as folder:
            world = UnfencedWorld(pathlib.Path(folder))

            async def run():
                try:
                    await world.start_all()
                    await scenario(world)
                finally:
                    world.end()

            try:
                asyncio.run(run())
            finally:
                for each in world.instances:
                    each.stop()
            promotions = [line for each in world.instances
                          for line in world.log_of(each).splitlines()
                          if line.startswith(("groups event=claimed",
                                              "groups event=promot"))]
            return world.checker.violations, "\n".join(promotions)

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

        violations, promotions = self.run_world(scenario)
        self.assertEqual(violations, [], promotions)


if __name__ == "__main__":
    unittest.main()
