"""A planned stop cuts off statements of open transactions without an answer."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(os.environ["CASE"]).parent / "lib"))
from world import Client, World, run_case  # noqa: E402

ROUTES = [
    {"host": "ledger", "route-type": "read_own_writes", "max-staleness-ms": 2500,
     "timeout-ms": 800, "target-latency-ms": 500, "priority": 2},
]
SESSIONS = 60
STATEMENTS = 12
# Bounds of the settings: grace-s, loss-slack-ms.
GRACE_S = 6.0
LOSS_SLACK_S = 0.2


class Session(Client):
    """A session that checks that each request is answered."""

    stopped_at = None
    passed_on = {}

    async def ask(self, text):
        query_id = self.next_id()
        sent = self.record.now()
        try:
            return (await self.query(text, query_id))[1]
        except (ConnectionError, OSError):
            self.check(query_id, text, sent)
            raise

    def check(self, query_id, text, sent):
        if Session.stopped_at is None:
            return
        after = sent - Session.stopped_at
        ended = self.record.now()
        passed_on = query_id in Session.passed_on
        counts = passed_on or ended - sent > LOSS_SLACK_S
        # At work in the last sixth of grace-s on a request of the first 3 s.
        excused = after <= 3.0 and ended - Session.stopped_at >= GRACE_S * 5 / 6
        self.record.write(
            f"client {self.name} {query_id} {text}: sent {after:.3f} s after SIGTERM, "
            f"cut off after {ended - sent:.3f} s, passed on: {passed_on}")
        if counts and not excused and ended - sent < 0.8:
            self.record.violation(
                f"LOST {query_id} {text}: no answer, sent {after:.3f} s after "
                f"SIGTERM, cut off {ended - sent:.3f} s later")


async def transactions(world, number):
    """Transactions of 12 statements with pauses."""
    await asyncio.sleep(4 * random.random())
    while True:
        client = Session(world.record, f"tx{number}")
        try:
            await client.connect(world.instances[0], "ledger")
            while True:
                await client.query("BEGIN")
                for n in range(STATEMENTS):
                    text = (f"WRITE item-{number} {n}" if n % 4 == 3
                            else f"READ item-{number}")
                    if await client.ask(text) != "ok":
                        await client.query("ROLLBACK")
                        break
                    await asyncio.sleep(0.6 * random.random())
                else:
                    query_id = Client.next_id()
                    if await client.ask("COMMIT") == "ok":
                        world.group.acknowledged[query_id] = world.record.now()
        except (OSError, asyncio.TimeoutError, ConnectionError):
            pass
        client.close()
        await asyncio.sleep(0.3)


async def play(world, trouble):
    world.group.work_s, world.group.slots = 0.03, 3
    world.group.max_connections = 108

    def on_statement(session, query_id):
        Session.passed_on[query_id] = session.server.name
    world.group.on_statement = on_statement
    await world.start()
    stopped = world.instances[0]
    for n in range(SESSIONS):
        world.spawn(transactions(world, n))
    for _ in range(6):
        await asyncio.sleep(6)
        if trouble:
            stopped.terminate()
            Session.stopped_at = world.record.now()
        await asyncio.sleep(GRACE_S + 0.1)
        if trouble:
            if stopped.process.poll() is None:
                stopped.kill()
            Session.stopped_at = None
            stopped.start()
            await stopped.wait_until_ready()


if __name__ == "__main__":
    sys.exit(run_case(lambda path: World(path, ROUTES), play))
