"""Malformed, slow, oversized and half-closed callers cost others nothing."""

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
        cls.system.wait_ready()
        cls.port = cls.system.instances[1]["callers"]

    def tearDown(self):
        status, _ = self.system.statement(1, "SELECT 1")
        self.assertEqual(status, 200, "the instance no longer serves")

    def talk(self, data, half_close=False):
        with socket.create_connection(("127.0.0.1", self.port), 15) as peer:
            peer.sendall(data)
            if half_close:
                peer.shutdown(socket.SHUT_WR)
            chunks = b""
            while chunk := peer.recv(65536):
                chunks += chunk
            return chunks

    def request(self, body, extra=b""):
        return (b"POST /v1/statements HTTP/1.1\r\nHost: x\r\n" + extra +
                b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def test_not_http(self):
        self.assertIn(b"400", self.talk(b"\x00\x01\x02 nonsense\r\n\r\n"))

    def test_body_too_large(self):
        head = (b"POST /v1/statements HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 99999999\r\n\r\n")
        self.assertIn(b"413", self.talk(head))

    def test_header_too_large(self):
        self.assertIn(b"413", self.talk(b"GET / HTTP/1.1\r\nA: " + b"x" * 40000 +
                                        b"\r\n\r\n"))

    def test_truncated_body(self):
        whole = self.request(b'{"database":"demo.database-1"}')
        self.assertEqual(self.talk(whole[:-5], half_close=True), b"")

    def test_half_closed_caller_gets_its_answer(self):
        body = json.dumps({"database": "demo.database-1", "access": "read",
                           "sql": "SELECT 7"}).encode()
        answer = self.talk(self.request(body, b"Connection: close\r\n"),
                           half_close=True)
        self.assertIn(b'"7"', answer)

    def test_pipelined_requests_are_answered_in_order(self):
        def body(number):
            return json.dumps({"database": "demo.database-1", "access": "read",
                               "sql": f"SELECT {number}"}).encode()
        data = b"".join(self.request(body(n)) for n in range(100, 119))
        data += self.request(body(119), b"Connection: close\r\n")
        answers = self.talk(data)
        places = [answers.find(b'"%d"' % n) for n in range(100, 120)]
        self.assertNotIn(-1, places)
        self.assertEqual(places, sorted(places))

    def test_wrong_paths_and_methods(self):
        for target in ("/", "/v1/statements/x", "/v1/transactions/1-2-3/fly"):
            status, answer = self.system.post(1, target, {})
            self.assertEqual((status, answer["error"]["type"]),
                             (400, "bad_request"))

    def test_many_idle_callers(self):
        wanted = 10000
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (min(hard, wanted + 500), hard))
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        idle = []
        try:
            for _ in range(wanted):
                idle.append(socket.create_connection(("127.0.0.1", self.port), 15))
            status, _ = self.system.statement(1, "SELECT 1")
            self.assertEqual(status, 200)
        finally:
            for each in idle:
                each.close()


if __name__ == "__main__":
    unittest.main()
