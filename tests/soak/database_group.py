"""Stand-in for a group of database servers that replicate by themselves.

It speaks the line protocol, keeps each server's log in memory and checks what
the servers alone can see: which statements run where, on which log, and in
whose transaction.
"""

import asyncio
import dataclasses
import itertools
import time


@dataclasses.dataclass
class Entry:
    term: int
    number: int
    item: str
    data: str
    query: str


class Checker:
    """Collects what was run and acknowledged, and what was broken."""

    def __init__(self):
        self.violations = []
        # Commits that callers saw acknowledged: id of the request -> time.
        self.acknowledged = {}
        # Requests refused with the promise that nothing is kept.
        self.not_run = set()

    def report_violation(self, text):
        self.violations.append(text)


class Server:
    """One database server: log, role and connections."""

    def __init__(self, group, name, host, port):
        self.group, self.name, self.host, self.port = group, name, host, port
        self.term, self.is_leader, self.alive = 1, False, True
        self.log = []
        self.held_term = 0
        self.draining = False
        self.replication_paused = False
        self.answer_loss_probability = 0.0
        self.incarnation = int(time.time() * 1000)
        self.connections = set()
        self.listener = None

    def position(self):
        return f"{self.log[-1].term if self.log else 0}.{len(self.log)}"

    def has_position(self, text):
        term, number = (int(part) for part in text.split("."))
        own_position = (self.log[-1].term if self.log else 0, len(self.log))
        return own_position >= (term, number)

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.host, self.port
        )

    def crash(self, empty=False):
        self.alive = False
        if self.listener:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        if empty:
            self.log, self.held_term = [], 0
            self.incarnation = int(time.time() * 1000)

    async def restart(self):
        leader = self.group.leader()
        self.held_term = 0
        if leader not in (None, self):
            self.is_leader, self.term = False, leader.term
        await self.start()
        self.alive = True

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await Session(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Session:
    """One connection to a server."""

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.values, self.prepared = {}, {}
        self.transaction = None
        self.writes, self.transaction_attempt, self.read_write = [], None, False

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def ready(self):
        state = "T" if self.transaction else "I"
        return f"READY {state} {self.server.position()}"

    async def run(self):
        words = (await self.reader.readline()).decode().split()
        server = self.server
        wrong = len(words) < 4 or words[1] != server.group.name
        if wrong or words[3] != server.name:
            self.send(f"ERROR WRONGNODE {server.name}")
            return
        if len(server.connections) > server.group.max_connections:
            self.send("ERROR CONNLIMIT full")
            return
        self.send(self.ready())
        while line := (await self.reader.readline()).decode().rstrip("\r\n"):
            verb, _, rest = line.partition(" ")
            if verb != "QUERY":
                return
            query, _, text = rest.partition(" ")
            answer = await self.execute(query, text)
            lost = query != "-" and server.group.draw_with_probability(
                server.answer_loss_probability
            )
            if lost:
                return
            self.send(*answer, self.ready())
            await self.writer.drain()

    async def execute(self, query, text):
        verb, _, rest = text.partition(" ")
        if verb == "WAITLSN":
            position, _, text = rest.partition(" ")
            ignored = self.server.group.ignores_positions
            if not ignored and not self.server.has_position(position):
                return ["ERROR LAGGING behind"]
            verb, _, rest = text.partition(" ")
        handler = getattr(self, "on_" + verb.lower(), None)
        if handler is None:
            return ["ERROR MALFORMED unknown"]
        return await handler(query, rest)

    async def on_set(self, _query, rest):
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return ["COMPLETE -"]

    async def on_prepare(self, _query, rest):
        name, access, shape = rest.split(" ", 2)
        self.prepared[name] = (access, shape)
        return ["COMPLETE -"]

    async def on_reset(self, _query, _rest):
        self.values, self.prepared = {}, {}
        return ["COMPLETE -"]

    async def on_begin(self, _query, rest):
        if rest != "READ" and not self.server.is_leader:
            return [f"ERROR READONLY {self.server.name}"]
        self.transaction, self.read_write = True, rest != "READ"
        self.writes, self.transaction_attempt = [], None
        return ["COMPLETE -"]

    async def on_rollback(self, _query, _rest):
        if not self.transaction:
            return ["ERROR MALFORMED no transaction"]
        self.transaction, self.writes = None, []
        return ["COMPLETE -"]

    def check_attempt(self, query):
        """Statements of one transaction carry ids of one caller's attempt."""
        attempt = query.split(".")[0]
        if not self.transaction:
            return
        if self.transaction_attempt not in (None, attempt):
            self.server.group.checker.report_violation(
                f"{query} runs in the transaction of {self.transaction_attempt}"
            )
        self.transaction_attempt = attempt

    def lost_leadership(self):
        return self.transaction and self.read_write and not self.server.is_leader

    async def on_read(self, query, rest):
        if query == "-":
            return ["ERROR MALFORMED no id"]
        if self.lost_leadership():
            return [f"ERROR READONLY {self.server.name}"]
        self.check_attempt(query)
        await asyncio.sleep(self.server.group.statement_time)
        # Callers put their session's last write behind the item's name.
        found = [each.data for each in self.server.log if each.item == rest]
        return [f"DATAROW {found[-1] if found else '-'}", f"COMPLETE r.{query}"]

    async def on_write(self, query, rest):
        server = self.server
        if not server.is_leader:
            return [f"ERROR READONLY {server.name}"]
        self.check_attempt(query)
        await asyncio.sleep(server.group.statement_time)
        item, _, data = rest.partition(" ")
        if self.transaction:
            self.writes.append((item, data, query))
            return [f"COMPLETE r.{query}"]
        return await self.commit([(item, data, query)], query)

    async def on_execute(self, query, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self.prepared:
            return ["ERROR NOSTMT " + name]
        write = self.prepared[name][0] == "WRITE"
        return await (self.on_write if write else self.on_read)(query, arguments)

    async def on_commit(self, query, _rest):
        if not self.transaction:
            return ["ERROR MALFORMED no transaction"]
        writes, self.writes = self.writes, []
        lost = self.lost_leadership()
        self.transaction = None
        if writes and lost:
            return [f"ERROR READONLY {self.server.name}"]
        self.check_attempt(query)
        if not writes:
            return [f"COMPLETE r.{query}"]
        return await self.commit(writes, query)

    async def commit(self, writes, query):
        server = self.server
        if not server.is_leader:
            return [f"ERROR READONLY {server.name}"]
        term = server.term
        for item, data, each in writes:
            server.log.append(
                Entry(term, len(server.log) + 1, item, data, each)
            )
        size = len(server.log)
        if await server.group.wait_for_confirmation(server, term, size):
            return [f"COMPLETE r.{query}"]
        raise ConnectionError("the lead was lost before the commit was confirmed")

    async def on_pause(self, _query, rest):
        server = self.server
        if int(rest) > server.term and not server.is_leader:
            server.held_term = max(server.held_term, int(rest))
        return self.status_reply()

    async def on_resume(self, _query, _rest):
        self.server.held_term = 0
        return self.status_reply()

    async def on_status(self, _query, _rest):
        return self.status_reply()

    def status_reply(self):
        server = self.server
        role = "primary" if server.is_leader else "replica"
        return [
            f"DATAROW {role} {server.term} {server.position()} "
            f"{server.held_term} 0 0 {len(server.connections)}",
            "COMPLETE -",
        ]


class Group:
    """A leader and its replicas; one replica confirms a commit."""

    counter = itertools.count()

    def __init__(self, name, hosts, port, checker, random):
        self.name, self.checker, self.random = name, checker, random
        self.max_connections, self.statement_time, self.promotion_time = 16, 0.004, 0.3
        self.servers = [
            Server(self, f"i-{name}-{n}", host, port)
            for n, host in enumerate(hosts)
        ]
        self.servers[0].is_leader = True
        self.highest_token = 0
        # Planted fault: answers reads whatever the log lacks.
        self.ignores_positions = False

    def draw_with_probability(self, probability):
        return probability > 0 and self.random.random() < probability

    def leader(self):
        for server in self.servers:
            if server.is_leader and server.alive:
                return server
        return None

    async def start(self):
        for server in self.servers:
            await server.start()

    async def replicate(self):
        """Passes the leader's log on; runs for ever."""
        while True:
            leader = self.leader()
            for server in self.servers:
                receives = (server.alive and not server.replication_paused
                            and not server.held_term)
                if leader and server is not leader and receives:
                    if server.term == leader.term:
                        server.log = list(leader.log)
            await asyncio.sleep(0.005)

    async def wait_for_confirmation(self, leader, term, size):
        while leader.alive and leader.is_leader and leader.term == term:
            for server in self.servers:
                if server is not leader and server.alive and len(server.log) >= size:
                    if server.term == term:
                        return True
            await asyncio.sleep(0.002)
        return False

    def promote(self, name, token):
        """@return the HTTP status."""
        candidate = next(
            (server for server in self.servers if server.name == name), None
        )
        if token < self.highest_token or candidate is None or not candidate.alive:
            return 409
        self.highest_token = token
        if not candidate.is_leader:
            asyncio.get_running_loop().call_later(
                self.promotion_time, self.complete_promotion, candidate
            )
        return 200

    def complete_promotion(self, new_leader):
        if not new_leader.alive or new_leader.is_leader:
            return
        kept = {entry.query for entry in new_leader.log}
        for query, group in list(self.checker.acknowledged.items()):
            if group == self.name and query not in kept:
                self.checker.report_violation(
                    f"acknowledged {query} not at {new_leader.name}"
                )
        newest_term = max(server.term for server in self.servers)
        for server in self.servers:
            server.is_leader = False
            server.held_term = 0
            if server.alive:
                server.term = newest_term + 1
                server.log = list(new_leader.log)
        new_leader.is_leader = True
