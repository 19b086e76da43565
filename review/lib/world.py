"""Stand-ins of a small deployment: platform, database group, entry instances, clients.

Everything runs on loopback addresses and the real clock. The stand-ins follow
PROTOCOL.md; where it is silent they behave like a sound platform or server. All
that was sent, answered and run is written to a record file.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target/plantaintiller"
# Error codes that promise that nothing of the attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
HEARTBEAT_S = 1.2

SETTINGS = """
node = "{name}"
role = "entry"
machine-class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "{zone}"
region = "{region}"
port-range = [{peer}, {last}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
perth-north = "perth"
perth-south = "perth"
bunbury-a = "bunbury"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-window-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 7000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
downgrade-slack-ms = 250
max-skew-ms = 12000
recovery-s = 12
require-fencing = {fencing}
thaw-slack-ms = 300
[platform]
address = "{platform}:{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-timeout-ms = 8.0
partition-writes-s = 150
max-row-bytes = 65536
across = false
history-s = 20
max-blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
[cloud]
address = "{platform}:{cloud}"
rate-per-s = 50.0
duties = ["promotion"]
duty-per-s = 50.0
"""


class Record:
    """Writes what happened, with the seconds since the start, to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.violations = []

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def violation(self, text):
        self.violations.append(text)
        self.write("BROKEN " + text)

    def close(self):
        self.file.close()


class Entry:
    """One committed write in a log."""

    __slots__ = ("term", "number", "query_id", "item", "data")

    def __init__(self, term, number, query_id, item, data):
        self.term, self.number, self.query_id = term, number, query_id
        self.item, self.data = item, data


class Server:
    """One database of the group."""

    def __init__(self, group, name, host, port, zone, delay_s):
        self.group, self.name, self.host, self.port = group, name, host, port
        self.zone, self.delay_s = zone, delay_s
        self.term, self.is_leader, self.alive = 1, False, True
        self.log, self.held_term = [], 0
        # Receives no entries of the log while set.
        self.deaf = False
        # Reports do not reach the store while set.
        self.cut_from_store = False
        self.draining = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers, self.listener = set(), None
        self.last_report = None
        # Nothing reaches it and nothing leaves it while this is not set.
        self.light = asyncio.Event()
        self.light.set()
        self.free_slots = None

    def position(self):
        last = self.log[-1] if self.log else None
        return f"{last.term if last else 0}.{len(self.log)}"

    def key(self):
        return (self.log[-1].term if self.log else 0, len(self.log))

    def has_position(self, text):
        term, number = (int(part) for part in text.split("."))
        return self.key() >= (term, number)

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.host, self.port)

    def crash(self):
        """Ends the process of the database; its log stays."""
        self.group.record.write(f"server {self.name} crashes at {self.position()}")
        self.alive = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def work(self):
        """Occupies one of the slots, if their number is limited."""
        if self.group.slots is None:
            await asyncio.sleep(self.group.work_s)
            return
        if self.free_slots is None:
            self.free_slots = asyncio.Semaphore(self.group.slots)
        async with self.free_slots:
            await asyncio.sleep(self.group.work_s)

    def go_dark(self):
        """Its machine is unreachable; its process and its connections go on."""
        self.group.record.write(f"server {self.name} goes dark at {self.position()}")
        self.light.clear()

    def end_dark(self):
        self.group.record.write(f"server {self.name} is reachable again")
        self.light.set()

    async def restart(self):
        """Comes back with its log, as a replica if another one was promoted."""
        leader = self.group.leader()
        self.held_term = 0
        if self.is_leader and self.group.term > self.term:
            self.is_leader = False
        if leader not in (None, self):
            self.is_leader = False
            self.term = leader.term
        self.alive = True
        await self.start()
        self.group.record.write(f"server {self.name} is back at {self.position()}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await Session(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Session:
    """One connection to a database."""

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.values, self.prepared = {}, {}
        self.transaction, self.read_only, self.writes = False, False, []
        # Whether the open transaction has failed.
        self.failed = False

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    async def run(self):
        server = self.server
        words = (await self.reader.readline()).decode().split()
        await server.light.wait()
        if words[:1] != ["START"] or len(words) < 3:
            return
        if words[1] != server.group.name or (
                len(words) > 3 and words[3] != server.name):
            self.send(f"ERROR WRONGNODE {server.name}")
            await self.writer.drain()
            return
        if len(server.writers) > server.group.max_connections:
            self.send("ERROR CONNLIMIT full")
            await self.writer.drain()
            return
        self.send(f"READY I {server.position()}")
        while line := (await self.reader.readline()).decode().rstrip("\r\n"):
            await server.light.wait()
            verb, _, rest = line.partition(" ")
            if verb != "QUERY":
                return
            query_id, _, text = rest.partition(" ")
            answer = await self.execute(query_id, text)
            await server.light.wait()
            if not server.alive:
                return
            if self.transaction and answer[-1].startswith("ERROR READONLY"):
                self.failed = True
            state = "I" if not self.transaction else "E" if self.failed else "T"
            self.send(*answer, f"READY {state} {server.position()}")
            await self.writer.drain()

    async def execute(self, query_id, text):
        verb, _, rest = text.partition(" ")
        if verb == "WAITLSN":
            position, _, text = rest.partition(" ")
            if not self.server.has_position(position):
                return ["ERROR LAGGING " + self.server.name]
            verb, _, rest = text.partition(" ")
        handler = getattr(self, "on_" + verb.lower(), None)
        if handler is None:
            return ["ERROR MALFORMED unknown"]
        if verb not in ("COMMIT", "ROLLBACK") and self.transaction:
            if self.failed:
                return ["ERROR MALFORMED the transaction failed"]
            if self.lost_lead():
                # The answer to any statement of such a transaction.
                return self.read_only_refusal()
        self.server.group.on_statement(self, query_id)
        return await handler(query_id, rest)

    async def on_set(self, _id, rest):
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return ["COMPLETE -"]

    async def on_prepare(self, _id, rest):
        name, access, shape = rest.split(" ", 2)
        self.prepared[name] = (access, shape)
        return ["COMPLETE -"]

    async def on_reset(self, _id, _rest):
        self.values, self.prepared = {}, {}
        return ["COMPLETE -"]

    def read_only_refusal(self):
        return [f"ERROR READONLY {self.server.name}"]

    async def on_begin(self, _id, rest):
        if rest != "READ" and not self.server.is_leader:
            return self.read_only_refusal()
        self.transaction, self.read_only, self.writes = True, rest == "READ", []
        self.failed = False
        return ["COMPLETE -"]

    async def on_rollback(self, _id, _rest):
        if not self.transaction:
            return ["ERROR MALFORMED no transaction"]
        self.transaction, self.writes = False, []
        return ["COMPLETE -"]

    def lost_lead(self):
        return (self.transaction and not self.read_only
                and not self.server.is_leader)

    async def on_read(self, query_id, rest):
        server = self.server
        if self.lost_lead():
            return self.read_only_refusal()
        await server.work()
        server.group.record.write(
            f"server {server.name} runs {query_id} READ {rest} at {server.position()}")
        server.group.on_read(server, query_id)
        found = [each.data for each in server.log if each.item == rest]
        return [f"DATAROW {found[-1] if found else '-'}",
                f"COMPLETE {server.name}.{query_id}"]

    async def on_write(self, query_id, rest):
        server = self.server
        if not server.is_leader:
            return self.read_only_refusal()
        await server.work()
        if not server.is_leader:
            return self.read_only_refusal()
        item, _, data = rest.partition(" ")
        server.group.record.write(f"server {server.name} runs {query_id} WRITE {rest}")
        if self.transaction:
            self.writes.append((query_id, item, data))
            return [f"COMPLETE {server.name}.{query_id}"]
        return await self.commit(query_id, [(query_id, item, data)])

    async def on_execute(self, query_id, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self.prepared:
            return ["ERROR NOSTMT " + name]
        writes = self.prepared[name][0] == "WRITE"
        return await (self.on_write if writes else self.on_read)(
            query_id, arguments)

    async def on_commit(self, query_id, _rest):
        if not self.transaction:
            return ["ERROR MALFORMED no transaction"]
        writes, lost = self.writes, self.lost_lead()
        self.transaction, self.writes = False, []
        if writes and lost:
            return self.read_only_refusal()
        if not writes:
            return [f"COMPLETE {self.server.name}.{query_id}"]
        return await self.commit(query_id, writes)

    async def commit(self, query_id, writes):
        server = self.server
        for write_id, item, data in writes:
            server.log.append(
                Entry(server.term, len(server.log) + 1, write_id, item, data))
        size, term = len(server.log), server.term
        for other in server.group.servers:
            if other is not server:
                server.group.send_log(server, other)
        if not await server.group.wait_for_replica(server, term, size):
            raise ConnectionError("the lead was lost before a replica had the commit")
        server.group.record.write(
            f"server {server.name} acknowledges {query_id} at {server.position()}")
        return [f"COMPLETE {server.name}.{query_id}"]

    def status(self):
        server = self.server
        role = "primary" if server.is_leader else "replica"
        return [f"DATAROW {role} {server.term} {server.position()} "
                f"{server.held_term} 0 0 {len(server.writers)}", "COMPLETE -"]

    async def on_status(self, _id, _rest):
        return self.status()

    async def on_pause(self, _id, rest):
        server = self.server
        if not server.is_leader and int(rest) > server.group.term:
            if server.held_term < int(rest):
                server.group.record.write(f"server {server.name} is held for {rest}")
            server.held_term = max(server.held_term, int(rest))
        return self.status()

    async def on_resume(self, _id, _rest):
        self.server.held_term = 0
        return self.status()

    async def on_demote(self, _id, rest):
        server = self.server
        if server.is_leader and int(rest) > server.term:
            server.is_leader = False
            server.group.record.write(f"server {server.name} is demoted")
        return self.status()


class Group:
    """A primary and its replicas; sync-replicas is 1."""

    def __init__(self, name, record, promote_s):
        self.name, self.record, self.promote_s = name, record, promote_s
        self.servers, self.max_connections, self.work_s = [], 16, 0.003
        # Statements that one database runs at a time; without a limit if nothing.
        self.slots = None
        self.term, self.highest_token = 1, 0
        # Whether a promotion with a lower token than one seen is refused.
        self.fencing = True
        # Acknowledged to a client: query id -> time.
        self.acknowledged = {}
        self.on_read = lambda server, query_id: None
        self.on_statement = lambda session, query_id: None

    def add(self, name, host, port, zone, delay_s):
        server = Server(self, name, host, port, zone, delay_s)
        server.is_leader = not self.servers
        self.servers.append(server)
        return server

    def leader(self):
        leading = [s for s in self.servers if s.alive and s.is_leader]
        return max(leading, key=lambda s: s.term, default=None)

    async def start(self):
        for server in self.servers:
            await server.start()

    async def replicate(self, server):
        """Repeats for one replica what it has missed, for instance while held."""
        while True:
            leader = self.leader()
            if (leader is not None and leader is not server and server.alive
                    and leader.light.is_set()):
                if server.key() != leader.key():
                    self.send_log(leader, server)
            await asyncio.sleep(0.05)

    def send_log(self, leader, server):
        """Sends the leader's log as it is now; it arrives one link delay later."""
        asyncio.get_running_loop().call_later(
            server.delay_s, self.receive_log, server, leader.term, list(leader.log))

    def receive_log(self, server, term, log):
        receives = (server.alive and server.light.is_set()
                    and not server.deaf and not server.held_term
                    and not server.is_leader and term == self.term)
        if not receives:
            return
        is_newer = server.term < term or len(log) > len(server.log)
        server.term = term
        if is_newer:
            server.log = log

    async def wait_for_replica(self, leader, term, size):
        while leader.alive and leader.is_leader and leader.term == term:
            for server in self.servers:
                if (server is not leader and server.alive
                        and server.term == term and len(server.log) >= size):
                    return True
            await asyncio.sleep(0.001)
        return False

    def promote(self, name, holder, token):
        """Accepts or refuses a promotion; returns the HTTP status."""
        server = next((s for s in self.servers if s.name == name), None)
        status = 200
        outdated = self.fencing and token < self.highest_token
        unreachable = server is None or not server.alive or not server.light.is_set()
        if outdated or unreachable:
            status = 409
        self.record.write(
            f"platform promote {name} holder {holder} token {token}: {status}")
        if status == 200:
            self.highest_token = max(self.highest_token, token)
            if not server.is_leader:
                asyncio.get_running_loop().call_later(
                    self.promote_s, self.take_lead, server)
        return status

    def take_lead(self, server):
        """The promoted server leads the next term with what it has received."""
        if not server.alive or server.is_leader:
            return
        self.term += 1
        kept = {entry.query_id for entry in server.log}
        lost = [each for each in self.acknowledged if each not in kept]
        self.record.write(
            f"server {server.name} leads term {self.term} from {server.position()}")
        for other in self.servers:
            other.is_leader, other.held_term = False, 0
            if other.alive and other is not server and len(other.log) > len(server.log):
                other.log = list(server.log)
        server.is_leader, server.term = True, self.term
        for query_id in lost:
            self.record.violation(
                f"LOST {query_id}, acknowledged to the client at "
                f"{self.acknowledged[query_id]:.4f}, is not in the log of "
                f"{server.name}, which was promoted")


class Platform:
    """The store and the promotion service."""

    def __init__(self, record, group, host, port):
        self.record, self.group, self.host, self.port = record, group, host, port
        self.rows, self.changes, self.version = {}, [], 0
        self.changed = asyncio.Event()
        self.down = False
        # Address at which an instance calls the store -> addresses that it is
        # given for the databases, those of its own links.
        self.views = {}

    async def start(self):
        await asyncio.start_server(self.serve, self.host, self.port)
        for host in self.views:
            await asyncio.start_server(self.serve, host, self.port)
        await asyncio.start_server(self.serve, self.host, self.port + 1)

    def put(self, table, part, key, value):
        self.version += 1
        row = {"table": table, "part": part, "key": key,
               "value": base64.b64encode(value.encode()).decode(),
               "row-version": self.version}
        self.rows[(table, part, key)] = row
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, part, key):
        if self.rows.pop((table, part, key), None):
            self.version += 1
            self.record.write(f"store removes {table}/{key}")

    async def report(self, server):
        """A database's reports; its entry goes after three intervals of silence."""
        while True:
            if (server.alive and server.light.is_set()
                    and not server.cut_from_store and not self.down):
                server.sequence += 1
                if ("servers", "", server.name) not in self.rows:
                    self.record.write(f"store lists {server.name}")
                server.last_report = time.monotonic()
                self.put("servers", "", server.name, json.dumps({
                    "service": self.group.name,
                    "address": f"{server.host}:{server.port}",
                    "zone": server.zone, "version": "v1", "slots": 2,
                    "state": "draining" if server.draining else "ready",
                    "cold-remaining-ms": 0,
                    "db-role": "primary" if server.is_leader else "replica",
                    "seq": server.sequence, "born": server.born}))
                role = (server.is_leader, server.draining)
                for _ in range(120):
                    await asyncio.sleep(HEARTBEAT_S / 120)
                    # A change is reported at once.
                    if role != (server.is_leader, server.draining):
                        break
            else:
                await asyncio.sleep(HEARTBEAT_S if server.alive else 0.05)

    async def expire(self):
        while True:
            now = time.monotonic()
            for server in self.group.servers:
                silent = (server.last_report is not None
                          and now - server.last_report > 3 * HEARTBEAT_S)
                if silent:
                    self.remove("servers", "", server.name)
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        try:
            while await self.answer_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        writer.close()

    async def answer_one(self, reader, writer):
        words = (await reader.readline()).decode().split()
        if len(words) < 3:
            return False
        headers = {}
        while header := (await reader.readline()).decode().strip():
            name, _, value = header.partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size) if size else b"{}"
        await asyncio.sleep(0.004)
        if self.down:
            status, answer = 503, {}
        else:
            status, answer = await self.answer(words[1], body, headers)
            view = self.views.get(writer.get_extra_info("sockname")[0])
            if view is not None and "rows" in answer:
                answer["rows"] = [seen_by(row, view) for row in answer["rows"]]
        text = json.dumps(answer).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nStore-Era: 0\r\n"
                     f"Content-Type: application/json\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()
        return True

    async def answer(self, target, body, headers):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/promote":
            request = json.loads(body)
            return self.group.promote(
                request["id"], headers["x-plantaintiller-lease-holder"],
                int(headers["x-plantaintiller-fencing-token"])), {}
        if url.path == "/-/rows-get":
            rows = [row for (table, part, key), row in sorted(self.rows.items())
                    if table == query["table"] and part == query.get("part", "")
                    and key >= query.get("from", "")]
            return 200, self.envelope(rows)
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        if url.path == "/-/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    def envelope(self, rows):
        return {"rows": rows, "truncated": False, "row-version": self.version,
                "now-ms": int(self.record.now() * 1000) + 1000000}

    async def feed(self, query):
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        after = int(query["after"])
        while True:
            rows = [row for row in self.changes
                    if row["table"] == query["table"] and row["row-version"] > after]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return 200, self.envelope(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    def transact(self, request):
        for row in request["expected"]:
            key = (row["table"], row["part"], row["key"])
            current = self.rows.get(key)
            if (current["row-version"] if current else 0) != row["row-version"]:
                return 412, self.envelope([current] if current else [])
        for row in request["writes"]:
            self.put(row["table"], row["part"], row["key"],
                     base64.b64decode(row["value"]).decode())
        return 200, self.envelope([])


def seen_by(row, view):
    """The row of a database with the address of an instance's own link to it."""
    if row["table"] != "servers" or "value" not in row:
        return row
    entry = json.loads(base64.b64decode(row["value"]))
    entry["address"] = view.get(entry["address"], entry["address"])
    return dict(row, value=base64.b64encode(json.dumps(entry).encode()).decode())


class Instance:
    """One entry instance, a process of the project."""

    def __init__(self, record, number, host, zone, ports, seeds, folder, platform,
                 fencing=True):
        self.record, self.host, self.front = record, host, ports["front"]
        self.ready_port = ports["ready"]
        self.name = f"front-{zone}-{number}"
        self.settings = folder / f"{self.name}.toml"
        self.log = open(folder / f"{self.name}.log", "ab")
        self.settings.write_text(SETTINGS.format(
            name=self.name, host=host, zone=zone,
            region="bunbury" if zone.startswith("bunbury") else "perth",
            seeds=", ".join(f'"{each}"' for each in seeds), platform=platform,
            fencing="true" if fencing else "false", **ports))
        self.process = None

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""),
                       "PLANTAINTILLER_SETTINGS": str(self.settings)}
        self.process = subprocess.Popen(
            [str(BINARY), "entry"], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.write(f"instance {self.name} is started")

    def kill(self):
        self.record.write(f"instance {self.name} is killed")
        self.process.kill()
        self.process.wait()

    def terminate(self):
        self.record.write(f"instance {self.name} gets SIGTERM")
        self.process.terminate()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
        self.log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=10):
        for _ in range(int(limit_s / 0.05)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


class Link:
    """The way of one instance to one database; while cut, nothing gets through."""

    def __init__(self, host, server):
        self.host, self.server, self.cut = host, server, False

    async def start(self):
        await asyncio.start_server(self.accept, self.host, self.server.port)

    async def accept(self, reader, writer):
        try:
            if self.cut:
                await self.wait_until_open()
            up_reader, up_writer = await asyncio.open_connection(
                self.server.host, self.server.port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.forward(reader, up_writer),
                             self.forward(up_reader, writer))

    async def wait_until_open(self):
        while self.cut:
            await asyncio.sleep(0.01)

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.wait_until_open()
                writer.write(data)
                await writer.drain()
            await self.wait_until_open()
        except (ConnectionError, OSError):
            pass
        writer.transport.abort()


class Client:
    """A session that sends one request at a time and reads its answer."""

    ids = itertools.count(1)

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.reader = self.writer = None

    async def connect(self, instance, database):
        self.reader, self.writer = await asyncio.open_connection(
            instance.host, instance.front)
        self.writer.write(f"START {database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())

    @classmethod
    def next_id(cls):
        return f"{next(cls.ids):08x}"

    async def query(self, text, query_id=None, limit_s=5):
        """Returns (query id, "ok" or the error code, rows)."""
        query_id = query_id or self.next_id()
        self.record.write(f"client {self.name} sends {query_id} {text}")
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        rows, outcome = [], "ok"
        while True:
            line = await asyncio.wait_for(self.reader.readline(), limit_s)
            if not line.endswith(b"\n"):
                self.record.write(f"client {self.name} {query_id}: connection broken")
                raise ConnectionError("broken")
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "ERROR":
                outcome = rest.split(" ")[0]
            elif word == "READY":
                self.record.write(f"client {self.name} {query_id}: {outcome} {rows}")
                return query_id, outcome, rows

    def close(self):
        if self.writer:
            self.writer.transport.abort()
            self.writer = None


class World:
    """A small deployment: one group of three databases and three instances."""

    def __init__(self, record_path, routes, fencing=True, promote_s=0.6,
                 delays=(0.0, 0.001, 0.008), instances=3, links=False):
        self.record = Record(record_path)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = pathlib.Path(self.folder.name)
        network = f"127.{1 + os.getpid() % 250}"
        base = 12000 + os.getpid() % 1200 * 16
        zones = ["perth-north", "perth-south", "bunbury-a"]
        self.group = Group("tenancy-1", self.record, promote_s)
        self.group.fencing = fencing
        names = ["i-aaaa1111", "i-bbbb2222", "i-cccc3333"]
        for n in range(3):
            self.group.add(names[n], f"{network}.2.{n + 1}", base, zones[n],
                           delays[n])
        platform_host = f"{network}.5.1"
        self.platform = Platform(self.record, self.group, platform_host, base + 1)
        ports = {"store": base + 1, "cloud": base + 2, "control": base + 4,
                 "front": base + 5, "ready": base + 6, "peer": base + 7,
                 "last": base + 15}
        seeds = [f"{network}.3.{n + 1}:{base + 4}" for n in range(min(3, instances))]
        self.instances = [
            Instance(self.record, n + 1, f"{network}.3.{n + 1}",
                     zones[n % 3], ports, seeds, folder, platform_host, fencing)
            for n in range(instances)]
        self.routes, self.version, self.tasks = routes, 0, []
        # links[n][k]: the way of instance n to database k; empty unless wanted.
        self.links = []
        if links:
            for n, instance in enumerate(self.instances):
                host = f"{network}.5.{n + 2}"
                instance.settings.write_text(instance.settings.read_text().replace(
                    f'address = "{platform_host}:{base + 1}"',
                    f'address = "{host}:{base + 1}"'))
                self.links.append([
                    Link(f"{network}.6.{10 * n + k + 1}", server)
                    for k, server in enumerate(self.group.servers)])
                self.platform.views[host] = {
                    f"{link.server.host}:{link.server.port}":
                    f"{link.host}:{link.server.port}" for link in self.links[-1]}

    def publish(self):
        self.version += 3
        self.platform.put("op", "", "config", json.dumps({
            "version": self.version,
            "routes": [dict(each, name="r-" + each["host"], service=self.group.name)
                       for each in self.routes],
            "services": [{"name": self.group.name, "max-conns": self.group.max_connections,
                          "sync-replicas": 1}],
            "limits": {"tx-idle-ms": 3000}}))

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def start(self):
        await self.platform.start()
        await self.group.start()
        for links in self.links:
            for link in links:
                await link.start()
        self.publish()
        for server in self.group.servers:
            self.spawn(self.group.replicate(server))
            self.spawn(self.platform.report(server))
        self.spawn(self.platform.expire())
        for each in self.instances:
            each.start()
        for each in self.instances:
            if not await each.wait_until_ready():
                raise RuntimeError(f"{each.name} does not become ready")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for each in self.instances:
            each.end()


async def write_forever(world, number, database, pause_s):
    """A client that writes one item after the other and reconnects after failures."""
    turn = number
    while True:
        client = Client(world.record, f"u{number}")
        try:
            await client.connect(
                world.instances[turn % len(world.instances)], database)
            while True:
                query_id, outcome, _ = await client.query(
                    f"WRITE item-{number} {turn}")
                if outcome == "ok":
                    world.group.acknowledged[query_id] = world.record.now()
                await asyncio.sleep(2 * pause_s * random.random())
        except (OSError, asyncio.TimeoutError, ConnectionError):
            pass
        client.close()
        turn += 1
        await asyncio.sleep(0.05)


def run_case(world_of, play, limit_s=110):
    """Plays a case. Returns the exit code: 0 held, 1 broken, 2 could not run."""
    case = pathlib.Path(os.environ["CASE"])
    if not BINARY.exists():
        print("target/plantaintiller is missing")
        return 2
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = world_of(case / "record.txt")

    async def main():
        loop = asyncio.get_running_loop()
        for each in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(each, asyncio.current_task().cancel)
        try:
            await asyncio.wait_for(play(world, trouble), limit_s)
        finally:
            keep = os.environ.get("KEEP_LOGS")
            world.stop()
            if keep:
                for path in pathlib.Path(world.folder.name).glob("*.log"):
                    pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
            loop.set_exception_handler(lambda *_: None)

    code = 2
    # Connections that are open at the end are of no interest.
    sys.unraisablehook = lambda _: None
    try:
        asyncio.run(main())
        code = 1 if world.record.violations else 0
    except (Exception, asyncio.CancelledError) as problem:  # pylint: disable=broad-except
        world.record.write(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
    finally:
        world.stop()
        world.folder.cleanup()
    for each in world.record.violations[:5]:
        print(each)
    verdict = {0: "held", 1: "broken", 2: "could not run"}[code]
    print(f"{verdict}: {len(world.record.violations)} violations, "
          f"{len(world.group.acknowledged)} acknowledged writes")
    world.record.write(f"end: {verdict}")
    world.record.close()
    return code
