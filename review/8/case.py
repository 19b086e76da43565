"""UNASKED: a client's data that contains a line feed is run as another statement."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import stand_ins  # noqa: E402


async def scenario(world, trouble):
    """Eight notes are posted, each as one message of one client."""
    broken, sent = [], {}
    # The text of a note of two lines: a message ends with CR LF only, and the
    # last field extends to the end of the line. The second line looks like a
    # request. Without the disruption the lines are separated by a blank.
    separator = "\n" if trouble else " "
    for number in range(8):
        entry = world.entries[number % len(world.entries)]
        client = stand_ins.Client(world, f"c{number}")
        await client.open(entry, "orders")
        for text in (f"READ item{number}",
                     f"WRITE item{number} paid{separator}"
                     f"QUERY 00000000000000{number:02x} WRITE rent{number} 0"):
            query, _ = await client.ask(text)
            sent[query] = text
        await asyncio.sleep(0.1)
        client.close()
    await asyncio.sleep(0.5)
    for query, text in world.runs:
        if query not in sent:
            broken.append(f"UNASKED: {query} {text!r} runs; no client sent that id")
        elif sent[query] != text:
            broken.append(f"UNASKED: {query} runs {text!r}, sent was {sent[query]!r}")
    return broken


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(stand_ins.World, scenario, HERE))
