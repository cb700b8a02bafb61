"""Requests that crash their servers in the middle of a stream."""

import asyncio
import unittest

from medlargate_standins.backend import Backend
from medlargate_standins.relay_testbed import RelayTestbed

N_ENGINES = 8
SETTLE_TIME = 0.5  # seconds until a crash is detected and the other nodes know it


class LateCrashTest(unittest.IsolatedAsyncioTestCase):
    """Two nodes of different failure domains before eight engines."""

    async def asyncSetUp(self):
        self.world = RelayTestbed(n_nodes=2, domains=("fd-a", "fd-b"))
        await self.world.start()
        self.addAsyncCleanup(self.world.close)
        for name in ("e1", "e2"):
            await self.world.remove_backend(name)
        for number in range(N_ENGINES):
            await self.world.add_backend(Backend(f"c{number}", "engine"))
        for backend in self.world.backends.values():
            backend.n_events, backend.pause = 12, 0.02
            backend.behaviour = self.decide_behaviour
        await asyncio.sleep(SETTLE_TIME)

    def decide_behaviour(self, req):
        n_held = int(req.headers.get("last-event-id", 0))
        return f"crash-after:{n_held + 3}" if req.target.endswith("/bad") else "ok"

    async def send(self, name, *, node=0, path="/once-stream", body=b"same"):
        return await self.world.call(f"{path}/{name}", node=node, body=body)

    def count_crashed(self):
        return sum(it.has_crashed for it in self.world.backends.values())

    async def test_request_that_crashes_after_its_third_event_is_blocked(self):
        # Guards against engines that one request crashes without end.
        replies = []
        for number in range(6):
            replies.append(await self.send("bad", node=number % 2))
            await asyncio.sleep(SETTLE_TIME)
        self.assertEqual(self.count_crashed(), 3)
        self.assertEqual([it.status for it in replies], [200] * 3 + [503] * 3)
        self.assertFalse(any(it.complete for it in replies[:3]))

    async def test_resumed_request_is_blocked_on_the_way(self):
        statuses = []
        for number in range(3):
            reply = await self.send("bad", node=number % 2, path="/resume-stream")
            statuses.append(reply.status)
            await asyncio.sleep(SETTLE_TIME)
        self.assertEqual(statuses, [200, 200, 503])
        # The second attempt of a request begins before the crash under the first one is
        # known.
        self.assertLessEqual(self.count_crashed(), 4)

    async def test_streams_beside_the_crashing_one_stay_sound(self):
        for number in range(3):
            calls = [self.send(f"good{it}", body=b"%d" % it) for it in range(6)]
            await asyncio.gather(self.send("bad", node=number % 2), *calls)
            await asyncio.sleep(SETTLE_TIME)
        for number in range(6):
            reply = await self.send(f"good{number}", body=b"%d" % number)
            self.assertEqual(reply.status, 200)
        self.assertEqual((await self.send("bad")).status, 503)

    async def crash_together(self, pause):
        """Crash the engines of equal streams at once; each node serves one more."""
        for backend in self.world.backends.values():
            backend.pause = pause
        calls = [asyncio.create_task(self.send("popular")) for _ in range(24)]
        await asyncio.sleep(0.6)
        busy = [it for it in self.world.backends.values() if it.runs][:5]
        self.assertGreater(len(busy), 3)
        for backend in busy:
            backend.crash()
        await asyncio.gather(*calls)
        await asyncio.sleep(SETTLE_TIME)
        for node in range(2):
            self.assertEqual((await self.send("popular", node=node)).status, 200)

    async def test_equal_streams_on_engines_that_crash_together_are_not_blocked(self):
        # Guards against a popular request that the loss of a domain blocks.
        await self.crash_together(0.2)

    async def test_equal_streams_that_begin_when_engines_crash_are_not_blocked(self):
        await self.crash_together(0.7)


if __name__ == "__main__":
    unittest.main()
