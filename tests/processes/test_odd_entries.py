"""Tests that odd entries in the list of databases do no harm to real instances."""

import asyncio
import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from directed_world import run_world  # noqa: E402

ENTRY = {
    "service": "g1", "address": "127.0.0.1:9", "zone": "z1", "version": "v1",
    "slots": 2, "state": "ready", "cold-remaining-ms": 0, "db-role": "replica",
    "seq": 1, "born": 1,
}


def changed(**fields):
    return json.dumps({**ENTRY, **fields})


ODD_ENTRIES = {
    "i-deep": "[" * 30000 + "]" * 30000,
    "i-deep-field": changed()[:-1] + ',"x":' + '{"a":' * 9000 + "1" + "}" * 9000 + "}",
    "i-large": changed().replace('"slots": 2', '"slots": 1e300'),
    "i-larger": changed().replace('"slots": 2', '"slots": 1e999'),
    "i-many": changed(slots=2 ** 32),
    "i-born": changed(born=10 ** 30),
    "i-port": changed(address="127.0.0.1:70000"),
    "i-no-port": changed(address="127.0.0.1:-1"),
    "i-host": changed(address="999.1.1.1:80"),
    "i-name": changed(address="database:80"),
    "i-line": changed(zone="z1\r\nQUERY - RESUME"),
    "i with blanks": changed(),
    "i&part=x#%zz": "\0\xff",
    "i-list": json.dumps([ENTRY]),
    "i-empty": "",
}


class OddEntryTest(unittest.TestCase):
    # An odd entry of another writer ended the instances that read the list, or
    # made them stop following it (report of other operators).
    def test_instances_go_on_and_follow_the_list(self):
        async def scenario(world):
            await world.wait_until(lambda: len(world.checker.acknowledged) > 50)
            started = [each.process.pid for each in world.instances]
            for key, value in ODD_ENTRIES.items():
                world.platform.put("servers", "", key, value)
            not_base64 = ("servers", "", "i-bytes")
            world.platform.rows[not_base64] = {
                "table": "servers", "part": "", "key": "i-bytes", "value": 7,
                "row-version": 2 ** 62}
            await asyncio.sleep(3)
            self.assertEqual(
                [each.process.poll() for each in world.instances], [None] * 3)
            self.assertEqual(
                [each.process.pid for each in world.instances], started)
            # A change of primary needs the list and every server of the group.
            await world.change_leader()
            written = len(world.checker.acknowledged)
            await world.wait_until(
                lambda: len(world.checker.acknowledged) > written + 50)

        world = run_world(scenario)
        self.assertEqual(world.checker.violations, [], world.promotion_log)


if __name__ == "__main__":
    unittest.main()
