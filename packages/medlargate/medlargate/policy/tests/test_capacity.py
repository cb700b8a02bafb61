"""Engine orders at the start, in a load spike and when spot engines are lost."""

import unittest

from medlargate.policy import ZoneEngines, compute_max_demand, decide_capacity
from medlargate.routing import ScalingSpec

SPEC = ScalingSpec(
    min_per_zone=1,
    max_per_zone=6,
    boot_time=4.0,
    spot_price=0.15,
    zone_prices={"a": 1.0, "b": 0.8, "c": 1.25},
)


def decide_desired(zones, spec=SPEC, **load):
    orders = decide_capacity(zones, spec, **load)
    return {(it.zone, it.spot): it.desired for it in orders}


class StartTest(unittest.TestCase):
    def test_on_demand_engines_stay_until_spot_engines_serve(self):
        zones = [ZoneEngines(name, n_on_demand=2) for name in "abc"]
        got = decide_desired(zones, demand=2.4)
        self.assertGreaterEqual(sum(n for (_, spot), n in got.items() if not spot), 3)

    def test_the_upper_bound_holds_for_both_kinds_together(self):
        zones = [ZoneEngines(name, n_on_demand=4) for name in "abc"]
        demand = compute_max_demand(zones, SPEC)
        got = decide_desired(zones, demand=demand)
        self.assertEqual({got[name, True] for name in "abc"}, {2})

    def test_spot_engines_are_added_as_on_demand_engines_leave(self):
        zones = [ZoneEngines(name, n_on_demand=0, n_spot=2) for name in "abc"]
        demand = compute_max_demand(zones, SPEC)
        got = decide_desired(zones, demand=demand, current_demand=0.1)
        self.assertEqual({got[name, True] for name in "abc"}, {6})
        self.assertEqual({got[name, False] for name in "abc"}, {0})


class SpotLossTest(unittest.TestCase):
    def test_two_domains_suffice_when_one_is_lost(self):
        zones = [ZoneEngines(name, n_spot=0) for name in "abc"]
        got = decide_desired(zones, demand=1.0)
        needed = 1.0 / 0.22
        self.assertGreaterEqual(2 * got["a", True], needed)

    def test_on_demand_engines_fill_in_only_while_spot_engines_do_not_suffice(self):
        zones = [
            ZoneEngines("a", n_spot=3),
            ZoneEngines("b", n_spot=3),
            ZoneEngines("c", n_spot=0, spot_unavailable=True),
        ]
        normal = decide_desired(zones, demand=2.0, current_demand=1.0)
        self.assertEqual(sum(normal[name, False] for name in "ab"), 0)
        self.assertEqual(normal["c", False], 1)  # lower bound for both kinds together
        spike = decide_desired(zones, demand=5.0, current_demand=5.0)
        self.assertGreaterEqual(sum(spike[name, False] for name in "abc"), 3)

    def test_without_a_spot_price_only_on_demand_engines_are_ordered(self):
        spec = ScalingSpec(min_per_zone=0, max_per_zone=6, boot_time=4.0)
        got = decide_desired([ZoneEngines("a"), ZoneEngines("b")], spec, demand=1.5)
        self.assertEqual(sum(got.values()), 3)
        self.assertNotIn(("a", True), got)
