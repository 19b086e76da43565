"""Callers that set session values, and the check that their statements run with them.

`ValueCheck.watch` compares the values of the connection on which a server runs a
statement with those that the statement's caller has been acknowledged.
"""

import asyncio
import time

import soak


class ValueCheck:
    """What callers were acknowledged, compared with what servers run."""

    def __init__(self, checker):
        self.checker = checker
        # Id of a query -> the values that its session was acknowledged.
        self.expected = {}
        self.statements = 0

    def watch(self, connection, query_id):
        if query_id not in self.expected:
            return
        self.statements += 1
        if connection.values != self.expected[query_id]:
            self.checker.report_violation(
                f"{query_id} runs at {connection.server.name} with "
                f"{connection.values}, acknowledged {self.expected[query_id]}")


class ValuedCaller(soak.Caller):
    """Sessions with values of their own, which also change in transactions."""

    count = 0

    def __init__(self, world, database, check, pause_s=0.02):
        super().__init__(world, database)
        ValuedCaller.count += 1
        self.number, self.check, self.pause_s = ValuedCaller.count, check, pause_s
        self.values, self.turn = {}, 0
        # (kind of statement, seconds until its answer), successes only.
        self.times = []

    async def run_session(self):
        host, port = self.world.choose_entry_address()
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(f"START {self.database} valued\r\n".encode())
        await self.read_line(2)
        self.values = {}
        await self.set_value("zone")
        await self.set_value(f"own{self.number % 3}")
        for _ in range(20):
            if self.world.random.random() < 0.3:
                await self.transact()
            elif self.database == "orders" and self.world.random.random() < 0.5:
                await self.ask("write", f"WRITE v{self.number} x")
            else:
                await self.ask("read", "READ shared")
            await asyncio.sleep(self.world.random.random() * self.pause_s)
        self.writer.write(b"TERMINATE\r\n")
        raise ConnectionError("done")

    async def set_value(self, name):
        self.turn += 1
        value = f"{self.number}-{self.turn}"
        code = await self.send_query(self.next_attempt() + ".0", f"SET {name} {value}")
        if code is not None:
            raise ConnectionError(code)
        self.values[name] = value

    async def ask(self, kind, text, query_id=None):
        query_id = query_id or self.next_attempt() + ".1"
        self.check.expected[query_id] = dict(self.values)
        started = time.monotonic()
        code = await self.send_query(query_id, text)
        if code is None:
            self.times.append((kind, time.monotonic() - started))
        return code

    async def transact(self):
        """Changes a value between two statements of a transaction."""
        attempt = self.next_attempt()
        await self.send_query(f"{attempt}.0", "BEGIN")
        if await self.ask("begun", "READ shared", f"{attempt}.1") is None:
            await self.set_value("zone")
            await self.ask("changed", "READ shared", f"{attempt}.2")
        await self.send_query(f"{attempt}.3", "ROLLBACK")
