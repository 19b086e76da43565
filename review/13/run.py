"""Databases that fail part of their requests, also those that set session values.

Writes record.txt. Exit code: 0 the rule held, 1 it was broken, 2 not run.
"""

import asyncio
import os
import pathlib
import random
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
os.environ.setdefault("PLANTAINTILLER_BINARY", str(ROOT / "target/plantaintiller"))
sys.path.insert(0, str(ROOT / "tests/soak"))
import database_group  # noqa: E402
import soak  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# One database of three, 0.4 of its requests, as `kinds` names for srv_grey.
FAILED_SHARE = 0.45
SECONDS = 6.5
CLIENTS = 12


class Log:
    def __init__(self):
        self.file = open(HERE / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def add(self, *words):
        print(f"{time.monotonic() - self.started:8.3f}", *words, file=self.file)


LOG = Log()
# Id of a query -> the values that its client's session has been acknowledged.
EXPECTED = {}
BROKEN = []
FAILED = {"SET": 0, "other": 0}
SERVED = [0]


class Session(database_group.Session):
    """A connection to a database that fails part of its requests."""

    number = 0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        Session.number += 1
        self.number = Session.number

    async def execute(self, query_id, text):
        where = f"{self.server.name} connection {self.number}"
        if self.server.fails and random.random() < FAILED_SHARE:
            kind = "SET" if text.startswith(("SET", "RESET")) else "other"
            FAILED[kind] += 1
            LOG.add(where, f"refuses {query_id} {text!r}: BUSY")
            return ["ERROR BUSY shed"]
        answer = await super().execute(query_id, text)
        if not text.startswith("PAUSE"):
            LOG.add(where, f"ran {query_id} {text!r}: {answer[-1]}")
        return answer


def check_values(session, query_id):
    """Called for each statement that a database runs."""
    if query_id not in EXPECTED:
        return
    SERVED[0] += 1
    if session.values != EXPECTED[query_id]:
        text = (f"PINNED: {session.server.name} connection {session.number} runs "
                f"{query_id} with the values {session.values}, its client was "
                f"acknowledged {EXPECTED[query_id]}")
        BROKEN.append(text)
        LOG.add(text)


class Client(soak.Caller):
    """A session with values of its own that reads, and opens a new one later."""

    def __init__(self, world, database, number):
        super().__init__(world, database)
        self.number = number

    async def run_session(self):
        host, port = self.world.choose_entry_address()
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(f"START {self.database} client{self.number}\r\n".encode())
        if not (await self.read_line(2)).startswith(b"READY"):
            raise ConnectionError("no session")
        values = {}
        for name in ("zone", f"own{self.number % 3}"):
            value = f"v{self.number}"
            if await self.ask(f"SET {name} {value}", values) is not None:
                raise ConnectionError("SET refused")
            values[name] = value
        for _ in range(20):
            verb = ("READ shared" if self.database != "orders"
                    else f"WRITE item{self.number} x")
            await self.ask(verb, values)
            await asyncio.sleep(0.01 + random.random() * 0.03)
        raise ConnectionError("done")

    async def ask(self, text, values):
        query_id = self.next_attempt() + ".1"
        if not text.startswith("SET"):
            EXPECTED[query_id] = dict(values)
        LOG.add(f"client {self.number} sends {query_id} {text!r}")
        code = await self.send_query(query_id, text)
        LOG.add(f"client {self.number} is answered {query_id}: {code or 'success'}")
        return code


async def play(world):
    world.group.on_statement = check_values
    for each in world.group.servers:
        each.fails = False
    await world.start_standins()
    world.publish()
    tasks = [asyncio.create_task(each) for each in (
        world.group.replicate(), world.platform.report_servers())]
    for each in world.instances:
        each.start()
    await asyncio.sleep(2.5)
    routes = ["portal", "ledger", "orders"]
    tasks += [asyncio.create_task(Client(world, routes[n % 3], n).run())
              for n in range(CLIENTS)]
    await asyncio.sleep(3.0)
    if TROUBLE:
        LOG.add("trouble begins: one database fails part of its requests")
        world.group.servers[1].fails = True
    await asyncio.sleep(SECONDS)
    world.group.servers[1].fails = False
    LOG.add("trouble ends")
    await asyncio.sleep(1.0)
    for each in tasks:
        each.cancel()
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)


def main():
    if not pathlib.Path(os.environ["PLANTAINTILLER_BINARY"]).exists():
        print("target/plantaintiller is missing")
        return 2
    database_group.Session = Session
    soak.Instance.contracts = [
        "base", "drain", "config", "cost", "recover", "health", "pool", "sql",
        "platform"]
    with tempfile.TemporaryDirectory(prefix="review-13-") as folder:
        world = soak.World(1, 3, pathlib.Path(folder))
        world.group.repetition_probability = 0.0
        world.group.statement_time = 0.003
        try:
            asyncio.run(play(world))
        finally:
            for each in world.instances:
                each.stop()
    print(f"{SERVED[0]} statements run, {FAILED['SET']} SET or RESET refused, "
          f"{FAILED['other']} others refused, {len(BROKEN)} broken")
    LOG.add(f"{SERVED[0]} statements run, {len(BROKEN)} broken")
    LOG.file.close()
    if SERVED[0] < 200 or (TROUBLE and FAILED["SET"] == 0):
        return 2
    return 1 if BROKEN else 0


if __name__ == "__main__":
    sys.exit(main())
