"""Failures of separate processes.

Kills, freezes, store outages, silent connections and shutdown.
"""

import signal
import tempfile
import time
import unittest

from deployment import Deployment, run_command, wait_until
from history import LoadGenerator


class FailureTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.system = Deployment(folder.name, databases=1, slots=3,
                                 zones=("ba-1", "ba-2", "ke-1"), instances=4)
        self.addCleanup(self.system.close)
        self.system.wait_until_ready()

    def run_load(self, fault, instances=(1, 2, 3, 4), settle=1.5):
        load = LoadGenerator(self.system, instances)
        load.start()
        time.sleep(0.8)
        fault()
        wait_until(lambda: self.system.send_statement(
            instances[0], "SELECT 1", max_staleness_ms=0)[0] == 200,
            "reads are served again")
        time.sleep(settle)
        before = len(load.acknowledged)
        wait_until(lambda: len(load.acknowledged) > before + 5,
                   "writes are acknowledged again")
        load.stop()
        self.assertEqual(load.check(instances[0]), [])
        self.assertGreater(len(load.acknowledged), 20)
        return load

    def primary(self):
        for instance in self.system.instances:
            status, routing = self.system.operator_request(instance, "/v1/routing")
            database = routing["databases"][0]
            if status == 200 and database["watched"]:
                return database["primary"]
        raise AssertionError("no instance watches the database")

    def test_primary_killed(self):
        primary = self.primary()
        load = self.run_load(lambda: self.system.backends[1, primary][0].kill())
        self.assertNotEqual(self.primary(), primary)
        print(f"gap after kill: {load.longest_write_gap():.2f} s")

    def test_primary_frozen_and_resumed(self):
        process = self.system.backends[1, self.primary()][0]

        def fault():
            process.send_signal(signal.SIGSTOP)
            time.sleep(2.5)
            process.send_signal(signal.SIGCONT)

        load = self.run_load(fault)
        print(f"gap around freeze: {load.longest_write_gap():.2f} s")

    def test_instance_killed(self):
        self.run_load(lambda: self.system.instances[4]["process"].kill(),
                      instances=(1, 2, 3, 4))

    def test_instance_frozen_and_resumed(self):
        process = self.system.instances[2]["process"]

        def fault():
            process.send_signal(signal.SIGSTOP)
            time.sleep(2.0)
            process.send_signal(signal.SIGCONT)

        self.run_load(fault, instances=(1, 2, 3))

    def test_store_outage_and_lost_answers(self):
        def fault():
            self.system.set_platform_faults(down=True)
            time.sleep(1.5)
            self.system.set_platform_faults(down=False, lose_answers=20)

        self.run_load(fault)

    def test_primary_killed_during_store_outage(self):
        primary = self.primary()

        def fault():
            self.system.set_platform_faults(down=True)
            self.system.backends[1, primary][0].kill()
            time.sleep(1.5)
            self.system.set_platform_faults(down=False)

        self.run_load(fault)
        self.assertNotEqual(self.primary(), primary)

    def test_graceful_shutdown_loses_no_answer(self):
        load = LoadGenerator(self.system, (3,), sessions=8)
        load.start()
        time.sleep(1.0)
        lost_before = load.lost_answers
        # The listening socket closes to new requests; requests in flight are answered.
        process = self.system.instances[3]["process"]
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.popen.wait(30), 0)
        load.stop()
        self.assertEqual(lost_before, 0)
        log = process.log_path.read_text()
        self.assertIn("serve: shutdown finished. unfinished=0", log)
        self.assertEqual(load.check(1), [])

    def test_silent_backend_connections(self):
        def fault():
            for _, port in self.system.backends.values():
                status, _, errors = run_command(
                    "stand-in", "fault", "--backend", f"127.0.0.1:{port}",
                    "--name", "silent", "--value", "1")
                self.assertEqual(status, 0, errors)

        self.run_load(fault)


if __name__ == "__main__":
    unittest.main()
