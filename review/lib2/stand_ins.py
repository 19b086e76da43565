"""Stand-ins for the cases of the second review: store, databases, clients, entries.

They follow SYSTEM.md, PROTOCOL.md and DEPLOY.md of the users' platform. All
addresses are loopback addresses; every process that is started here is ended
by `World.stop`.
"""

import asyncio
import base64
import functools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE = "tenancy-core"
MAX_LINE = 1 << 20


def free_ports(count, host=HOST):
    """Returns the first of `count` consecutive ports that are free now."""
    while True:
        first = random.randrange(15000, 32000)
        opened = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    each = socket.socket(socket.AF_INET, kind)
                    opened.append(each)
                    each.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for each in opened:
                each.close()


class Record:
    """Writes record.txt: what was sent, answered and run, with the time in ms."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        since = (time.monotonic() - self.started) * 1000
        self.file.write(f"{since:9.1f} {text}\n")
        self.file.flush()


async def read_line(reader):
    """Reads one line, which is terminated by CR LF and by nothing else."""
    line = await reader.readuntil(b"\r\n")
    return line[:-2].decode("utf-8", "surrogateescape")


class Store:
    """The platform's store and its call for promotions (HTTP/1.1, JSON)."""

    def __init__(self, world):
        self.world = world
        self.rows, self.changes, self.version = {}, [], 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.tokens = {}

    async def start(self):
        # Two ports for each entry: those of the store and of the promotions.
        count = 2 * self.world.entries_count
        self.port = free_ports(count)
        self.servers = [await asyncio.start_server(
            functools.partial(self.serve, 1 + n // 2), HOST, self.port + n)
            for n in range(count)]

    def put(self, table, part, key, value):
        self.version += 1
        row = {"table": table, "part": part, "key": key,
               "value": base64.b64encode(value).decode(),
               "row-version": self.version}
        self.rows[(table, part, key)] = row
        self.wake(row)

    def remove(self, table, part, key):
        row = self.rows.pop((table, part, key), None)
        if row is not None:
            self.version += 1
            self.wake({**row, "row-version": self.version, "removed": True})

    def wake(self, row):
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, entry, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {}
                for each in head[1:]:
                    name, _, value = each.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = json.loads(await reader.readexactly(size)) if size else {}
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, headers, body)
                if "table=servers" in target and "rows" in answer:
                    answer = {**answer, "rows": [self.world.shown(row, entry)
                                                  for row in answer["rows"]]}
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                             f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def envelope(self, rows):
        return {"rows": rows, "truncated": False, "row-version": self.version,
                "now-ms": int((time.monotonic() - self.started) * 1000)}

    async def answer(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if method == "POST" and url.path == "/promote":
            return self.promote(headers, body), {}
        if url.path == "/-/rows-get":
            rows = [row for (table, part, key), row in sorted(self.rows.items())
                    if table == query["table"] and part == query.get("part", "")
                    and key >= query.get("from", "")
                    and ("target" not in query or key < query["target"])]
            return 200, self.envelope(rows)
        if url.path == "/-/rows-parts":
            parts = sorted({part for table, part, _ in self.rows
                            if table == query["table"]})
            return 200, {**self.envelope([]), "parts": parts}
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        if method == "POST" and url.path == "/-/rows-tx":
            return self.transact(body)
        return 404, {}

    async def feed(self, query):
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            rows = [row for row in self.changes if row["table"] == query["table"]
                    and row["row-version"] > int(query["after"])]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, self.envelope(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        current = []
        holds = True
        for row in body.get("expected", []):
            found = self.rows.get((row["table"], row["part"], row["key"]))
            holds &= (found["row-version"] if found else 0) == row["row-version"]
            current += [found] if found else []
        if not holds:
            return 412, self.envelope(current)
        for row in body.get("writes", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
            self.put(row["table"], row["part"], row["key"],
                     base64.b64decode(row["value"]))
        for row in body.get("remove", []):
            self.remove(row["table"], row["part"], row["key"])
        return 200, self.envelope([])

    def promote(self, headers, body):
        token = int(headers["x-plantaintiller-fencing-token"])
        self.world.record.write(f"promote {body} token {token}")
        if token < self.tokens.get(body["service"], 0):
            return 409
        server = self.world.databases.get(body["id"])
        if server is None or not server.alive:
            return 409
        self.tokens[body["service"]] = token
        self.world.on_promote(server)
        return 200


class Database:
    """One database server of the group."""

    def __init__(self, world, number):
        self.world, self.id = world, f"i-{number}{random.randrange(16**7):07x}"
        self.primary, self.term = number == 0, 3
        self.alive = True
        self.held_term = 0
        self.log = []  # (term, item, data, query id)
        self.connections = set()
        self.draining = False
        # Receives nothing while this is set.
        self.deaf = False

    async def start(self):
        self.port = free_ports(1)
        self.born = int(time.time() * 1000)
        await self.open()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port,
                                                 limit=2 * MAX_LINE)

    def end(self):
        """The process ends: all connections are reset."""
        self.alive = False
        self.server.close()
        for each in list(self.connections):
            each.transport.abort()

    async def come_back(self):
        """Starts again with its log, as a replica if another one leads now."""
        newest = max(each.term for each in self.world.databases.values())
        if newest > self.term:
            self.primary, self.term = False, newest
        await self.open()
        self.alive, self.held_term = True, 0

    def position(self):
        return f"{self.log[-1][0] if self.log else 0}.{len(self.log)}"

    def has(self, position):
        term, number = (int(part) for part in position.split("."))
        return (self.log[-1][0] if self.log else 0, len(self.log)) >= (term, number)

    def row(self):
        return json.dumps({
            "service": SERVICE, "address": f"{HOST}:{self.port}", "zone": "z1",
            "version": "v1", "slots": 4, "cold-remaining-ms": 0,
            "state": "draining" if self.draining else "ready",
            "db-role": "primary" if self.primary else "replica", "seq": 1,
            "born": self.born}).encode()

    async def serve(self, reader, writer):
        session = Session(self, writer)
        self.connections.add(writer)
        try:
            await session.run(reader)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Session:
    """One connection to a database."""

    counter = 0

    def __init__(self, database, writer):
        self.database, self.writer = database, writer
        self.values, self.prepared = {}, {}
        self.state, self.writes, self.plain = "I", [], False
        Session.counter += 1
        self.name = f"{database.id}/{Session.counter}"

    def send(self, *lines):
        text = "".join(line + "\r\n" for line in lines)
        self.writer.write(text.encode("utf-8", "surrogateescape"))

    async def run(self, reader):
        words = (await read_line(reader)).split(" ")
        if words[0] != "START" or words[1] != SERVICE or (
                len(words) > 3 and words[3] != self.database.id):
            self.send(f"ERROR WRONGNODE {self.database.id}")
            return
        self.send(f"READY I {self.database.position()}")
        while True:
            line = await read_line(reader)
            verb, _, rest = line.partition(" ")
            if verb == "TERMINATE":
                return
            query, _, text = rest.partition(" ")
            if verb != "QUERY" or not query:
                self.send("ERROR MALFORMED message", f"READY {self.state} "
                          f"{self.database.position()}")
                continue
            answer = await self.execute(query, text)
            self.send(*answer, f"READY {self.state} {self.database.position()}")
            await self.writer.drain()

    async def execute(self, query, text):
        database, world = self.database, self.database.world
        original = text
        verb, _, rest = text.partition(" ")
        if verb == "WAITLSN":
            position, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            if not database.has(position):
                return ["ERROR LAGGING behind"]
        if query != "-":
            world.on_run(self, query, text)
        elif verb not in ("PAUSE", "STATUS"):
            world.record.write(f"database {self.name} gets - {original!r}")
        if self.state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED the transaction failed"]
        if (self.state == "T" and self.plain and not database.primary
                and verb not in ("ROLLBACK", "COMMIT")):
            self.state = "E"
            return [f"ERROR READONLY {database.id}"]
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return [f"ERROR NOSTMT {name}"]
            verb, shape = self.prepared[name]
            world.on_execute(self, query, shape)
        if verb == "READ":
            await asyncio.sleep(0.004)
            found = [data for _, item, data, _ in database.log if item == rest]
            return [f"DATAROW {found[-1] if found else '-'}",
                    f"COMPLETE r.{database.id}.{query}"]
        if verb == "WRITE":
            if not database.primary:
                return [f"ERROR READONLY {database.id}"]
            await asyncio.sleep(0.004)
            item, _, data = rest.partition(" ")
            if self.state == "T":
                self.writes.append((query, item, data))
                return [f"COMPLETE w.{database.id}.{query}"]
            return await self.commit(query, [(query, item, data)])
        return await self.execute_other(query, verb, rest)

    async def execute_other(self, query, verb, rest):
        database = self.database
        if verb == "BEGIN":
            if self.state != "I":
                return ["ERROR MALFORMED in a transaction"]
            if rest != "READ" and not database.primary:
                return [f"ERROR READONLY {database.id}"]
            self.state, self.writes, self.plain = "T", [], rest != "READ"
            return ["COMPLETE -"]
        if verb in ("COMMIT", "ROLLBACK"):
            if self.state == "I":
                return ["ERROR MALFORMED no transaction"]
            writes, failed = self.writes, self.state == "E"
            self.state, self.writes = "I", []
            if verb == "ROLLBACK":
                return ["COMPLETE -"]
            if failed or (writes and not database.primary):
                return [f"ERROR READONLY {database.id}"]
            if writes:
                return await self.commit(query, writes)
            return [f"COMPLETE c.{database.id}.{query}"]
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return ["COMPLETE -"]
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
            return ["COMPLETE -"]
        if verb == "DEALLOC":
            self.prepared.pop(rest, None)
            return ["COMPLETE -"]
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return ["COMPLETE -"]
        if verb == "PAUSE":
            if int(rest) > database.term and not database.primary:
                database.held_term = max(database.held_term, int(rest))
            return self.status()
        if verb == "RESUME":
            database.held_term = 0
            return self.status()
        if verb == "DEMOTE":
            if database.primary and database.term < int(rest):
                database.primary = False
            return self.status()
        if verb == "STATUS":
            return self.status()
        return ["ERROR MALFORMED unknown"]

    def status(self):
        each = self.database
        role = "primary" if each.primary else "replica"
        return [f"DATAROW {role} {each.term} {each.position()} {each.held_term} 8 0 "
                f"{len(each.connections)}", "COMPLETE -"]

    async def commit(self, query, writes):
        database, world = self.database, self.database.world
        for write, item, data in writes:
            database.log.append((database.term, item, data, write))
            world.on_commit(self, write, item, data)
        size = len(database.log)
        # One replica has received it before the commit is acknowledged.
        term = database.term
        while not any(each is not database and each.alive and each.term == term
                      and len(each.log) >= size
                      for each in world.databases.values()):
            if not database.primary or not database.alive:
                raise ConnectionError("the lead was lost before the commit was received")
            await asyncio.sleep(0.002)
        return [f"COMPLETE c.{database.id}.{query}"]


class Entry:
    """One entry instance, started with the command of the deploy file."""

    def __init__(self, world, number):
        self.name = f"front-z1-{number}"
        # Ports are the same on all machines.
        host = self.host = f"127.0.{world.network}.{number}"
        base = world.entry_port
        self.front, self.ready = base, base + 1
        self.path = world.folder / f"{self.name}.toml"
        self.path.write_text(f"""
node = "{self.name}"
role = "entry"
machine-class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "z1"
region = "r1"
port-range = [{base + 3}, {base + 6}]
seeds = ["127.0.{world.network}.1:{base + 2}"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
z1 = "r1"
[listen]
front = "{host}:{base}"
ready = "{host}:{base + 1}"
control = "{host}:{base + 2}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4200
[bounds]
drain-ms = 7000
grace-s = 6
config-apply-ms = 3000
require-fencing = true
[platform]
address = "{HOST}:{world.store.port + 2 * number - 2}"
form = "table"
[cloud]
address = "{HOST}:{world.store.port + 2 * number - 1}"
duties = ["promotion"]
""")
        self.log_path = world.folder / f"{self.name}.log"

    def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text().split("[roles.entry]")[1]
        command = deploy.split('run = "')[1].split('"')[0].split(" ")
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "LANG": "C",
                 "PLANTAINTILLER_SETTINGS": str(self.path)})

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()

    def terminate(self):
        """Planned stop: SIGTERM. The platform starts the process again."""
        self.process.send_signal(signal.SIGTERM)


class World:
    """A small deployment. Subclasses judge what the databases run."""

    entries_count = 2

    def __init__(self, record):
        self.record = record
        self.tasks, self.databases, self.entries = [], {}, []
        # Ids of the writes that were acknowledged to their clients.
        self.acknowledged = []
        self.broken = []
        self.runs = []  # (query id, text) in the order in which they were run

    def on_run(self, session, query, text):
        self.runs.append((query, text))
        self.record.write(f"database {session.name} runs {query} {text!r}")

    def on_execute(self, session, query, shape):
        self.record.write(f"database {session.name} executes for {query} {shape!r}")

    def on_commit(self, session, query, item, data):
        self.record.write(f"database {session.name} commits {query} {item!r} {data!r}")

    promotion_s = 0.3

    def shown(self, row, _entry):
        """Returns the row of a database as one entry reads it."""
        return row

    def on_promote(self, server):
        asyncio.get_running_loop().call_later(self.promotion_s, self.complete_promotion, server)

    def complete_promotion(self, server):
        if server.alive and not server.primary:
            kept = {query for _, _, _, query in server.log}
            lost = [each for each in self.acknowledged if each not in kept]
            self.record.write(f"{server.id} leads from now on, its log ends at "
                              f"{server.position()}")
            self.broken += [f"LOST: {each} was acknowledged and isn't in the log of "
                            f"{server.id}, which is promoted" for each in lost]
            term = max(each.term for each in self.databases.values()) + 1
            for each in self.databases.values():
                if each.alive:
                    each.primary, each.term, each.held_term = each is server, term, 0
                    each.log = list(server.log)

    def manifest(self):
        routes = [("orders", "primary"), ("portal", "bounded_staleness"),
                  ("ledger", "read_own_writes")]
        return json.dumps({
            "version": 7,
            "routes": [{"name": name, "host": name, "service": SERVICE,
                        "route-type": kind, "timeout-ms": 800,
                        "target-latency-ms": 500, "priority": 1,
                        "max-staleness-ms": 1500} for name, kind in routes],
            "services": [{"name": SERVICE, "max-conns": 16, "sync-replicas": 1}],
            "limits": {"tx-idle-ms": 5000}}).encode()

    async def start(self, folder):
        self.folder = pathlib.Path(folder)
        self.store = Store(self)
        await self.store.start()
        for number in range(3):
            each = Database(self, number)
            await each.start()
            self.databases[each.id] = each
        self.store.put("op", "", "config", self.manifest())
        self.tasks += [asyncio.create_task(self.report()),
                       asyncio.create_task(self.replicate())]
        await asyncio.sleep(0.1)
        self.network = random.randrange(20, 250)
        self.entry_port = free_ports(7, f"127.0.{self.network}.1")
        self.entries = [Entry(self, n) for n in range(1, self.entries_count + 1)]
        for each in self.entries:
            each.start()
        for each in self.entries:
            await self.wait_ready(each)
        self.tasks.append(asyncio.create_task(self.supervise()))

    async def supervise(self):
        """A process that ends is started again after a short delay."""
        while True:
            for each in self.entries:
                if each.process.poll() is not None:
                    self.record.write(f"{each.name} has ended with "
                                      f"{each.process.returncode}")
                    await asyncio.sleep(0.2)
                    each.stop()
                    each.start()
            await asyncio.sleep(0.02)

    async def report(self):
        heard = {}
        while True:
            for each in list(self.databases.values()):
                if each.alive:
                    heard[each.id] = time.monotonic()
                    self.store.put("servers", "", each.id, each.row())
                elif time.monotonic() - heard[each.id] > 3.6:
                    self.store.remove("servers", "", each.id)
            await asyncio.sleep(1.2)

    def tell(self, database):
        """Writes the entry of a database at once; a change is reported at once."""
        self.record.write(f"{database.id} reports {database.row().decode()}")
        self.store.put("servers", "", database.id, database.row())

    def leave(self, database):
        """A database that was draining ends; it removes its entry."""
        self.record.write(f"{database.id} has left, its log ended at "
                          f"{database.position()}")
        database.end()
        del self.databases[database.id]
        self.store.remove("servers", "", database.id)

    async def replicate(self):
        while True:
            primary = next((each for each in self.databases.values()
                            if each.primary and each.alive), None)
            for each in self.databases.values():
                if primary and each is not primary and each.alive and (
                        not each.held_term and not each.deaf
                        and each.term == primary.term):
                    each.log = list(primary.log)
            await asyncio.sleep(0.008)

    async def wait_ready(self, entry):
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection(entry.host, entry.ready)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{entry.name} is not ready")

    async def stop(self):
        for each in self.tasks:
            each.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for each in self.entries:
            each.stop()


class Client:
    """A client session. Every message is sent as PROTOCOL.md says."""

    def __init__(self, world, name):
        self.world, self.name, self.count = world, name, 0

    async def open(self, entry, database):
        self.reader, self.writer = await asyncio.open_connection(
            entry.host, entry.front, limit=2 * MAX_LINE)
        await self.send(f"START {database} {self.name}")
        return await self.answer(2)

    async def send(self, line):
        self.world.record.write(f"client {self.name} sends {line!r}")
        self.writer.write(line.encode("utf-8", "surrogateescape") + b"\r\n")
        await self.writer.drain()

    async def answer(self, timeout=5):
        """Returns the lines of one answer, up to READY; short if it broke off."""
        lines = []
        try:
            while not lines or not lines[-1].startswith("READY"):
                lines.append(await asyncio.wait_for(read_line(self.reader), timeout))
        except asyncio.TimeoutError:
            lines.append("(no answer)")
        except (OSError, asyncio.IncompleteReadError):
            lines.append("(closed)")
        self.world.record.write(f"client {self.name} gets {lines}")
        return lines

    async def ask(self, text, timeout=5):
        """Sends one request. Returns its id and the lines of the answer."""
        self.count += 1
        query = f"{random.randrange(16**16):016x}"
        await self.send(f"QUERY {query} {text}")
        return query, await self.answer(timeout)

    def close(self):
        self.writer.transport.abort()


def run_case(world_class, scenario, folder):
    """Runs a case. Returns the exit code: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def play():
        world = world_class(record)
        with tempfile.TemporaryDirectory(dir=os.environ.get('KEEP_IN')) as temporary:
            try:
                await world.start(temporary)
                return await asyncio.wait_for(scenario(world, trouble), 100)
            finally:
                await world.stop()

    try:
        broken = asyncio.run(play())
    except Exception as problem:  # The case could not run.
        record.write(f"could not run: {problem!r}")
        return 2
    for each in broken:
        record.write(f"BROKEN {each}")
    record.write("result: " + ("broken" if broken else "held"))
    return 1 if broken else 0
