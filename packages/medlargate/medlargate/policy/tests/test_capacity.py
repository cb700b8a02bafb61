"""Orders of engines before, in and after a wave, and when reclaimable ones go."""

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


def order(zones, spec=SPEC, **load):
    orders = decide_capacity(zones, spec, **load)
    return {(it.zone, it.spot): it.desired for it in orders}


class StartTest(unittest.TestCase):
    def test_steady_engines_stay_until_reclaimable_ones_serve(self):
        zones = [ZoneEngines(name, n_on_demand=2) for name in "abc"]
        got = order(zones, demand=2.4)
        self.assertGreaterEqual(sum(n for (_, spot), n in got.items() if not spot), 3)

    def test_the_bound_holds_for_both_kinds_together(self):
        zones = [ZoneEngines(name, n_on_demand=4) for name in "abc"]
        demand = compute_max_demand(zones, SPEC)
        got = order(zones, demand=demand)
        self.assertEqual({got[name, True] for name in "abc"}, {2})

    def test_the_rest_is_ordered_as_steady_ones_leave(self):
        zones = [ZoneEngines(name, n_on_demand=0, n_spot=2) for name in "abc"]
        demand = compute_max_demand(zones, SPEC)
        got = order(zones, demand=demand, current_demand=0.1)
        self.assertEqual({got[name, True] for name in "abc"}, {6})
        self.assertEqual({got[name, False] for name in "abc"}, {0})


class ReclaimTest(unittest.TestCase):
    def test_two_domains_carry_what_three_did(self):
        zones = [ZoneEngines(name, n_spot=0) for name in "abc"]
        got = order(zones, demand=1.0)
        needed = 1.0 / 0.22
        self.assertGreaterEqual(2 * got["a", True], needed)

    def test_steady_engines_fill_in_only_while_the_others_do_not_suffice(self):
        zones = [
            ZoneEngines("a", n_spot=3),
            ZoneEngines("b", n_spot=3),
            ZoneEngines("c", n_spot=0, spot_unavailable=True),
        ]
        calm = order(zones, demand=2.0, current_demand=1.0)
        self.assertEqual(sum(calm[name, False] for name in "ab"), 0)
        self.assertEqual(calm["c", False], 1)  # the bound below, for both kinds
        wave = order(zones, demand=5.0, current_demand=5.0)
        self.assertGreaterEqual(sum(wave[name, False] for name in "abc"), 3)

    def test_without_a_bargain_only_steady_engines_are_ordered(self):
        spec = ScalingSpec(min_per_zone=0, max_per_zone=6, boot_time=4.0)
        got = order([ZoneEngines("a"), ZoneEngines("b")], spec, demand=1.5)
        self.assertEqual(sum(got.values()), 3)
        self.assertNotIn(("a", True), got)
