"""Tests of the check whether any server of a service can be reached."""

import asyncio
import random
import time
import unittest

from medlargate.relay._reach import ReachMonitor


class ReachMonitorTest(unittest.IsolatedAsyncioTestCase):
    def make_monitor(self, reached, *, delay=0.3):
        async def can_reach(server):
            self.tried.append(server)
            if server not in reached:
                await asyncio.sleep(delay)
            return server in reached

        self.tried = []
        return ReachMonitor(
            lambda _: [f"s{number}" for number in range(12)],
            lambda: ["engine"],
            can_reach,
            time.monotonic,
            random_state=random.Random(4),
        )

    async def test_one_dark_server_delays_no_check(self):
        monitor = self.make_monitor({f"s{number}" for number in range(1, 12)})
        for _ in range(20):
            started_at = time.monotonic()
            self.assertTrue(await monitor._check("engine"))
            self.assertLess(time.monotonic() - started_at, 0.2)

    async def test_unreachable_service_is_found_with_few_connections(self):
        monitor = self.make_monitor(set(), delay=0.01)
        checks = await asyncio.gather(*(monitor.check("engine") for _ in range(9)))
        self.assertEqual(set(checks), {False})
        self.assertEqual(len(self.tried), 8)
        self.assertEqual(monitor.list_unreachable(), ["engine"])

    async def test_second_partition_is_found_like_the_first(self):
        reached, changes = set(), []
        monitor = self.make_monitor(reached, delay=0.01)
        monitor.listeners.append(lambda _: changes.append(monitor.list_unreachable()))
        task = asyncio.create_task(monitor.run())
        try:
            for _ in range(2):
                self.assertFalse(await monitor.check("engine"))
                reached.update(f"s{number}" for number in range(12))
                async with asyncio.timeout(2):
                    while monitor.is_unreachable("engine"):
                        await asyncio.sleep(0.02)
                reached.clear()
                # A service that has just been reached is not checked at once.
                await asyncio.sleep(0.6)
        finally:
            task.cancel()
        self.assertEqual(changes, [["engine"], [], ["engine"], []])

    async def test_reached_service_is_not_checked_again_at_once(self):
        monitor = self.make_monitor({f"s{number}" for number in range(12)})
        self.assertTrue(await monitor.check("engine"))
        n_tried = len(self.tried)
        self.assertTrue(await monitor.check("engine"))
        self.assertEqual(len(self.tried), n_tried)


if __name__ == "__main__":
    unittest.main()
