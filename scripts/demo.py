"""Runs the demo's processes until interrupted; scripts/demo starts it."""

import argparse
import json
import pathlib
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "processes"))

from deployment import Deployment  # noqa: E402


def start(name):
    """Starts the small demo, or a user's deployment with its eight instances."""
    folder = ROOT / "demo-run"
    if name is None:
        return Deployment(folder)
    answers = json.loads((ROOT / "examples" / f"{name}.json").read_text())
    return Deployment(folder, answers=answers, instances=8)


def stop(*_):
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=["swanlodge", "agency"],
                        help="starts a user's deployment instead of the small demo")
    chosen = parser.parse_args()
    signal.signal(signal.SIGTERM, stop)
    deployment = start(chosen.deployment)
    try:
        deployment.wait_until_ready()
        print(f"platform  127.0.0.1:{deployment.platform_port}")
        for number, instance in deployment.instances.items():
            print(f"instance {number} in {instance['zone']}  "
                  f"callers 127.0.0.1:{instance['callers']}  "
                  f"operators 127.0.0.1:{instance['operators']}")
        print("\nTry:\n  curl -s http://127.0.0.1:%d/v1/statements -d "
              "'{\"database\":\"%s\",\"access\":\"read\",\"sql\":\"SELECT 1\"}'\n"
              % (deployment.instances[1]["callers"], deployment.database_name(1)))
        print("Logs are in demo-run/. Ctrl-C ends the demo.", flush=True)
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        pass
    finally:
        deployment.close()


if __name__ == "__main__":
    main()
