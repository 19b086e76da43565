"""Clients that send many small requests ahead of the answer to a read.

Writes record.txt. Exit code: 0 the rule held, 1 it was broken, 2 not run.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[2]
os.environ.setdefault("PLANTAINTILLER_BINARY", str(ROOT / "target/plantaintiller"))
sys.path.insert(0, str(ROOT / "tests/soak"))
import soak  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FLOODERS = int(os.environ.get("FLOODERS", "24"))
# As long as no process stands still in the disruptions of the pages (`node_freeze`,
# 4 s at most); the platform asks for the readiness once a second.
HANG_S = 10.0
# Deadline of the route's clients (`portal-view`), after which nobody waits for an
# answer any more.
DEADLINE_S = 8.0
SECONDS = 40.0
# One message each, about 1 MiB together; the system answers them itself.
AHEAD = b"QUERY f1 SET a b\r\n" * 58000
STARTED = time.monotonic()
FILE = open(HERE / "record.txt", "w", encoding="utf-8")


def note(*words):
    print(f"{time.monotonic() - STARTED:8.3f}", *words, file=FILE, flush=True)


class Client(soak.Caller):
    """An ordinary client of one instance, which waits for each answer."""

    answered, unanswered, slowest = 0, 0, 0.0

    async def read_line(self, _seconds):
        return await super().read_line(DEADLINE_S)

    def __init__(self, world, instance):
        super().__init__(world, "portal")
        self.instance = instance

    async def run_session(self):
        async with asyncio.timeout(DEADLINE_S):
            self.reader, self.writer = await asyncio.open_connection(
                self.instance.host, self.instance.ports["front"])
            self.writer.write(b"START portal client\r\n")
            await self.read_line(DEADLINE_S)
        while True:
            query_id = self.next_attempt() + ".1"
            sent = time.monotonic()
            note(f"client sends {query_id} READ shared")
            try:
                async with asyncio.timeout(DEADLINE_S):
                    code = await self.send_query(query_id, "READ shared")
            except asyncio.TimeoutError:
                Client.unanswered += 1
                note(f"client: {query_id} has no answer after its deadline")
                raise ConnectionError("deadline") from None
            took = time.monotonic() - sent
            note(f"client: {query_id} is answered after {took:.2f} s: "
                 f"{code or 'success'}")
            Client.answered += 1
            Client.slowest = max(Client.slowest, took)
            await asyncio.sleep(0.1)


class Probe:
    """Asks for the readiness as the platform does, once a second."""

    longest_gap, answered = 0.0, time.monotonic()

    @classmethod
    def gap_ends(cls):
        now = time.monotonic()
        gap, cls.answered = now - cls.answered, now
        cls.longest_gap = max(cls.longest_gap, gap)
        return gap

    async def run(self, instance):
        Probe.answered = time.monotonic()
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    instance.host, instance.ports["ready"])
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
                line = await reader.readline()
                writer.close()
                note(f"ready probe: {line!r} after {Probe.gap_ends():.2f} s")
            except OSError as problem:
                note(f"ready probe: {problem!r}")
            await asyncio.sleep(1.0)


async def send_ahead(instance, number):
    """Sends a read and, without waiting, small requests; reads all answers."""
    while True:
        reader, writer = None, None
        try:
            reader, writer = await asyncio.open_connection(
                instance.host, instance.ports["front"])
            writer.write(b"START portal ahead\r\n")
            await reader.readline()
            note(f"client {number} sends a read and {len(AHEAD)} bytes behind it")
            writer.write(f"QUERY ahead{number}.{time.monotonic()} READ shared\r\n"
                         .encode() + AHEAD)
            answers = 0
            while answers <= AHEAD.count(b"\n"):
                data = await reader.read(1 << 16)
                if not data:
                    break
                answers += data.count(b"READY")
            note(f"client {number} has received {answers} answers")
        except OSError as problem:
            note(f"client {number}: {problem!r}")
        finally:
            if writer:
                writer.transport.abort()


async def play(world):
    await world.start_standins()
    world.publish()
    tasks = [asyncio.create_task(each) for each in (
        world.group.replicate(), world.platform.report_servers())]
    for each in world.instances:
        each.start()
    await asyncio.sleep(2.5)
    first = world.instances[0]
    tasks.append(asyncio.create_task(Probe().run(first)))
    tasks += [asyncio.create_task(Client(world, first).run()) for _ in range(4)]
    await asyncio.sleep(3)
    if TROUBLE:
        tasks += [asyncio.create_task(send_ahead(first, n)) for n in range(FLOODERS)]
    await asyncio.sleep(SECONDS if TROUBLE else 10.0)
    Probe.gap_ends()
    for each in tasks:
        each.cancel()
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)


def main():
    if not pathlib.Path(os.environ["PLANTAINTILLER_BINARY"]).exists():
        print("target/plantaintiller is missing")
        return 2
    soak.Instance.contracts = [
        "base", "drain", "config", "cost", "recover", "sql", "platform"]
    with tempfile.TemporaryDirectory(prefix="review-hang-") as folder:
        world = soak.World(1, 2, pathlib.Path(folder))
        world.group.repetition_probability = 0.0
        world.group.statement_time = 0.015
        try:
            asyncio.run(play(world))
        finally:
            for each in world.instances:
                each.stop()
    text = (f"ordinary clients: {Client.answered} answered, slowest "
            f"{Client.slowest:.2f} s, {Client.unanswered} without an answer in "
            f"{DEADLINE_S:.0f} s; longest time without a ready answer "
            f"{Probe.longest_gap:.2f} s")
    print(text)
    note(text)
    if Client.answered < 20:
        return 2
    return 1 if Probe.longest_gap >= HANG_S else 0


if __name__ == "__main__":
    sys.exit(main())
