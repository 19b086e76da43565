"""LOST: acknowledged commits that only a database that left had received."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import stand_ins  # noqa: E402


async def write_all(world, stop):
    """One client writes, in a new session after each failure."""
    number = 0
    while not stop.is_set():
        entry = world.entries[number % len(world.entries)]
        number += 1
        client = stand_ins.Client(world, f"c{number}")
        try:
            answer = await client.open(entry, "orders")
            while answer[-1].startswith("READY I") and not stop.is_set():
                query, answer = await client.ask(f"WRITE item{number} {number}")
                if answer[0].startswith("COMPLETE"):
                    world.acknowledged.append(query)
                elif answer[0].startswith("ERROR INDOUBT"):
                    break
                await asyncio.sleep(0.03)
            client.close()
        except OSError:
            pass
        await asyncio.sleep(0.1)


async def scenario(world, trouble):
    stop = asyncio.Event()
    writer = asyncio.create_task(write_all(world, stop))
    primary, leaving, staying = list(world.databases.values())
    await asyncio.sleep(1)
    # A replica is replaced: the new one starts first, the old one drains.
    new = stand_ins.Database(world, 3)
    await new.start()
    new.log = list(primary.log)
    world.databases[new.id] = new
    world.tell(new)
    await asyncio.sleep(1)
    leaving.draining = True
    world.tell(leaving)
    await asyncio.sleep(5)
    if trouble:
        world.record.write(f"{staying.id} and {new.id} receive nothing for 6.5 s")
        staying.deaf = new.deaf = True
    await asyncio.sleep(2.2)
    world.leave(leaving)
    # The entries are restarted in turn.
    for each in world.entries:
        await asyncio.sleep(0.5)
        world.record.write(f"{each.name} gets SIGTERM")
        each.terminate()
    await asyncio.sleep(1.3)
    if trouble:
        world.record.write(f"{primary.id} crashes, its log ends at "
                           f"{primary.position()}")
        primary.end()
    await asyncio.sleep(2)
    staying.deaf = new.deaf = False
    await asyncio.sleep(5)
    if trouble:
        await primary.come_back()
        world.tell(primary)
        world.record.write(f"{primary.id} is back, its log ends at "
                           f"{primary.position()}")
    await asyncio.sleep(8)
    stop.set()
    await writer
    return world.broken


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(stand_ins.World, scenario, HERE))
