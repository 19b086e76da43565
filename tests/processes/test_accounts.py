"""Tests client accounts with entry instances as real processes.

Two instances, one of which serves the sessions of both, so that half of the
callers use a forwarded session.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from soak import World  # noqa: E402

REFUSED = "ERROR AUTHFAIL"


class Session:
    """A caller's session."""

    async def open(self, instance, database, key):
        self.reader, self.writer = await asyncio.open_connection(
            instance.host, instance.ports["front"])
        self.writer.write(f"START {database} {key}\r\n".encode())
        return await self.read_line()

    async def read_line(self):
        async with asyncio.timeout(5):
            return (await self.reader.readline()).decode().strip()

    async def query(self, query_id, text):
        """Returns the first line of the answer, and reads it to its end."""
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        first = line = await self.read_line()
        while line and not line.startswith("READY"):
            line = await self.read_line()
        return first


class AccountsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="accounts-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        # An even seed: sessions are forwarded.
        self.world = World(2, 2, self.folder)
        await self.world.start_standins()
        self.publish(1, ["key-old-1", "key-new-2"])
        self.tasks = [asyncio.create_task(each) for each in (
            self.world.group.replicate(), self.world.platform.report_servers())]
        for each in self.world.instances:
            each.start()
            self.addCleanup(each.stop)
        await asyncio.sleep(4)

    async def asyncTearDown(self):
        for each in self.tasks:
            each.cancel()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    def publish(self, version, keys):
        route = {"name": "r", "route-type": "primary", "service": "g1",
                 "timeout-ms": 2000, "target-latency-ms": 1000, "priority": 1}
        self.world.platform.put("op", "", "config", json.dumps({
            "version": version,
            "routes": [dict(route, host="orders"),
                       dict(route, host="news", public=True)],
            "services": [{"name": "g1", "max-conns": 16, "sync-replicas": 1}],
            "tenants": [{"name": "acme", "api-keys": keys}],
            "limits": {"tx-idle-ms": 20000},
        }))

    async def test_keys(self):
        group, sessions = self.world.group, []
        for number, instance in enumerate(self.world.instances):
            # An unknown key is refused at the start, and the session closes.
            refused = Session()
            self.assertIn(REFUSED, await refused.open(instance, "orders", "key-x"))
            self.assertEqual(await refused.read_line(), "")
            # A public route needs no key.
            public = Session()
            self.assertIn("READY", await public.open(instance, "news", "key-x"))
            self.assertIn("COMPLETE", await public.query(f"p{number}.1", "WRITE p 1"))
            self.assertEqual(group.accounts[f"p{number}.1"], "plantaintiller")
            # Servers are told the account's name.
            idle, busy, kept = Session(), Session(), Session()
            for session, key in ((idle, "key-old-1"), (busy, "key-old-1"),
                                 (kept, "key-new-2")):
                self.assertIn("READY", await session.open(instance, "orders", key))
            self.assertIn("COMPLETE", await idle.query(f"i{number}.1", "WRITE i 1"))
            self.assertEqual(group.accounts[f"i{number}.1"], "acme")
            await busy.query(f"b{number}.0", "BEGIN")
            self.assertIn("COMPLETE", await busy.query(f"b{number}.1", "WRITE b 1"))
            sessions.append((idle, busy, kept))
        self.publish(2, ["key-new-2"])
        await asyncio.sleep(2)
        for number, (idle, busy, kept) in enumerate(sessions):
            # A withdrawn key ends open sessions and rolls transactions back.
            self.assertIn(REFUSED, await idle.query(f"i{number}.2", "WRITE i 2"))
            self.assertEqual(await idle.read_line(), "")
            self.assertIn(REFUSED, await busy.query(f"b{number}.2", "COMMIT"))
            self.assertEqual(await busy.read_line(), "")
            self.assertIn("COMPLETE", await kept.query(f"k{number}.1", "WRITE k 1"))
        written = {each.query_id for each in group.leader().log}
        self.assertFalse(written & {"b0.1", "b1.1", "i0.2", "i1.2"})
        # One of the instances forwarded its sessions, and no key was logged.
        # The log is written by a thread of its own.
        for _ in range(50):
            logs = "".join(each.read_text() for each in self.folder.glob("*.log"))
            if "withdrawn_key" in logs:
                break
            await asyncio.sleep(0.1)
        self.assertIn("home_opened", logs)
        self.assertIn("withdrawn_key", logs)
        for key in ("key-old-1", "key-new-2", "key-x"):
            self.assertNotIn(key, logs)


if __name__ == "__main__":
    unittest.main()
