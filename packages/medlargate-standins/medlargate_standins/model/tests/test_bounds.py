import statistics
import unittest

from .. import (
    VARIANTS,
    Variant,
    make_agency,
    make_consortium,
    make_partners,
    make_straggler,
    measure,
)

MEDLARGATE = VARIANTS[0]


def run(sim, until, **interval):
    sim.clock.run_until(until)
    return measure(sim, **interval)


class AgencyTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        sim = make_agency(MEDLARGATE)
        cls.report = run(sim, 200, start=30, end=140, pool="drafting", heavy=set())

    def test_quick_replies_meet_their_targets_at_three_times_capacity(self):
        self.assertGreaterEqual(self.report.attainment["quick"], 0.99)

    def test_goodput_at_three_times_capacity(self):
        self.assertGreaterEqual(self.report.goodput, 0.95)

    def test_wasted_work_is_bounded(self):
        self.assertLessEqual(self.report.wasted, 0.02)

    def test_every_class_is_served(self):
        self.assertGreater(min(self.report.attainment.values()), 0.0)


class ConsortiumTest(unittest.TestCase):
    def worst(self, heavy):
        sim = make_consortium(MEDLARGATE, heavy=heavy)
        interval = {"start": 20, "end": 200, "pool": "tutor", "heavy": {"partner-0"}}
        return run(sim, 260, **interval).worst_customer

    def test_a_heavy_customer_does_not_crowd_out_the_rest(self):
        self.assertGreaterEqual(self.worst(True), 0.95 * self.worst(False))


class PartnersTest(unittest.TestCase):
    def test_equal_partners_get_equal_work_over_any_minute(self):
        sim = make_partners(MEDLARGATE)
        report = run(sim, 300, start=30, end=240, pool="tutor", heavy=set())
        self.assertLessEqual(report.served_spread, 0.05)


class ZoneLossTest(unittest.TestCase):
    def test_top_tier_keeps_its_targets(self):
        sim = make_agency(MEDLARGATE, overload=1.0, zone_loss=True)
        report = run(sim, 200, start=55, end=120, pool="drafting", heavy=set())
        self.assertGreaterEqual(report.attainment["quick"], 0.99)
        self.assertEqual(report.attainment["booking"], 1.0)

    def test_nobody_is_marked(self):
        sim = make_agency(MEDLARGATE, overload=1.0, zone_loss=True)
        sim.clock.run_until(61)
        self.assertEqual([node.crashes.snapshot() for node in sim.nodes], [[]] * 7)


class StragglerTest(unittest.TestCase):
    def run_variant(self, variant):
        sim = make_straggler(variant)
        sim.clock.run_until(160)
        arrived = [o for o in sim.outcomes.values() if 20 <= o.arrived_at < 120]
        first_token_times = [
            o.first_at - o.arrived_at if o.first_at is not None else 99.0
            for o in arrived
        ]
        return sim, statistics.quantiles(first_token_times, n=20)[18]

    def test_first_token_is_near_the_omniscient_choice(self):
        _, medlargate_p95 = self.run_variant(MEDLARGATE)
        omniscient = Variant("omniscient", ranking="omniscient", sharing="each")
        _, omniscient_p95 = self.run_variant(omniscient)
        self.assertLessEqual(medlargate_p95, 1.25 * omniscient_p95)

    def test_nodes_do_not_herd(self):
        # Nodes that follow the same delayed load reports crowd onto the same engine.
        medlargate, _ = self.run_variant(MEDLARGATE)
        reports = Variant("reports", sharing="reports")
        reporting, _ = self.run_variant(reports)
        for name in ("engine-0", "engine-1", "engine-2"):
            variance = statistics.pvariance(
                medlargate.engines[name].load_samples[20:120]
            )
            reporting_variance = statistics.pvariance(
                reporting.engines[name].load_samples[20:120]
            )
            self.assertLess(variance, reporting_variance)
