"""Tests that the soak's callers end when they are cancelled.

`asyncio.wait_for` of Python 3.11 drops a cancellation that arrives together with
the awaited answer. A soak whose callers did so went on after its end.
"""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
import platform_standin  # noqa: E402
import soak  # noqa: E402


class DiscardingWriter:
    def write(self, data):
        pass


async def repeat(action):
    while True:
        await action()


async def ends_if_cancelled_with_answer(action, deliver_answer):
    """Returns whether a task that repeats an action ends if it is cancelled in the
    step in which its answer arrives."""
    task = asyncio.create_task(repeat(action))
    await asyncio.sleep(0.01)
    deliver_answer()
    # The reader's coroutine ends in the next step of the loop, its waiter after it.
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task], timeout=1)
    ended = task.done()
    task.cancel()
    return ended


class CancellationTest(unittest.TestCase):
    def test_caller_that_receives_its_answer_ends(self):
        async def run():
            caller = soak.Caller(None, "orders")
            caller.writer = DiscardingWriter()
            caller.reader = asyncio.StreamReader()
            return await ends_if_cancelled_with_answer(
                lambda: caller.send_query("q", "BEGIN"),
                lambda: caller.reader.feed_data(b"READY T -\r\n"))

        self.assertTrue(asyncio.run(run()))

    def test_feed_that_sees_a_change_ends(self):
        async def run():
            platform = platform_standin.Platform([], "127.0.0.1", 0)
            query = {"after": "0", "wait-ms": "5000", "table": "op"}
            return await ends_if_cancelled_with_answer(
                lambda: platform.wait_for_changes(query),
                lambda: platform.put("servers", "", "i-1", "{}"))

        self.assertTrue(asyncio.run(run()))


if __name__ == "__main__":
    unittest.main()
