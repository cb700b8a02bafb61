"""Tests of the autoscaling duty against the answers of the platform."""

import unittest

from returns.result import Failure, Success

from medlargate.fleet import ClusterState
from medlargate.platform import (
    PlatformCallError,
    decode_registration,
    decode_routing_config,
)
from medlargate.policy import Verdict
from medlargate.relay._duties import ScaleDuty
from medlargate.routing import (
    EngineSpec,
    RoutingConfig,
    ScalingSpec,
    ServiceSpec,
    make_route_table,
)

SCALING = ScalingSpec(1, 3, 4.0, 0.2, {"a": 1.0, "b": 0.8, "c": 1.2})
SERVICE = ServiceSpec("s", 100, EngineSpec(8, 100_000), SCALING)


class ScaleDutyTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.answer = Success(200)
        self.sent = []
        self.cluster_state = ClusterState(
            decode_routing_config, decode_registration, lambda: self.now
        )
        declaration = RoutingConfig(1, (), {"s": SERVICE})
        self.cluster_state.route_table = make_route_table(declaration)
        self.demand = {"s": 0.2}
        self.duty = ScaleDuty(
            self.cluster_state, self.demand.get, self.send, lambda: self.now
        )

    async def send(self, service, zone, desired, spot):
        self.sent.append((zone, desired, spot))
        return self.answer

    async def step(self, seconds=0.0):
        self.now += seconds
        self.sent.clear()
        await self.duty.step(lambda: True)
        return list(self.sent)

    async def test_maximum_is_ordered_at_start_and_not_repeated_immediately(self):
        first = await self.step()
        self.assertEqual(
            {row for row in first if row[2]}, {(z, 3, True) for z in "abc"}
        )
        self.assertEqual(await self.step(0.4), [])

    async def test_evacuated_domain_gets_no_orders_and_the_others_enough(self):
        # Guards against engines that nothing may be sent to, and against a plan that
        # counts on them.
        self.demand["s"] = 0.0
        await self.step()
        await self.step(130.0)
        self.demand["s"] = 0.4
        before = {row[0]: row[1] for row in await self.step(10.0) if row[2]}
        self.cluster_state.observe_evacuations(["a"], 5)
        after = {row[0]: row[1] for row in await self.step(10.0) if row[2]}
        self.assertNotIn("a", after)
        for zone in "bc":
            self.assertGreater(after[zone], before[zone])

    def sum_ordered_spot(self):
        """Return the total number of spot engines in the latest orders."""
        rows = {zone: desired for zone, desired, spot in self.sent if spot}
        return sum(rows.values())

    async def test_capacity_is_kept_until_the_first_burst(self):
        # Guards against a release of engines before the first burst: no load arrives
        # for 25 s after the start.
        self.demand["s"] = 0.0
        await self.step()
        for _ in range(25):
            await self.step(1.0)
            self.assertIn(self.sum_ordered_spot(), (0, 9))
        self.demand["s"] = 0.1
        await self.step(1.0)
        fewer = [row for _ in range(60) for row in await self.step(1.0) if row[2]]
        self.assertLess(min(desired for _, desired, _ in fewer), 3)

    async def test_capacity_decays_eventually_without_any_load(self):
        self.demand["s"] = 0.0
        await self.step()
        rows = [row for _ in range(130) for row in await self.step(1.0) if row[2]]
        self.assertLess(min(desired for _, desired, _ in rows), 3)

    async def test_unfilled_order_is_repeated(self):
        await self.step()
        again = await self.step(8.0)
        self.assertTrue(any(spot for _, _, spot in again))

    async def test_refused_order_is_repeated_later(self):
        self.answer = Success(409)
        await self.step()
        self.assertEqual(await self.step(1.0), [])
        self.assertTrue(await self.step(3.0))

    async def test_orders_pause_after_a_failed_call(self):
        self.answer = Failure(PlatformCallError(Verdict.NOT_RUN, "503"))
        self.assertEqual(len(await self.step()), 1)
        self.assertEqual(await self.step(0.4), [])
        self.assertEqual(len(await self.step(1.0)), 1)

    async def test_no_orders_are_sent_without_the_lease(self):
        await self.duty.step(lambda: False)
        self.assertEqual(self.sent, [])
