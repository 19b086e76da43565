"""Malformed, slow, oversized and half-closed requests do not affect other callers."""

import json
import resource
import socket
import tempfile
import unittest

from deployment import Deployment


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.system = Deployment(cls.folder.name, databases=1, instances=2)
        cls.addClassCleanup(cls.folder.cleanup)
        cls.addClassCleanup(cls.system.close)
        cls.system.wait_until_ready()
        cls.port = cls.system.instances[1]["callers"]

    def tearDown(self):
        status, _ = self.system.send_statement(1, "SELECT 1")
        self.assertEqual(status, 200, "the instance no longer serves")

    def send_raw(self, data, half_close=False):
        with socket.create_connection(("127.0.0.1", self.port), 15) as peer:
            peer.sendall(data)
            if half_close:
                peer.shutdown(socket.SHUT_WR)
            chunks = b""
            while chunk := peer.recv(65536):
                chunks += chunk
            return chunks

    def build_request(self, body, extra=b""):
        return (b"POST /v1/statements HTTP/1.1\r\nHost: x\r\n" + extra +
                b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def test_not_http(self):
        self.assertIn(b"400", self.send_raw(b"\x00\x01\x02 nonsense\r\n\r\n"))

    def test_body_too_large(self):
        head = (b"POST /v1/statements HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 99999999\r\n\r\n")
        self.assertIn(b"413", self.send_raw(head))

    def test_header_too_large(self):
        self.assertIn(b"413", self.send_raw(b"GET / HTTP/1.1\r\nA: " + b"x" * 40000 +
                                            b"\r\n\r\n"))

    def test_truncated_body(self):
        complete_request = self.build_request(b'{"database":"demo.database-1"}')
        self.assertEqual(self.send_raw(complete_request[:-5], half_close=True), b"")

    def test_half_closed_caller_gets_its_answer(self):
        body = json.dumps({"database": "demo.database-1", "access": "read",
                           "sql": "SELECT 7"}).encode()
        answer = self.send_raw(self.build_request(body, b"Connection: close\r\n"),
                               half_close=True)
        self.assertIn(b'"7"', answer)

    def test_pipelined_requests_are_answered_in_order(self):
        def body(number):
            return json.dumps({"database": "demo.database-1", "access": "read",
                               "sql": f"SELECT {number}"}).encode()
        data = b"".join(self.build_request(body(n)) for n in range(100, 119))
        data += self.build_request(body(119), b"Connection: close\r\n")
        answers = self.send_raw(data)
        positions = [answers.find(b'"%d"' % n) for n in range(100, 120)]
        self.assertNotIn(-1, positions)
        self.assertEqual(positions, sorted(positions))

    def test_wrong_paths_and_methods(self):
        for target in ("/", "/v1/statements/x", "/v1/transactions/1-2-3/fly"):
            status, answer = self.system.post(1, target, {})
            self.assertEqual((status, answer["error"]["type"]),
                             (400, "bad_request"))

    def test_many_idle_callers(self):
        connection_count = 10000
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (min(hard, connection_count + 500), hard))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        idle = []
        try:
            for _ in range(connection_count):
                idle.append(socket.create_connection(("127.0.0.1", self.port), 15))
            status, _ = self.system.send_statement(1, "SELECT 1")
            self.assertEqual(status, 200)
        finally:
            for each in idle:
                each.close()


if __name__ == "__main__":
    unittest.main()
