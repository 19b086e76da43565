"""Tests that a running instance tells which sources it was built from."""

import pathlib
import subprocess
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import soak  # noqa: E402
from directed_world import run_world  # noqa: E402


class SourceDigestTest(unittest.TestCase):
    # Runs of an older build could not be told from runs of the present code.
    def test_start_line_names_the_sources_of_the_build(self):
        digest = subprocess.run(
            ["cmake", "-P", str(soak.ROOT / "cmake/source_digest.cmake")],
            capture_output=True, text=True, check=True).stdout.strip()
        self.assertRegex(digest, "^[0-9a-f]{12}$")

        async def scenario(world):
            await world.wait_until(
                lambda: f"source={digest}" in world.log_of(world.instances[0]))

        run_world(scenario)


if __name__ == "__main__":
    unittest.main()
