"""Metrics count requests that finish before the instruments are loaded."""

import asyncio
import unittest

from .. import DeferredMetrics

FACTS = {
    "customer": "alpha",
    "request_class": "read",
    "outcome": "ok",
    "queue_wait": 0.1,
    "first_token": 0.2,
    "interval": None,
    "n_tokens": 3,
}


class LateMetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_before_loading_are_counted(self):
        metrics = DeferredMetrics()
        metrics.observe_request(**FACTS)
        self.assertEqual(metrics.snapshot(), b"")
        await metrics.load(delay=0.0)
        metrics.observe_request(**FACTS)
        rows = [
            line
            for line in metrics.snapshot().decode().splitlines()
            if line.startswith("medlargate_requests") and 'outcome="ok"' in line
        ]
        self.assertTrue(rows[0].endswith(" 2.0"), rows)

    async def test_loading_does_not_block_the_event_loop(self):
        metrics = DeferredMetrics()
        task = asyncio.create_task(metrics.load(delay=0.0))
        await asyncio.sleep(0)
        metrics.observe_request(**FACTS)
        await task
        self.assertIn(b"medlargate_requests", metrics.snapshot())

    async def test_decisions_by_priority_come_first_on_the_page(self):
        metrics = DeferredMetrics()
        await metrics.load(delay=0.0)
        metrics.observe_request(**FACTS)
        metrics.observe_queue_decision("rejected", 1, "never_served")
        rows = [
            line
            for line in metrics.snapshot().decode().splitlines()
            if line.startswith("medlargate")
        ]
        self.assertIn("medlargate_queue_decisions", rows[0])
        rejected = [it for it in rows if 'evidence="never_served"' in it]
        self.assertTrue(rejected[0].endswith(" 1.0"), rejected)
