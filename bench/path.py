"""Compares statements through the proxy with statements sent directly by libpq.

Usage: python3 bench/path.py [SECONDS]. Prints a table of docs/MEASUREMENTS.md.
"""

import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "processes"))

from deployment import Deployment, wait_until  # noqa: E402

LOAD = ROOT / "build/release/plantaintiller_path_load"


def run_load(path, port, callers, seconds):
    out = subprocess.run(
        [str(LOAD), path, "127.0.0.1", str(port), str(callers), str(seconds)],
        check=True, capture_output=True, text=True).stdout.split()
    return float(out[2]), int(out[3]), int(out[4]), int(out[5])


def choose_instances(system):
    """Returns an instance with connections to the replica and one without."""
    has_connection = {}

    def is_placed():
        for number in system.instances:
            _, routing = system.operator_request(number, "/v1/routing")
            servers = routing["databases"][0]["backend_servers"]
            has_connection[number] = servers[1]["connections"] > 0
        return len(set(has_connection.values())) == 2

    wait_until(is_placed, "connections are placed")
    return (next(n for n in has_connection if has_connection[n]),
            next(n for n in has_connection if not has_connection[n]))


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    with tempfile.TemporaryDirectory() as folder:
        system = Deployment(folder, databases=1, connections=600, instances=4)
        try:
            system.wait_until_ready()
            one_hop, two_hops = choose_instances(system)
            replica = system.backends[1, 1][1]
            floor = run_load("floor", 0, 1, seconds)
            print(f"loopback round trip: p50 {floor[1]} us, p99 {floor[2]} us\n")
            print("| callers | path | answers/s | of direct | p50 us | added p50 us"
                  " | p99 us | failures |\n|---|---|---|---|---|---|---|---|")
            for callers in (1, 16, 256):
                direct = run_load("direct", replica, callers, seconds)
                rows = [("direct", direct),
                        ("one hop", run_load("proxy",
                                             system.instances[one_hop]["callers"],
                                             callers, seconds)),
                        ("two hops", run_load("proxy",
                                              system.instances[two_hops]["callers"],
                                              callers, seconds))]
                for name, (rate, p50, p99, failures) in rows:
                    print(f"| {callers} | {name} | {rate:.0f} | "
                          f"{rate / direct[0]:.2f} | {p50} | {p50 - direct[1]} | "
                          f"{p99} | {failures} |", flush=True)
        finally:
            system.close()


if __name__ == "__main__":
    main()
