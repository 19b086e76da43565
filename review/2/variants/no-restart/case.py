"""An unlisted replica confirms commits and crashes together with the primary."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3] / "lib"))
from world import World, run_case, write_forever  # noqa: E402

ROUTES = [{"host": "alloc1", "route-type": "primary", "timeout-ms": 800,
           "target-latency-ms": 300, "priority": 1, "max-staleness-ms": 0}]


async def play(world, trouble):
    primary, near, far = world.group.servers
    await world.start()
    for number in range(6):
        world.spawn(write_forever(world, number, "alloc1", 0.03))
    await asyncio.sleep(3)
    if not trouble:
        await asyncio.sleep(16)
        return
    # Right after a report, the near replica is partitioned from the store for 5 s.
    reported = near.last_report
    while near.last_report == reported:
        await asyncio.sleep(0.005)
    world.record.write(f"disruption: {near.name} is cut off from the store for 5 s")
    near.cut_from_store = True
    asyncio.get_running_loop().call_later(
        5, lambda: setattr(near, "cut_from_store", False))
    while ("servers", "", near.name) in world.platform.rows:
        await asyncio.sleep(0.005)
    # All instances have read the list since.
    await asyncio.sleep(1.2)
    world.record.write(f"disruption: {far.name} receives nothing for 6.5 s")
    far.deaf = True
    asyncio.get_running_loop().call_later(
        6.5, lambda: setattr(far, "deaf", False))
    await asyncio.sleep(0.3)
    world.record.write("disruption: two databases crash for 7 s")
    primary.crash()
    near.crash()
    await asyncio.sleep(7)
    await primary.restart()
    await near.restart()
    await asyncio.sleep(3)


if __name__ == "__main__":
    # As on wirnik-diag: no fencing, 300 ms a promote.
    sys.exit(run_case(
        lambda record: World(record, ROUTES, fencing=False, promote_s=0.3), play))
