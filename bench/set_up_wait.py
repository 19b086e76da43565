"""Compares what session values cost callers with several builds, side by side.

Usage: python3 bench/set_up_wait.py SECONDS BINARY... Each binary runs three
instances before stand-ins of its own, all at the same time. Prints p50 and p99 of
the statements of sessions with values, and how many of them had to wait until
their connection was set up.
"""

import asyncio
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "soak"))

import soak  # noqa: E402
from directed_world import DirectedWorld  # noqa: E402
from valued_caller import ValueCheck, ValuedCaller  # noqa: E402

CALLERS_OF_EACH_ROUTE = 4
WARM_UP_S = 4
KINDS = ("read", "write", "begun", "changed")


def read_metrics(world):
    """Returns the sums of the instances' counters by name."""
    sums = {}
    for each in world.instances:
        with urllib.request.urlopen(f"http://{each.host}:9464/metrics", timeout=5) as page:
            for line in page.read().decode().splitlines():
                match = re.fullmatch(r"plantaintiller_(\w+?)(?:\{.*\})? (\d+)", line)
                if match:
                    name = match.group(1)
                    sums[name] = sums.get(name, 0) + int(match.group(2))
    return sums


def at(times, share):
    ordered = sorted(times)
    return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def play(world, seconds):
    """Lets callers work. Returns their times, by route and kind, and the metrics."""
    await world.start_all()
    check = ValueCheck(world.checker)
    world.group.on_statement = check.watch
    await asyncio.sleep(WARM_UP_S)
    callers = [ValuedCaller(world, database, check)
               for database in soak.ROUTES for _ in range(CALLERS_OF_EACH_ROUTE)]
    world.tasks += [asyncio.create_task(each.run()) for each in callers]
    await asyncio.sleep(seconds)
    times = {}
    for each in callers:
        for kind, took in each.times:
            times.setdefault((each.database, kind), []).append(took)
    return times, await asyncio.to_thread(read_metrics, world)


def report(binary, times, metrics):
    set_ups, waits = (metrics.get(name, 0) for name in ("set_ups_total",
                                                        "set_up_waits_total"))
    answered = metrics["statements_total"]
    print(f"\n{binary}: {answered} statements answered, {set_ups} with set-up, "
          f"{waits} waited for it")
    print("| route | statement | answers | p50 ms | p99 ms |\n|---|---|---|---|---|")
    for database in soak.ROUTES:
        for kind in KINDS:
            of_kind = times.get((database, kind))
            if of_kind:
                print(f"| {soak.ROUTES[database]} | {kind} | {len(of_kind)} | "
                      f"{at(of_kind, 0.5):.2f} | {at(of_kind, 0.99):.2f} |")


def measure(seconds):
    """Measures the binary that PLANTAINTILLER_BINARY names."""
    with tempfile.TemporaryDirectory(prefix="set-up-wait-") as folder:
        world = DirectedWorld(pathlib.Path(folder))

        async def run():
            try:
                return await play(world, seconds)
            finally:
                world.end()

        try:
            times, metrics = asyncio.run(run())
        finally:
            for each in world.instances:
                each.stop()
    report(soak.BINARY, times, metrics)


def main():
    seconds, binaries = int(sys.argv[1]), sys.argv[2:]
    if not binaries:
        measure(seconds)
        return
    # A process has one loopback network, on which the metrics port is fixed.
    runs = [subprocess.Popen([sys.executable, "-W", "ignore", __file__, str(seconds)],
                             env={**os.environ, "PLANTAINTILLER_BINARY": each},
                             stdout=subprocess.PIPE, text=True)
            for each in binaries]
    for each in runs:
        print(each.communicate()[0])


if __name__ == "__main__":
    main()
