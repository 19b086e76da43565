"""Runs the demo's processes until interrupted; scripts/demo starts it."""

import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "processes"))

from deployment import Deployment  # noqa: E402


def main():
    deployment = Deployment(ROOT / "demo-run")
    try:
        deployment.wait_ready()
        print("platform  127.0.0.1:%d" % deployment.platform_port)
        for number, ports in deployment.instances.items():
            print("instance %d in %s  callers 127.0.0.1:%d  operators 127.0.0.1:%d"
                  % (number, ports["zone"], ports["callers"], ports["operators"]))
        print("\nTry:\n  curl -s http://127.0.0.1:%d/v1/statements -d "
              "'{\"database\":\"database-1\",\"access\":\"read\",\"sql\":\"SELECT 1\"}'\n"
              % deployment.instances[1]["callers"])
        print("Logs are in demo-run/. Ctrl-C ends the demo.", flush=True)
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        pass
    finally:
        deployment.close()


if __name__ == "__main__":
    main()
