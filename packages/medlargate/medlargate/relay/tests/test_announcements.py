"""Rate of messages that bursts of events trigger."""

import asyncio
import unittest

from .._announcements import Announcement

INTERVAL = 0.2  # seconds


class AnnouncementTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.sent_at = []

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        self.announcement = Announcement(
            lambda: self.sent_at.append(loop.time()),
            loop.time,
            batch_delay=0.02,
            get_interval=lambda: INTERVAL,
        )

    async def test_burst_of_events_is_announced_once_in_an_interval(self):
        started_at = asyncio.get_running_loop().time()
        for _ in range(25):
            self.announcement.request()
            await asyncio.sleep(0.02)
        await asyncio.sleep(2 * INTERVAL)
        elapsed = self.sent_at[-1] - started_at
        self.assertLessEqual(len(self.sent_at), 1 + elapsed / INTERVAL)
        for first, second in zip(self.sent_at, self.sent_at[1:], strict=False):
            self.assertGreater(second - first, INTERVAL - 0.01)

    async def test_last_event_of_a_burst_is_announced(self):
        self.announcement.request()
        await asyncio.sleep(0.1)
        self.announcement.request()
        self.assertEqual(len(self.sent_at), 1)
        await asyncio.sleep(INTERVAL + 0.1)
        self.assertEqual(len(self.sent_at), 2)


if __name__ == "__main__":
    unittest.main()
