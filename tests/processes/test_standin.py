"""A stand-in that is terminated with open connections exits cleanly."""

import os
import pathlib
import signal
import socket
import subprocess
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = os.environ.get(
    "PLANTAINTILLER_BINARY", str(ROOT / "build/release/plantaintiller")
)


class StandinTest(unittest.TestCase):
    def terminate(self, kind):
        process = subprocess.Popen(
            [BINARY, "stand-in", kind], stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, text=True,
        )
        port = int(process.stdout.readline().split()[1])
        callers = [
            socket.create_connection(("127.0.0.1", port)) for _ in range(3)
        ]
        # An incomplete message, so that its session waits for the rest.
        callers[0].sendall(b"\0\0\0\x20")
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=20)
        for each in callers:
            each.close()
        return process.returncode, errors

    def test_backend_ends_cleanly(self):
        self.assertEqual(self.terminate("backend"), (0, ""))

    def test_platform_ends_cleanly(self):
        self.assertEqual(self.terminate("platform"), (0, ""))


if __name__ == "__main__":
    unittest.main()
