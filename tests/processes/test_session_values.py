"""Tests that connections which clients share carry no values of another client."""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import soak  # noqa: E402
from directed_world import run_world  # noqa: E402


class Session(soak.Caller):
    """A session at one instance whose steps the test chooses."""

    async def open(self, instance):
        self.reader, self.writer = await asyncio.open_connection(
            instance.host, instance.ports["front"])
        self.writer.write(f"START {self.database} directed\r\n".encode())
        await self.read_line(5)

    async def ask(self, text):
        return await self.send_query(self.next_attempt() + ".1", text)


class SessionValuesTest(unittest.TestCase):
    # Set-up that a former leader refused left the record of a connection's values
    # empty, and other clients read on it with them (PINNED, review case 3).
    def test_values_of_a_refused_transaction_reach_no_other_client(self):
        async def scenario(world):
            await world.wait_until(lambda: len(world.checker.acknowledged) > 50)
            sessions = []
            for instance in world.instances:
                session = Session(world, "orders")
                await session.open(instance)
                self.assertIsNone(await session.ask("SET zone z1"))
                await session.ask("BEGIN")
                self.assertIsNone(await session.ask("READ shared"))
                sessions.append(session)
            leader = world.group.leader()
            await world.change_leader()
            for session in sessions:
                await session.ask("SET turn 1")
                # The former leader refuses the value, and with it the read.
                self.assertEqual(await session.ask("READ shared"), "ABORTED")
                session.writer.transport.abort()

            served = []

            def check_values(connection, query_id):
                if query_id != "-" and connection.server is leader:
                    served.append(query_id)
                    if connection.values:
                        world.checker.report_violation(
                            f"{query_id} runs with {connection.values}")

            world.group.on_statement = check_values
            readers = []
            for instance in world.instances:
                for _ in range(4):
                    readers.append(Session(world, "portal"))
                    await readers[-1].open(instance)
            while len(served) < 200:
                await asyncio.gather(*(each.ask("READ shared") for each in readers))

        world = run_world(scenario)
        self.assertEqual(world.checker.violations, [], world.promotion_log)


if __name__ == "__main__":
    unittest.main()
