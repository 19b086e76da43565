"""A small deployment of real instances for tests that choose each fault."""

import asyncio
import itertools
import pathlib
import signal
import tempfile
import time

import soak


class DirectedWorld(soak.World):
    """Three instances, one group and callers, with faults that a test chooses."""

    # Each world of a process has ports of its own: those of an earlier one may
    # still be in use.
    seeds = itertools.count(101, 2)

    def __init__(self, folder, fencing=True):
        soak.Instance.fencing = fencing
        super().__init__(next(self.seeds), 3, folder)
        soak.Instance.fencing = True
        self.tasks = []

    async def start_all(self):
        await self.start_standins()
        self.publish()
        self.tasks += [asyncio.create_task(each) for each in (
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

    async def kill_all(self):
        """Kills all instances at the same moment and starts them again."""
        for each in self.instances:
            each.send_signal(signal.SIGKILL)
        for each in self.instances:
            each.process.wait()
            each.start()

    def log_of(self, instance):
        return pathlib.Path(instance.log.name).read_text()

    def promotions_ordered(self, instance):
        return self.log_of(instance).count("groups event=promote ")


def run_world(scenario, fencing=True):
    """Runs a scenario, a coroutine that gets the world. Returns the world."""
    with tempfile.TemporaryDirectory(prefix="directed-") as folder:
        world = DirectedWorld(pathlib.Path(folder), fencing)

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
        world.promotion_log = "\n".join(
            line for each in world.instances
            for line in world.log_of(each).splitlines()
            if line.startswith(("groups event=claimed", "groups event=promot")))
        return world
