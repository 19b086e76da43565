"""Session values of one client stay on a connection that another client uses."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(os.environ["CASE"]).parent / "lib"))
from world import Client, World, run_case, write_forever  # noqa: E402

ROUTES = [
    {"host": "orders", "route-type": "primary", "timeout-ms": 800,
     "target-latency-ms": 300, "priority": 1},
    {"host": "portal", "route-type": "bounded_staleness", "max-staleness-ms": 1500,
     "timeout-ms": 2000, "target-latency-ms": 600, "priority": 2},
]
# For how long the primary is partitioned from one of the three instances.
CUT_S = 5.0
# Pause between two statements of a transaction; less than tx-idle-ms (3,000).
PAUSE_S = 1.5
# Query id -> session values that were acknowledged to the client that sent it.
acknowledged_values = {}


def check_values(world):
    def on_statement(session, query_id):
        expected = acknowledged_values.get(query_id)
        if expected is not None and session.values != expected:
            world.record.violation(
                f"PINNED {query_id} runs at {session.server.name} with session "
                f"values {session.values}, acknowledged were {expected}")
    world.group.on_statement = on_statement


async def ask(client, values, text):
    query_id = Client.next_id()
    acknowledged_values[query_id] = dict(values)
    return (await client.query(text, query_id))[1]


async def transactions(world, number):
    """A session with values, in transactions of two reads with a pause between."""
    await asyncio.sleep(random.random() * PAUSE_S)
    while True:
        client, values = Client(world.record, f"tx{number}"), {}

        async def set_value(name, value):
            if (await client.query(f"SET {name} {value}"))[1] == "ok":
                values[name] = str(value)

        try:
            await client.connect(world.instances[number % 3], "orders")
            await set_value("zone", f"z{number}")
            for turn in range(1000):
                await client.query("BEGIN")
                if await ask(client, values, "READ item-0") == "ok":
                    await asyncio.sleep(PAUSE_S)
                    await set_value("turn", turn)
                    if await ask(client, values, "READ item-0") == "ok":
                        await ask(client, values, "COMMIT")
                        continue
                await client.query("ROLLBACK")
        except (OSError, asyncio.TimeoutError, ConnectionError):
            pass
        client.close()
        await asyncio.sleep(0.05)


async def reads(world, number):
    """A session without values that reads."""
    while True:
        client = Client(world.record, f"read{number}")
        try:
            await client.connect(world.instances[number % 3], "portal")
            while True:
                await ask(client, {}, "READ item-0")
                await asyncio.sleep(0.06 * random.random())
        except (OSError, asyncio.TimeoutError, ConnectionError):
            pass
        client.close()
        await asyncio.sleep(0.05)


async def play(world, trouble):
    check_values(world)
    await world.start()
    for n in range(3):
        world.spawn(write_forever(world, n, "orders", 0.05))
    for n in range(6):
        world.spawn(transactions(world, n))
        world.spawn(reads(world, n))
    await asyncio.sleep(8)
    for _ in range(2):
        leader = world.group.servers.index(world.group.leader())
        # An instance in another zone than the primary.
        link = world.links[(leader + 1) % 3][leader]
        world.record.write(f"{link.server.name} is cut from one instance: {trouble}")
        link.cut = trouble
        await asyncio.sleep(CUT_S)
        link.cut = False
        await asyncio.sleep(10)


if __name__ == "__main__":
    sys.exit(run_case(lambda path: World(path, ROUTES, links=True), play))
