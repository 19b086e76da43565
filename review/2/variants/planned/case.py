"""Restart of all instances while one replica is not listed, then a planned release."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3] / "lib"))
from world import World, run_case, write_forever  # noqa: E402

ROUTES = [{"host": "alloc1", "route-type": "primary", "timeout-ms": 800,
           "target-latency-ms": 300, "priority": 1, "max-staleness-ms": 0}]


async def play(world, trouble):
    primary, near, _ = world.group.servers
    await world.start()
    for number in range(8):
        world.spawn(write_forever(world, number, "alloc1", 0.02))
    await asyncio.sleep(3)
    if trouble:
        # Right after a report, the near replica is partitioned from the store.
        reported = near.last_report
        while near.last_report == reported:
            await asyncio.sleep(0.005)
        world.record.write(
            f"disruption: {near.name} is cut off from the store for 5 s")
        near.cut_from_store = True
        asyncio.get_running_loop().call_later(
            5, lambda: setattr(near, "cut_from_store", False))
        while ("servers", "", near.name) in world.platform.rows:
            await asyncio.sleep(0.005)
        world.record.write("disruption: all instances are killed at the same moment")
        for each in world.instances:
            each.kill()
        await asyncio.sleep(0.1)
        for each in world.instances:
            each.start()
    else:
        await asyncio.sleep(4)
    world.record.write(f"planned: {primary.name} reports that it is draining")
    primary.draining = True
    await asyncio.sleep(7)
    # Its drain time has passed, it exits.
    primary.crash()
    await asyncio.sleep(3)


if __name__ == "__main__":
    sys.exit(run_case(lambda record: World(record, ROUTES), play))
