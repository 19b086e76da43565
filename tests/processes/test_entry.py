"""Tests entry instances as real processes.

Runs a short soak test, checks that the soak test detects an injected defect, and
tests startup and settings.
"""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
SOAK_SCRIPT = ROOT / "tests/soak/soak.py"
BINARY = os.environ.get(
    "PLANTAINTILLER_BINARY", str(ROOT / "build/release/plantaintiller")
)


def run_soak(*arguments):
    process = subprocess.Popen(
        [sys.executable, str(SOAK_SCRIPT), *arguments],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )
    try:
        output, errors = process.communicate(timeout=300)
    except subprocess.TimeoutExpired:
        # Lets the soak end the instances that it has started.
        process.terminate()
        process.communicate()
        raise
    return subprocess.CompletedProcess(
        process.args, process.returncode, output, errors)


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        run = run_soak("--seeds", "1:3", "--seconds", "8")
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)

    def test_promises_hold_with_admission_by_deadline(self):
        run = run_soak("--seeds", "1:2", "--seconds", "8", "--contracts", "pressure")
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)

    def test_promises_hold_if_the_platform_checks_no_tokens(self):
        run = run_soak("--seeds", "1:2", "--seconds", "8", "--unfenced")
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)

    # Late second answers reached other callers as theirs, and own writes read as
    # missing: 49 and 51 violations on these seeds (MIXED).
    def test_answers_that_are_sent_twice_reach_no_other_caller(self):
        run = run_soak("--seeds", "101:2", "--seconds", "8", "--repeated", "0.02",
                       "--calm")
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)

    def test_promises_hold_under_faults_with_answers_that_are_sent_twice(self):
        run = run_soak("--seeds", "104:2", "--seconds", "8", "--repeated", "0.02")
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)

    def test_servers_that_ignore_positions_are_found(self):
        run = run_soak("--seeds", "1:1", "--seconds", "8", "--planted", "positions")
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
        self.assertIn("own write", run.stdout)

    def test_answers_with_another_receipt_are_found(self):
        run = run_soak("--seeds", "1:1", "--seconds", "4", "--planted", "receipts")
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
        self.assertIn("got receipt", run.stdout)

    def test_statements_that_run_with_another_text_are_found(self):
        run = run_soak("--seeds", "1:1", "--seconds", "4", "--planted", "texts")
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
        self.assertIn("sent was", run.stdout)

    def test_promotions_of_a_replica_without_acknowledged_commits_are_found(self):
        run = run_soak("--seeds", "1:1", "--seconds", "8", "--planted", "promotion",
                       "--only", "drain")
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
        self.assertIn("is missing at i-g1-2", run.stdout)

    def test_terminated_soak_ends_its_instances(self):
        process = subprocess.Popen(
            [sys.executable, str(SOAK_SCRIPT), "--seeds", "1:1", "--seconds", "60"],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        )
        children = pathlib.Path(f"/proc/{process.pid}/task/{process.pid}/children")
        started = []
        while len(started) < 3:
            self.assertIsNone(process.poll(), "the soak ended too early")
            time.sleep(0.05)
            started = children.read_text().split()
        process.terminate()
        self.assertEqual(process.wait(60), 128 + signal.SIGTERM)
        self.assertEqual(
            [each for each in started if pathlib.Path(f"/proc/{each}").exists()], [])


class StartTest(unittest.TestCase):
    """An instance accepts no callers before it has its routes.

    A newly started instance refused callers with CONFIG because it did not know
    their database yet (swanlodge-db trouble-1, seed 936765411413).
    """

    def test_callers_are_not_accepted_before_the_routes_are_known(self):
        host, base = "127.0.6.1", 12000 + os.getpid() % 1200 * 16
        settings = (
            f'node = "n"\nip = "{host}"\nzone = "z"\n'
            f"port-range = [{base + 5}, {base + 6}]\n[listen]\n"
            f'front = "{host}:{base + 1}"\nready = "{host}:{base + 2}"\n'
            # Nothing listens at the store's address.
            f'[platform]\naddress = "{host}:{base + 3}"\n'
            f'[cloud]\naddress = "{host}:{base + 4}"\n'
        )
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(settings)
            file.flush()
            process = subprocess.Popen(
                [BINARY, "entry", "--settings", file.name],
                stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
            )
            try:
                self.assertIn(b" 503 ", self.readiness_status_line(host, base + 2))
                with self.assertRaises(ConnectionRefusedError):
                    socket.create_connection((host, base + 1), 5)
            finally:
                process.kill()
                process.wait()

    def readiness_status_line(self, host, port):
        """Returns the status line of the readiness probe, once the instance listens."""
        for _ in range(200):
            try:
                with socket.create_connection((host, port), 5) as probe:
                    probe.sendall(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
                    return probe.recv(4096).split(b"\r\n")[0]
            except ConnectionRefusedError:
                time.sleep(0.05)
        raise AssertionError("the instance does not listen")


class SettingsTest(unittest.TestCase):
    def run_with_settings(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return subprocess.run(
                [BINARY, "entry", "--settings", file.name],
                capture_output=True, text=True, timeout=20, check=False,
            )

    def test_bad_setting_stops_startup(self):
        run = self.run_with_settings(
            'node = "n"\nzone = "z"\n[listen]\nfront = "here"\n')
        self.assertEqual(run.returncode, 2)
        self.assertIn('bad_setting: listen.front is "here", must be HOST:PORT',
                      run.stderr)

    def test_missing_settings_stop_startup(self):
        run = subprocess.run(
            [BINARY, "entry"], capture_output=True, text=True, timeout=20,
            check=False, env={"PATH": os.environ["PATH"]},
        )
        self.assertEqual(run.returncode, 2)
        self.assertIn("cannot be read", run.stderr)


if __name__ == "__main__":
    unittest.main()
