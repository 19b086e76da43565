"""Stand-in for a group of database servers that replicate among themselves.

It speaks the line protocol, keeps each server's log in memory and checks what
only the servers can see: on which server and log each statement runs, in whose
transaction, and whether a caller has sent it with this text. It may send answers
a second time, later on the same connection.
"""

import asyncio
import dataclasses
import itertools
import random as random_module
import time


@dataclasses.dataclass
class Entry:
    """One write in a server's log, with the id of the query that made it."""

    term: int
    number: int
    item: str
    data: str
    query_id: str


class Checker:
    """Records the outcomes that callers saw and the violations found."""

    def __init__(self):
        self.violations = []
        # Writes acknowledged to callers: query id -> name of the group.
        self.acknowledged = {}
        # Ids of writes refused with the promise that nothing was kept.
        self.not_run = set()
        # Texts sent by callers: query id -> text.
        self.sent = {}

    def report_violation(self, text):
        self.violations.append(text)


class Server:
    """One database server: its log, role and connections."""

    def __init__(self, group, name, host, port):
        self.group, self.name, self.host, self.port = group, name, host, port
        self.term, self.is_leader, self.alive = 1, False, True
        self.log = []
        self.held_term = 0
        self.draining = False
        # A planned end: when the store accepted the report, and whether it is over.
        self.leaving, self.leave_accepted_at, self.left = False, None, False
        self.replication_paused = False
        # Its reports do not reach the store while this is set.
        self.cut_from_store = False
        self.answer_loss_probability = self.answer_cut_probability = 0.0
        # Share of the queries that are refused as busy; its reports say ready.
        self.busy_probability = 0.0
        self.incarnation = int(time.time() * 1000)
        self.connections = set()
        self.listener = None

    def position(self):
        return f"{self.log[-1].term if self.log else 0}.{len(self.log)}"

    def has_position(self, text):
        """Returns whether the log reaches a position, given as TERM.NUMBER."""
        term, number = (int(part) for part in text.split("."))
        own_position = (self.log[-1].term if self.log else 0, len(self.log))
        return own_position >= (term, number)

    def holds_log_of(self, other, size):
        """Returns whether it has the first `size` entries of another server's log."""
        if size == 0:
            return True
        return len(self.log) >= size and self.log[size - 1] is other.log[size - 1]

    def roll_back_to(self, other):
        """Drops the entries that another server's log lacks."""
        while self.log and not other.holds_log_of(self, len(self.log)):
            self.log.pop()

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.host, self.port
        )

    def crash(self, empty=False):
        """Aborts all connections; `empty` also discards the log."""
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

    def send_part(self, *lines):
        data = "".join(line + "\r\n" for line in lines).encode()
        self.server.group.cut_answers += 1
        self.writer.write(data[:self.server.group.random.randrange(len(data))])

    def send_again(self, *lines):
        if not self.writer.transport.is_closing():
            self.server.group.repeated_answers += 1
            self.send(*lines)

    async def read_line(self):
        """Returns the next line without its end; a line feed alone ends none."""
        return (await self.reader.readuntil(b"\r\n")).decode()[:-2]

    def ready(self):
        state = "T" if self.transaction else "I"
        return f"READY {state} {self.server.position()}"

    async def run(self):
        words = (await self.read_line()).split()
        server = self.server
        wrong = len(words) < 4 or words[1] != server.group.name
        if wrong or words[3] != server.name:
            self.send(f"ERROR WRONGNODE {server.name}")
            return
        if len(server.connections) > server.group.max_connections:
            self.send("ERROR CONNLIMIT full")
            return
        self.account = words[2]
        self.send(self.ready())
        while line := await self.read_line():
            verb, _, rest = line.partition(" ")
            if verb != "QUERY":
                return
            query_id, _, text = rest.partition(" ")
            server.group.accounts[query_id] = self.account
            if server.group.draw_with_probability(server.busy_probability):
                answer = ["ERROR BUSY shed"]
            else:
                answer = await self.execute(query_id, text)
            answer_lost = query_id != "-" and server.group.draw_with_probability(
                server.answer_loss_probability
            )
            if answer_lost:
                return
            answer = [*answer, self.ready()]
            if server.group.draw_with_probability(server.answer_cut_probability):
                self.send_part(*answer)
                return
            self.send(*answer)
            if server.group.repeats_answer():
                asyncio.get_running_loop().call_later(
                    server.group.repetition_delay(), self.send_again, *answer)
            await self.writer.drain()

    def check_sent(self, query_id, text):
        sent = self.server.group.checker.sent
        if query_id != "-" and sent.get(query_id) != text:
            self.server.group.checker.report_violation(
                f"{query_id} runs {text!r}, sent was {sent.get(query_id)!r}")

    async def execute(self, query_id, text):
        verb, _, rest = text.partition(" ")
        if verb == "WAITLSN":
            position, _, text = rest.partition(" ")
            ignored = self.server.group.planted_defect == "positions"
            if not ignored and not self.server.has_position(position):
                return ["ERROR LAGGING behind"]
            verb, _, rest = text.partition(" ")
        if verb == "WRITE" and self.draw_defect("texts"):
            text, rest = text + "?", rest + "?"
        self.check_sent(query_id, text)
        handler = getattr(self, "on_" + verb.lower(), None)
        if handler is None:
            return ["ERROR MALFORMED unknown"]
        if self.lost_leadership() and verb not in ("COMMIT", "ROLLBACK"):
            return [f"ERROR READONLY {self.server.name}"]
        group = self.server.group
        group.on_statement(self, query_id)
        answer = await handler(query_id, rest)
        if answer[-1].startswith("COMPLETE r."):
            receipt, group.last_receipt = group.last_receipt, answer[-1]
            if receipt and self.draw_defect("receipts"):
                answer = [*answer[:-1], receipt]
        return answer

    def draw_defect(self, name):
        group = self.server.group
        return group.planted_defect == name and group.draw_with_probability(0.05)

    async def on_set(self, _query_id, rest):
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return ["COMPLETE -"]

    async def on_prepare(self, _query_id, rest):
        name, access, shape = rest.split(" ", 2)
        self.prepared[name] = (access, shape)
        return ["COMPLETE -"]

    async def on_reset(self, _query_id, _rest):
        self.values, self.prepared = {}, {}
        return ["COMPLETE -"]

    async def on_begin(self, _query_id, rest):
        if rest != "READ" and not self.server.is_leader:
            return [f"ERROR READONLY {self.server.name}"]
        self.transaction, self.read_write = True, rest != "READ"
        self.writes, self.transaction_attempt = [], None
        return ["COMPLETE -"]

    async def on_rollback(self, _query_id, _rest):
        if not self.transaction:
            return ["ERROR MALFORMED no transaction"]
        self.transaction, self.writes = None, []
        return ["COMPLETE -"]

    def check_attempt(self, query_id):
        """Checks that a transaction's statements all belong to one caller attempt."""
        attempt = query_id.split(".")[0]
        if not self.transaction:
            return
        if self.transaction_attempt not in (None, attempt):
            self.server.group.checker.report_violation(
                f"{query_id} runs in the transaction of {self.transaction_attempt}"
            )
        self.transaction_attempt = attempt

    def lost_leadership(self):
        return self.transaction and self.read_write and not self.server.is_leader

    async def on_read(self, query_id, rest):
        if query_id == "-":
            return ["ERROR MALFORMED no id"]
        self.check_attempt(query_id)
        await asyncio.sleep(self.server.group.statement_time)
        found = [each.data for each in self.server.log if each.item == rest]
        return [f"DATAROW {found[-1] if found else '-'}", f"COMPLETE r.{query_id}"]

    async def on_write(self, query_id, rest):
        server = self.server
        if not server.is_leader:
            return [f"ERROR READONLY {server.name}"]
        self.check_attempt(query_id)
        await asyncio.sleep(server.group.statement_time)
        item, _, data = rest.partition(" ")
        if self.transaction:
            self.writes.append((item, data, query_id))
            return [f"COMPLETE r.{query_id}"]
        return await self.commit([(item, data, query_id)], query_id)

    async def on_execute(self, query_id, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self.prepared:
            return ["ERROR NOSTMT " + name]
        write = self.prepared[name][0] == "WRITE"
        return await (self.on_write if write else self.on_read)(query_id, arguments)

    async def on_commit(self, query_id, _rest):
        if not self.transaction:
            return ["ERROR MALFORMED no transaction"]
        writes, self.writes = self.writes, []
        lost = self.lost_leadership()
        self.transaction = None
        if writes and lost:
            return [f"ERROR READONLY {self.server.name}"]
        self.check_attempt(query_id)
        if not writes:
            return [f"COMPLETE r.{query_id}"]
        return await self.commit(writes, query_id)

    async def commit(self, writes, query_id):
        server = self.server
        if not server.is_leader:
            return [f"ERROR READONLY {server.name}"]
        term = server.term
        for item, data, write_id in writes:
            server.log.append(
                Entry(term, len(server.log) + 1, item, data, write_id)
            )
        size = len(server.log)
        if await server.group.wait_for_confirmation(server, term, size):
            return [f"COMPLETE r.{query_id}"]
        raise ConnectionError("leadership was lost before the commit was confirmed")

    async def on_pause(self, _query_id, rest):
        server = self.server
        if int(rest) > server.term and not server.is_leader:
            server.held_term = max(server.held_term, int(rest))
        return self.status_reply()

    async def on_demote(self, _query_id, rest):
        if int(rest) > self.server.term:
            self.server.is_leader = False
        return self.status_reply()

    async def on_resume(self, _query_id, _rest):
        self.server.held_term = 0
        return self.status_reply()

    async def on_status(self, _query_id, _rest):
        return self.status_reply()

    def status_reply(self):
        """Returns role, term, position, hold and number of connections."""
        server = self.server
        role = "primary" if server.is_leader else "replica"
        return [
            f"DATAROW {role} {server.term} {server.position()} "
            f"{server.held_term} 0 0 {len(server.connections)}",
            "COMPLETE -",
        ]


class Group:
    """A leader and its replicas; a commit needs the confirmation of one replica."""

    counter = itertools.count()

    def __init__(self, name, hosts, port, checker, random):
        self.name, self.checker, self.random = name, checker, random
        self.max_connections, self.statement_time, self.promotion_time = 16, 0.004, 0.3
        self.servers = [
            Server(self, f"i-{name}-{n}", host, port)
            for n, host in enumerate(hosts)
        ]
        self.servers[0].is_leader = True
        self.highest_token, self.highest_received_token = 0, 0
        self.newest_term, self.left_servers = 1, []
        # Whether promotions with outdated tokens are refused.
        self.fencing = True
        # Account of the connection on which each query was last received.
        self.accounts = {}
        # Called with the connection and the id of each statement that is run.
        self.on_statement = lambda session, query_id: None
        # Injected defect; soak.py lists them.
        self.planted_defect, self.last_receipt = None, None
        self.promotions = 0
        # Called with each event that the record of a failing run shows.
        self.note = lambda event: None
        self.cut_answers = 0
        # Share of the answers that are sent twice, and the longest time between,
        # drawn apart from the other faults so that these stay the same.
        self.repetition_probability, self.longest_repetition = 0.0, 0.4
        self.repetition_random, self.repeated_answers = random_module.Random(0), 0

    def repeats_answer(self):
        return (self.repetition_probability > 0 and
                self.repetition_random.random() < self.repetition_probability)

    def repetition_delay(self):
        return self.repetition_random.random() * self.longest_repetition

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
        """Copies the leader's log to the replicas; runs until cancelled."""
        while True:
            leader = self.leader()
            for server in self.servers:
                receives = (server.alive and not server.replication_paused
                            and not server.held_term)
                if leader and server is not leader and receives:
                    if server.term <= leader.term:
                        server.term, server.log = leader.term, list(leader.log)
            await asyncio.sleep(0.005)

    async def wait_for_confirmation(self, leader, term, size):
        """Waits for a replica with `size` entries; False if the leader changes."""
        while leader.alive and leader.is_leader and leader.term == term:
            for server in self.servers:
                if server is not leader and server.alive and server.term == term:
                    if server.holds_log_of(leader, size):
                        return True
            await asyncio.sleep(0.002)
        return False

    async def add_server(self, number, host):
        """Starts an empty server, which receives the leader's log from now on."""
        server = Server(self, f"i-{self.name}-{number}", host, self.servers[0].port)
        server.term = self.newest_term
        await server.start()
        self.servers.append(server)
        return server

    def may_leave(self, server):
        """Returns whether another server, crashed or not, has all of its log."""
        return server.alive and any(
            each.holds_log_of(server, len(server.log))
            for each in self.servers if each is not server)

    def remove_server(self, server):
        """Ends a server for good; its log is gone with it."""
        server.crash(empty=True)
        server.left, server.is_leader = True, False
        self.servers.remove(server)
        self.left_servers.append(server)

    def check_received_token(self, name, token):
        """Checks the order of tokens at a platform that does not check it itself."""
        if token < self.highest_received_token and not self.fencing:
            self.checker.report_violation(f"promotion of {name} with token {token} "
                                          f"after {self.highest_received_token}")
        self.highest_received_token = max(token, self.highest_received_token)

    def promote(self, name, token):
        """Starts a promotion unless its token is outdated. Returns the HTTP status."""
        candidate = next(
            (server for server in self.servers if server.name == name), None
        )
        if self.planted_defect == "promotion":
            candidate = self.servers[2]
        fenced = self.fencing and token < self.highest_token
        if fenced or candidate is None or not candidate.alive:
            return 409
        self.highest_token = max(token, self.highest_token)
        self.note(f"accepted promotion of {name} with token {token}")
        if not candidate.is_leader:
            asyncio.get_running_loop().call_later(
                self.promotion_time, self.complete_promotion, candidate
            )
        return 200

    def complete_promotion(self, new_leader):
        """Makes a server the leader; checks its log for acknowledged writes.

        The others drop what it lacks; those that are not deaf receive the rest.
        """
        if not new_leader.alive or new_leader.is_leader:
            return
        self.promotions += 1
        self.note(f"promoted {new_leader.name}, term {self.newest_term + 1}, positions "
                  + " ".join(f"{each.name}:{each.position()}" for each in self.servers))
        kept = {entry.query_id for entry in new_leader.log}
        for query_id, group in list(self.checker.acknowledged.items()):
            if group == self.name and query_id not in kept:
                self.checker.report_violation(
                    f"acknowledged {query_id} is missing at {new_leader.name}"
                )
        self.newest_term += 1
        for server in self.servers:
            server.is_leader = False
            server.held_term = 0
            if server.alive:
                server.term = self.newest_term
                server.roll_back_to(new_leader)
                if not server.replication_paused:
                    server.log = list(new_leader.log)
        new_leader.is_leader = True
