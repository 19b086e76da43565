"""The entry path with real processes: a short soak, and that it can fail."""

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
SOAK = ROOT / "tests/soak/soak.py"
BINARY = os.environ.get(
    "PLANTAINTILLER_BINARY", str(ROOT / "build/release/plantaintiller")
)


def soak(*arguments):
    return subprocess.run(
        [sys.executable, str(SOAK), *arguments],
        capture_output=True, text=True, timeout=300, check=False,
    )


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        run = soak("--seeds", "1:3", "--seconds", "8")
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)

    def test_servers_that_ignore_positions_are_found(self):
        run = soak("--seeds", "1:1", "--seconds", "8", "--planted", "positions")
        self.assertEqual(run.returncode, 1, run.stdout + run.stderr)
        self.assertIn("own write", run.stdout)


class SettingsTest(unittest.TestCase):
    def refuse(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            return subprocess.run(
                [BINARY, "entry", "--settings", file.name],
                capture_output=True, text=True, timeout=20, check=False,
            )

    def test_a_bad_setting_ends_the_start(self):
        run = self.refuse('node = "n"\nzone = "z"\n[listen]\nfront = "here"\n')
        self.assertEqual(run.returncode, 2)
        self.assertIn('bad_setting: listen.front is "here", must be HOST:PORT',
                      run.stderr)

    def test_no_settings_end_the_start(self):
        run = subprocess.run(
            [BINARY, "entry"], capture_output=True, text=True, timeout=20,
            check=False, env={"PATH": os.environ["PATH"]},
        )
        self.assertEqual(run.returncode, 2)
        self.assertIn("cannot be read", run.stderr)


if __name__ == "__main__":
    unittest.main()
