"""Randomized soak test of real entry instances, as processes on loopback.

Faults are injected from outside: proxies in front of the servers, a platform
that is slow, refuses or loses answers, servers that crash, lag or leave, and
signals to the instances. The guarantees are checked during the run, from what
callers and servers see. Only processes started here are ended, by their ids.

usage: soak.py [--seeds FIRST:COUNT] [--seconds N] [--instances N]
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from database_group import Checker, Group  # noqa: E402
from platform_standin import Platform  # noqa: E402
from proxy import Proxy  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = os.environ.get(
    "PLANTAINTILLER_BINARY", str(ROOT / "build/release/plantaintiller")
)
# Error codes that promise that the statement had no effect.
NOT_RUN_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
# Staleness bound of the route "portal", as published.
MAX_STALENESS_S = 1.5
ROUTES = {"orders": "primary", "portal": "bounded_staleness",
          "ledger": "read_own_writes"}

SETTINGS = """
node = "{name}"
ip = "{host}"
zone = "z1"
port-range = [{peer}, {last}]
seeds = ["{network}.3.1:{control}"]
heartbeat-ms = 1200
contracts = {contracts}
[zones]
z1 = "r1"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
max-fds = 2000
[bounds]
grace-s = 4
drain-ms = {drain_ms}
require-fencing = {fencing}
[platform]
address = "{platform}:{store}"
[cloud]
address = "{platform}:{cloud}"
"""


def draw_data(random):
    """Returns a text that a field may hold, also such as looks like other lines."""
    pieces = ["x", " ", "\n", "\r", "\t", "\0", "\u00e9", "\nQUERY q WRITE y 0",
              "\nREADY I 1.1", "\nDATAROW z", "\nTERMINATE", "QUERY", "COMPLETE -"]
    text = "".join(random.choice(pieces) for _ in range(random.randint(0, 4)))
    while "\r\n" in text:  # It ends the line.
        text = text.replace("\r\n", "")
    return text


class Instance:
    """One entry instance as a process."""

    # Contracts of the deployment, for all instances of a run.
    contracts = []
    # Whether the platform refuses promotions with outdated tokens.
    fencing = True
    drain_ms = 7000

    def __init__(self, number, ports, folder, forward_sessions):
        self.host = f"{ports['network']}.3.{number}"
        self.ports = ports
        platform = f"{ports['network']}.6.{number}"
        # The way of this instance to the platform: its store and its promotions.
        self.store_proxy, self.promotion_proxy = (
            Proxy(platform, ports[name], ports["platform"], ports[name])
            for name in ("store", "cloud"))
        self.name = f"entry-{number}"
        self.path = folder / f"{self.name}.toml"
        self.log = open(folder / f"{self.name}.log", "ab")
        self.path.write_text(
            SETTINGS.format(name=self.name, host=self.host,
                            contracts=json.dumps(self.contracts),
                            fencing=json.dumps(self.fencing), drain_ms=self.drain_ms,
                            **{**ports, "platform": platform})
        )
        self.process = None
        # One other live instance makes the deployment large: sessions are forwarded.
        self.options = ["--small-deployment", "1"] if forward_sessions else []

    def start(self):
        self.process = subprocess.Popen(
            [BINARY, "entry", "--settings", str(self.path), *self.options],
            stdout=self.log, stderr=self.log,
        )

    def send_signal(self, signal_number):
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
        self.log.close()


class Caller:
    """A caller session that checks every answer that it receives."""

    counter = 0

    def __init__(self, world, database):
        self.world, self.database = world, database
        self.reader = self.writer = None

    async def run(self):
        while True:
            try:
                await self.run_session()
            except (ConnectionError, OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                pass
            if self.writer:
                self.writer.transport.abort()
                self.writer = None
            await asyncio.sleep(0.05)

    async def run_session(self):
        host, port = self.world.choose_entry_address()
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(f"START {self.database} soak\r\n".encode())
        line = await self.read_line(2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())
        own_item, last_written = f"own-{random.random()}", 0
        while True:
            choice = self.world.random.random()
            if choice < 0.4:
                await self.check_shared_read()
            elif choice < 0.7:
                last_written = await self.check_own_write(own_item, last_written)
            else:
                await self.transaction()
            await asyncio.sleep(self.world.random.random() * 0.03)

    async def read_line(self, seconds):
        # asyncio.wait_for of Python 3.11 can drop a cancellation.
        async with asyncio.timeout(seconds):
            try:
                return await self.reader.readuntil(b"\r\n")
            except asyncio.IncompleteReadError:
                return b""

    async def send_query(self, query_id, text, rows=None):
        """Sends one query and reads its answer. Returns the error code or None."""
        line = f"QUERY {query_id} {text}\r\n".encode()
        if self.world and self.world.caller_leaves():
            self.leave(query_id, text, line)
        if self.world:
            self.world.checker.sent[query_id] = text
        self.writer.write(line)
        code = None
        while True:
            line = (await self.read_line(6)).decode()
            word, _, rest = line.removesuffix("\r\n").partition(" ")
            if word == "DATAROW" and rows is not None:
                rows.append(rest)
            elif word == "COMPLETE":
                if text.split()[0] in ("READ", "WRITE", "COMMIT"):
                    if rest != f"r.{query_id}":
                        self.world.checker.report_violation(
                            f"{query_id} got receipt {rest}"
                        )
            elif word == "ERROR":
                code = rest.split()[0]
            elif word == "READY":
                return code
            elif not line:
                raise ConnectionError("closed")

    def leave(self, query_id, text, line):
        """Sends any part of a line, also none or all, and ends the connection."""
        size = self.world.random.randint(0, len(line))
        if size == len(line):
            self.world.checker.sent[query_id] = text
        self.writer.write(line[:size])
        if self.world.random.random() < 0.5:
            # The connection is reset instead of closed.
            self.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        raise ConnectionError("left")

    def next_attempt(self):
        Caller.counter += 1
        return f"a{Caller.counter}"

    def record_outcome(self, query_ids, code):
        """Records writes as acknowledged or as refused without effect."""
        for query_id in query_ids:
            if code is None:
                self.world.checker.acknowledged[query_id] = "g1"
            elif code in NOT_RUN_CODES:
                self.world.checker.not_run.add(query_id)

    async def write(self, item, data):
        query_id = self.next_attempt() + ".1"
        code = await self.send_query(query_id, f"WRITE {item} {data}")
        self.record_outcome([query_id], code)
        return code

    async def check_own_write(self, own_item, last_written):
        data = f"{last_written + 1} {draw_data(self.world.data_random)}"
        code = await self.write(own_item, data)
        if code is not None:
            # The outcome may be unknown, so the next session uses another item.
            raise ConnectionError(code)
        rows = []
        if await self.send_query(
            self.next_attempt() + ".1", f"READ {own_item}", rows
        ) is None:
            reads_own_writes = self.database != "portal"
            if reads_own_writes and rows != [data]:
                self.world.checker.report_violation(
                    f"{self.database}: own write {data!r} read as {rows}"
                )
        return last_written + 1

    async def check_shared_read(self):
        """Reads the shared item and checks it against the route's staleness bound."""
        started = time.monotonic()
        max_staleness = 0.0 if self.database == "orders" else MAX_STALENESS_S
        if self.database == "ledger":
            max_staleness = 2.5
        expected_minimum = max(
            [n for at, n in self.world.acknowledged_counts
             if at < started - max_staleness],
            default=0,
        )
        rows = []
        if await self.send_query(
            self.next_attempt() + ".1", "READ shared", rows
        ) is None:
            value = 0 if rows == ["-"] else int(rows[0])
            # A write in doubt may take effect after later writes.
            if value < expected_minimum and value not in self.world.in_doubt_counts:
                self.world.checker.report_violation(
                    f"{self.database}: read {value}, but {expected_minimum} was "
                    "written longer ago than the staleness bound"
                )
        self.world.served_reads += 1

    async def transaction(self):
        attempt = self.next_attempt()
        try:
            await self.run_transaction(attempt)
        finally:
            if f"{attempt}.2" not in self.world.checker.sent:
                self.world.checker.not_run.add(f"{attempt}.1")

    async def run_transaction(self, attempt):
        if await self.send_query(f"{attempt}.0", "BEGIN") is not None:
            return
        query_id = f"{attempt}.1"
        data = draw_data(self.world.data_random)
        code = await self.send_query(query_id, f"WRITE t-{attempt} {data}")
        await asyncio.sleep(self.world.random.random() * 0.05)
        roll_back = code is not None or self.world.random.random() < 0.3
        if roll_back:
            self.world.checker.not_run.add(query_id)
            await self.send_query(f"{attempt}.2", "ROLLBACK")
            return
        self.record_outcome([query_id], await self.send_query(f"{attempt}.2", "COMMIT"))


class SharedItemWriter(Caller):
    """The only writer of the shared item; it writes increasing numbers."""

    async def run_session(self):
        host, port = self.world.choose_entry_address()
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(b"START orders soak\r\n")
        await self.read_line(2)
        while True:
            self.world.next_count += 1
            number = self.world.next_count
            self.world.in_doubt_counts.add(number)
            code = await self.write("shared", number)
            if code is None:
                self.world.acknowledged_counts.append((time.monotonic(), number))
            if code is None or code in NOT_RUN_CODES:
                self.world.in_doubt_counts.discard(number)
            await asyncio.sleep(0.03)


class World:
    """All instances, servers, proxies and callers of one run."""

    # Faults that a run draws besides the usual ones; one named twice comes more
    # often.
    more_faults = []
    # Faults that a run draws instead of the usual ones, if any.
    only_faults = []
    # Share of the servers' answers that are sent twice; 0 for 2% in every third
    # seed.
    repeated_share = 0.0
    # Whether no other faults are injected.
    is_calm = False

    def __init__(self, seed, instances, folder):
        self.random = random.Random(seed)
        self.checker = Checker()
        self.acknowledged_counts, self.next_count, self.served_reads = [], 0, 0
        # Values whose writes may still take effect.
        self.in_doubt_counts = set()
        # Differs between runs, as ports of an earlier run may still be in use;
        # stays below the ephemeral port range.
        base = 12000 + (os.getpid() + seed) % 1200 * 16
        # Each run has its own loopback network, because the metrics port is fixed
        # and runs may be concurrent.
        network = f"127.{1 + os.getpid() % 250}"
        self.group = Group(
            "g1", [f"{network}.2.{n}" for n in (1, 2, 3)], base,
            self.checker, self.random,
        )
        self.group.fencing = Instance.fencing
        self.network, self.base, self.server_count = network, base, 3
        # Draws of their own leave the other faults of a seed as they are.
        self.data_random = random.Random(f"data {seed}")
        self.group.repetition_random = random.Random(f"repetition {seed}")
        if World.repeated_share or seed % 3 == 0:
            self.group.repetition_probability = World.repeated_share or 0.02
        self.proxies = []
        for server in self.group.servers:
            self.add_proxy(server)
        self.platform = Platform([self.group], f"{network}.5.1", base + 1)
        self.platform.random = self.random
        # With every other seed, one instance serves the sessions of all instances.
        self.forward_sessions = seed % 2 == 0
        ports = {"peer": base + 7, "last": base + 9, "control": base + 4, "front": base + 5,
                 "ready": base + 6, "store": base + 1, "cloud": base + 2,
                 "platform": f"{network}.5.1", "network": network}
        self.instances = [
            Instance(n + 1, ports, folder, self.forward_sessions)
            for n in range(instances)
        ]
        self.version = 0
        self.faults, self.events, self.faults_started = [], [], 0.0
        self.group.note = self.note
        # Share of the queries in or after which a caller leaves, and how many did.
        self.leaving_probability, self.left_callers = 0.0, 0

    def note(self, event):
        self.events.append(f"{time.monotonic() - self.faults_started:.1f} {event}")

    def add_proxy(self, server):
        number = server.host.rpartition(".")[2]
        proxy = Proxy(f"{self.network}.4.{number}", self.base, server.host, server.port)
        self.proxies.append(proxy)
        server.entry_host = proxy.address[0]
        return proxy

    async def start_standins(self):
        """Starts everything that the instances connect to."""
        await self.platform.start()
        await self.group.start()
        for proxy in self.proxies + self.platform_proxies():
            await proxy.start()

    def platform_proxies(self):
        return [proxy for each in self.instances
                for proxy in (each.store_proxy, each.promotion_proxy)]

    def choose_entry_address(self):
        each = self.random.choice(self.instances)
        return each.host, each.ports["front"]

    def caller_leaves(self):
        leaves = (self.leaving_probability > 0
                  and self.random.random() < self.leaving_probability)
        self.left_callers += leaves
        return leaves

    def publish(self):
        self.version += self.random.randint(1, 3)
        routes = ",".join(
            f'{{"name":"r-{name}","host":"{name}","route-type":"{kind}",'
            f'"timeout-ms":800,"target-latency-ms":500,"priority":1,'
            f'"service":"g1","max-staleness-ms":'
            f'{2500 if name == "ledger" else 1500}}}'
            for name, kind in ROUTES.items()
        )
        self.platform.put(
            "op", "", "config",
            f'{{"version":{self.version},"routes":[{routes}],"services":'
            f'[{{"name":"g1","max-conns":16,"sync-replicas":1}}],'
            f'"limits":{{"tx-idle-ms":3000}}}}',
        )

    async def add_server(self):
        self.server_count += 1
        server = await self.group.add_server(
            self.server_count, f"{self.network}.2.{self.server_count}")
        await self.add_proxy(server).start()
        self.note(f"joined {server.name}")

    async def retire(self, server):
        """Lets a server drain, for drain-ms and up to 4 s more, then leave."""
        if server.leaving:
            return
        server.leaving = True
        longer = self.random.random() * 4
        while server.leave_accepted_at is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(Instance.drain_ms / 1000 + longer)
        while not self.group.may_leave(server):
            await asyncio.sleep(0.05)
        proxy = self.proxies.pop(self.group.servers.index(server))
        self.group.remove_server(server)
        proxy.stop()
        self.note(f"left {server.name}")

    async def replace(self, server):
        """Adds a server and retires another one, in either order of their starts."""
        first, second = self.random.sample(
            [self.add_server, lambda: self.retire(server)], 2)
        await asyncio.gather(first(), self.run_after(self.random.random() * 2, second))

    async def run_after(self, seconds, action):
        await asyncio.sleep(seconds)
        result = action()
        if asyncio.iscoroutine(result):
            await result

    def inject_random_fault(self):
        """Draws one fault and starts it. Returns a line that describes it."""
        rng, duration = self.random, 0.3 + self.random.random() * 2.5
        instance = rng.choice(self.instances)
        server, proxy = rng.choice(list(zip(self.group.servers, self.proxies)))
        leader = self.group.leader()
        platform, undo = self.platform, None
        kind = rng.choice(self.only_faults or self.more_faults + [
            "kill", "pause", "term", "herd", "reset", "silence", "delay",
            "one_way", "leader_crash", "drain", "deaf", "lost_answers",
            "store_busy", "store_silent", "store_lost", "store_restored",
            "configuration", "promotions_cut", "platform_cut",
        ])
        if kind == "kill":
            instance.send_signal(signal.SIGKILL)
        elif kind == "herd":
            for each in self.instances:
                each.send_signal(signal.SIGKILL)
        elif kind == "pause":
            instance.send_signal(signal.SIGSTOP)
            undo = lambda: instance.send_signal(signal.SIGCONT)
        elif kind == "term":
            instance.send_signal(signal.SIGTERM)
        elif kind == "reset":
            proxy.reset()
        elif kind == "silence":
            proxy.silence()
        elif kind == "delay":
            proxy.delay = 0.05 + rng.random() * 0.15
            undo = lambda: setattr(proxy, "delay", 0.0)
        elif kind == "one_way":
            direction = rng.choice(["up", "down"])
            proxy.blocked_directions.add(direction)
            undo = lambda: proxy.blocked_directions.discard(direction)
        elif kind == "leader_crash" and leader:
            leader.crash()
            undo = leader.restart
        elif kind == "drain" and leader:
            leader.draining = True
            undo = lambda: setattr(leader, "draining", False)
            duration = 6
        elif kind == "deaf" and server is not leader:
            server.replication_paused = True
            undo = lambda: setattr(server, "replication_paused", False)
        elif kind == "lapse":
            # Its entry is removed after three intervals of silence.
            server.cut_from_store = True
            undo = lambda: setattr(server, "cut_from_store", False)
            duration += 4
        elif kind == "replace":
            asyncio.create_task(self.replace(server))
        elif kind == "late_promotions":
            platform.late_promotion_probability = 0.5
            undo = lambda: setattr(platform, "late_promotion_probability", 0.0)
            duration += 4
        elif kind == "cut_answers":
            server.answer_cut_probability = 0.05
            undo = lambda: setattr(server, "answer_cut_probability", 0.0)
        elif kind == "leaving_callers":
            self.leaving_probability = 0.05
            undo = lambda: setattr(self, "leaving_probability", 0.0)
        elif kind == "lost_answers":
            server.answer_loss_probability = 0.05
            undo = lambda: setattr(server, "answer_loss_probability", 0.0)
        elif kind in ("promotions_cut", "platform_cut"):
            # Long enough for another instance to take over a claim.
            cut = [instance.promotion_proxy]
            if kind == "platform_cut":
                cut.append(instance.store_proxy)
            for each in cut:
                each.blocked_directions.update(("up", "down"))
            undo = lambda: [each.blocked_directions.clear() for each in cut]
            duration += 3
        elif kind == "store_restored":
            if platform.copies:
                platform.restore_older_copy()
        elif kind.startswith("store_"):
            if kind == "store_lost":
                platform.answer_loss_probability = 0.4
                undo = lambda: setattr(platform, "answer_loss_probability", 0.0)
            else:
                platform.mode = kind.removeprefix("store_")
                undo = lambda: setattr(platform, "mode", "up")
        else:
            self.publish()
        if undo:
            asyncio.create_task(self.run_after(duration, undo))
        return f"{kind} {instance.name} {server.name} {duration:.1f}s"

    async def restart_ended_instances(self):
        """Restarts instances that have ended, as the platform does."""
        while True:
            for each in self.instances:
                if each.process.poll() is not None:
                    each.start()
            await asyncio.sleep(0.4)

    async def run(self, seconds):
        # Called between two steps of the loop, never while a process is started.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        await self.start_standins()
        self.publish()
        tasks = [asyncio.create_task(each) for each in (
            self.group.replicate(), self.platform.report_servers(),
        )]
        for each in self.instances:
            each.start()
        tasks.append(asyncio.create_task(self.restart_ended_instances()))
        await asyncio.sleep(2.0)
        callers = [Caller(self, name) for name in ROUTES for _ in range(5)]
        callers.append(SharedItemWriter(self, "orders"))
        tasks += [asyncio.create_task(each.run()) for each in callers]
        self.faults_started = time.monotonic()
        end = self.faults_started + seconds
        while World.is_calm and time.monotonic() < end:
            await asyncio.sleep(0.2)
        while time.monotonic() < end:
            await asyncio.sleep(0.4 + self.random.random() * 1.6)
            self.faults.append(self.inject_random_fault())
            self.note("fault " + self.faults[-1])
        await asyncio.sleep(4.0)
        served_before = self.served_reads
        await asyncio.sleep(4.0)
        if self.served_reads == served_before:
            self.checker.report_violation(
                "nothing is served after all faults have ended"
            )
        self.check_registrations()
        for each in tasks:
            each.cancel()
        # The end of the event loop aborts the stand-ins' connections, which would
        # be reported as errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self.check_log()

    def check_registrations(self):
        """Checks that each live instance is registered, also after a restore."""
        for each in self.instances:
            if ("instances", "", each.name) not in self.platform.rows:
                self.checker.report_violation(f"{each.name} is not registered")

    def check_log(self):
        leader = self.group.leader()
        if leader is None:
            return
        query_ids = [each.query_id for each in leader.log]
        kept = set(query_ids)
        if len(kept) != len(query_ids):
            self.checker.report_violation("a write took effect twice")
        for query_id in self.checker.acknowledged:
            if query_id not in kept:
                self.checker.report_violation(f"acknowledged {query_id} is lost")
        for query_id in self.checker.not_run & kept:
            self.checker.report_violation(
                f"{query_id} was kept although refused as not run"
            )


def run_seed(seed, seconds, instances, injected_defect):
    """Runs one seed. Returns the violations found."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        world = World(seed, instances, pathlib.Path(folder))
        world.group.planted_defect = injected_defect
        if injected_defect in ("positions", "promotion"):
            world.group.servers[2].replication_paused = True
        try:
            asyncio.run(world.run(seconds))
        except asyncio.CancelledError:
            raise SystemExit(128 + signal.SIGTERM) from None
        finally:
            for each in world.instances:
                each.stop()
        violations = world.checker.violations
        print(f"seed {seed}: {len(world.checker.acknowledged)} writes, "
              f"{world.served_reads} reads, {len(world.faults)} faults, "
              f"{world.group.repeated_answers} repeated answers, "
              f"{world.group.cut_answers} cut, "
              f"{world.left_callers} callers left, "
              f"{len(world.group.left_servers)} servers left, "
              f"{world.group.promotions} promotions, "
              f"{world.platform.late_promotions} late, "
              f"{len(violations)} broken", flush=True)
        if violations:
            print("\n".join(["  " + each for each in violations[:10]]
                            + ["  " + each for each in world.events]))
            log_folder = os.environ.get("SOAK_LOGS")
            if log_folder:
                for path in pathlib.Path(folder).glob("*.log"):
                    pathlib.Path(log_folder, f"{seed}-{path.name}").write_bytes(
                        path.read_bytes())
        return violations


def end_by_signal(signal_number, _):
    """Ends the run through its clean-up, which ends the processes it started."""
    raise SystemExit(128 + signal_number)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1:3", help="FIRST:COUNT")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument(
        "--planted", choices=["positions", "receipts", "texts", "promotion"],
        help="a defect that must be found: servers answer reads even if their log "
             "lacks the position, answer with other receipts or run other texts, or "
             "the platform promotes a replica that receives nothing",
    )
    parser.add_argument(
        "--contracts", nargs="*", default=[],
        help="contracts in the settings, for instance pressure",
    )
    parser.add_argument(
        "--unfenced", action="store_true",
        help="the platform carries out promotions with outdated tokens",
    )
    parser.add_argument(
        "--more", nargs="*", default=[], metavar="FAULT",
        help="faults drawn besides the usual ones, for instance lapse",
    )
    parser.add_argument(
        "--only", nargs="*", default=[], metavar="FAULT",
        help="faults drawn instead of the usual ones",
    )
    parser.add_argument(
        "--repeated", type=float, default=0.0, metavar="SHARE",
        help="share of the servers' answers that are sent twice, the second one late",
    )
    parser.add_argument("--calm", action="store_true", help="no other faults")
    arguments = parser.parse_args()
    World.more_faults, World.only_faults = arguments.more, arguments.only
    if "replace" in arguments.more + arguments.only:
        Instance.drain_ms = 3000  # Several servers can leave in a short run.
    World.repeated_share, World.is_calm = arguments.repeated, arguments.calm
    Instance.contracts = arguments.contracts
    Instance.fencing = not arguments.unfenced
    signal.signal(signal.SIGTERM, end_by_signal)
    first, count = (int(each) for each in arguments.seeds.split(":"))
    failed = [
        seed for seed in range(first, first + count)
        if run_seed(seed, arguments.seconds, arguments.instances, arguments.planted)
    ]
    print(f"{count - len(failed)} passed, {len(failed)} failed")
    if failed:
        print("failing seeds:", *failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
