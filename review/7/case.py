"""LOST: commits that a joining database confirms while a promotion is under way."""

import asyncio
import base64
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import stand_ins  # noqa: E402


class Path:
    """The way from one entry to one database; forwards nothing while it is cut."""

    def __init__(self, database):
        self.database, self.cut = database, False

    async def start(self):
        self.port = stand_ins.free_ports(1)
        self.server = await asyncio.start_server(
            self.accept, stand_ins.HOST, self.port)

    async def accept(self, reader, writer):
        try:
            there, back = await asyncio.open_connection(
                stand_ins.HOST, self.database.port)
            await asyncio.gather(self.forward(reader, back),
                                 self.forward(there, writer))
            back.close()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()


class World(stand_ins.World):
    # promote, in ms, of the site: 600.
    promotion_s = 0.6

    def __init__(self, record):
        super().__init__(record)
        self.paths = {}
        self.ordered = asyncio.Event()

    async def connect(self, database):
        for number in range(1, self.entries_count + 1):
            self.paths[number, database.id] = Path(database)
            await self.paths[number, database.id].start()

    def shown(self, row, entry):
        if row["key"] in self.databases and (entry, row["key"]) in self.paths:
            fields = json.loads(base64.b64decode(row["value"]))
            port = self.paths[entry, row["key"]].port
            fields["address"] = f"{stand_ins.HOST}:{port}"
            value = base64.b64encode(json.dumps(fields).encode()).decode()
            return {**row, "value": value}
        return row

    async def report(self):
        for each in list(self.databases.values()):
            await self.connect(each)
        await super().report()

    def on_promote(self, server):
        super().on_promote(server)
        self.ordered.set()


async def write_all(world, entry, number, stop):
    while not stop.is_set():
        client = stand_ins.Client(world, f"c{number}")
        try:
            answer = await client.open(entry, "orders")
            while answer[-1].startswith("READY I") and not stop.is_set():
                query, answer = await client.ask(f"WRITE item{number} 1")
                if answer[0].startswith("COMPLETE"):
                    world.acknowledged.append(query)
                await asyncio.sleep(0.05)
            client.close()
        except OSError:
            pass
        await asyncio.sleep(0.1)


async def scenario(world, trouble):
    stop = asyncio.Event()
    writers = [asyncio.create_task(write_all(world, world.entries[n % 2], n, stop))
               for n in range(8)]
    primary, *replicas = world.databases.values()
    await asyncio.sleep(2)
    if trouble:
        world.record.write(f"{primary.id} can't be reached from {world.entries[0].name}")
        world.paths[1, primary.id].cut = True
        await asyncio.sleep(0.35)
        world.record.write("the replicas receive nothing")
        for each in replicas:
            each.deaf = True
        await asyncio.wait_for(world.ordered.wait(), 4)
        await asyncio.sleep(0.1)
    # A database is replaced as planned; the new one starts first.
    new = stand_ins.Database(world, 3)
    await new.start()
    await world.connect(new)
    world.databases[new.id] = new
    world.tell(new)
    await asyncio.sleep(3)
    world.paths[1, primary.id].cut = False
    for each in replicas:
        each.deaf = False
    replicas[0].draining = not replicas[0].primary
    world.tell(replicas[0])
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*writers)
    return world.broken


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(World, scenario, HERE))
