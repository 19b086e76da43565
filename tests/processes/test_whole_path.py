"""Sessions and repeated requests over several instances, as separate processes."""

import tempfile
import unittest

from deployment import Deployment


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.system = Deployment(cls.folder.name)
        cls.addClassCleanup(cls.folder.cleanup)
        cls.addClassCleanup(cls.system.close)
        cls.system.wait_until_ready()

    def test_session_sees_its_write_on_any_instance(self):
        self.system.send_statement(1, "CREATE TABLE seen(a TEXT)", access="write")
        status, written = self.system.send_statement(
            1, "INSERT INTO seen VALUES($1)", ["x"], access="write")
        self.assertEqual(status, 200)
        for instance in self.system.instances:
            status, read = self.system.send_statement(
                instance, "SELECT a FROM seen",
                session_token=written["session_token"])
            self.assertEqual(status, 200)
            self.assertEqual(read["result"]["rows"], [["x"]])

    def test_repeated_request_id_runs_once(self):
        self.system.send_statement(1, "CREATE TABLE once(a TEXT)", access="write")
        for instance in self.system.instances:
            status, answer = self.system.send_statement(
                instance, "INSERT INTO once VALUES($1)", ["y"],
                access="write", request_id="claim-1")
            self.assertEqual(status, 200)
            self.assertEqual(answer["already_done"], instance != 1)
        _, counted = self.system.send_statement(
            2, "SELECT count(*) FROM once", max_staleness_ms=0)
        self.assertEqual(counted["result"]["rows"], [["1"]])


if __name__ == "__main__":
    unittest.main()
