"""Tests that connections which clients share carry no values of another client."""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import soak  # noqa: E402
from directed_world import run_world  # noqa: E402
from valued_caller import ValueCheck, ValuedCaller  # noqa: E402


class Session(soak.Caller):
    """A session at one instance."""

    def __init__(self, world, database, instance):
        super().__init__(world, database)
        self.instance = instance

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.instance.host, self.instance.ports["front"])
        self.writer.write(f"START {self.database} directed\r\n".encode())
        await self.read_line(5)

    async def ask(self, text):
        return await self.send_query(self.next_attempt() + ".1", text)


class Reader(Session):
    """Reads without session values, in a new session after a failure."""

    async def run_session(self):
        await self.open()
        while True:
            await self.ask("READ shared")


class ValuedTransaction(Session):
    """A session with a value and a transaction of which a read was answered."""

    async def begin(self):
        await self.open()
        await self.ask("SET zone z1")
        await self.ask("BEGIN")
        while await self.ask("READ shared") is not None:
            await self.ask("ROLLBACK")
            await self.ask("BEGIN")

    async def end_at_former_leader(self):
        await self.ask("SET turn 1")
        # The former leader refuses the value, and with it the read.
        code = await self.ask("READ shared")
        self.writer.transport.abort()
        return code


class SessionValuesTest(unittest.TestCase):
    # Set-up that a former leader refused left the record of a connection's values
    # empty, and other clients read on it with them (PINNED, review case 3).
    def test_values_of_a_refused_transaction_reach_no_other_client(self):
        async def scenario(world):
            await world.wait_until(lambda: len(world.checker.acknowledged) > 50)
            transactions = [ValuedTransaction(world, "orders", each)
                            for each in world.instances]
            for each in transactions:
                await each.begin()
            former = world.group.leader()
            await world.change_leader()
            for each in transactions:
                self.assertEqual(await each.end_at_former_leader(), "ABORTED")

            served = []

            def check_values(connection, query_id):
                if query_id != "-" and connection.server is former:
                    served.append(query_id)
                    if connection.values:
                        world.checker.report_violation(
                            f"{query_id} runs with {connection.values}")

            world.group.on_statement = check_values
            world.tasks += [asyncio.create_task(Reader(world, "portal", each).run())
                            for each in world.instances for _ in range(4)]
            await world.wait_until(lambda: len(served) >= 200)

        world = run_world(scenario)
        self.assertEqual(world.checker.violations, [], world.promotion_log)

    # Servers refused RESET or SET as busy and ran the statement that had been sent
    # behind it, with the values of another client (PINNED, review case 13).
    def test_no_statement_runs_without_its_refused_values(self):
        async def scenario(world):
            await world.wait_until(lambda: len(world.checker.acknowledged) > 50)
            check = ValueCheck(world.checker)
            world.group.on_statement = check.watch
            for each in world.group.servers:
                each.busy_probability = 0.2
            world.tasks += [
                asyncio.create_task(ValuedCaller(world, database, check).run())
                for database in soak.ROUTES for _ in range(4)]
            await world.wait_until(lambda: check.statements >= 1000)

        world = run_world(scenario)
        self.assertEqual(world.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
