"""Rejection on arrival and the order in which rejected callers return."""

import itertools
import math
import random
import time
import unittest

from medlargate.policy import QueueClass, ReturnTimes, ServedRates

IN_TIME = QueueClass(1, False, False)
LATE = QueueClass(1, False, True)
PASS = 0.05  # seconds between two passes through the queue


class ServedRatesTest(unittest.TestCase):
    """Load: arrivals at twice the rate that the servers bear, for many seconds."""

    def observe(self, rates, *, waiting, served, start=0.0, duration=3.0):
        """Replay passes through a queue; ``served`` is in requests a second."""
        due = dict.fromkeys(served, 0.0)
        for step in range(int(duration / PASS)):
            now = start + step * PASS
            rates.observe_waiting(waiting, now)
            for queue_class, rate in served.items():
                due[queue_class] += rate * PASS
                while due[queue_class] >= 1:
                    due[queue_class] -= 1
                    rates.observe_served(queue_class, now)
        return start + duration

    def predict(self, rates, queue_class, n_ahead, now):
        return rates.predict_wait(
            queue_class, n_ahead=n_ahead, n_ahead_in_class=n_ahead, now=now
        )

    def test_wait_is_the_queue_over_the_measured_rate(self):
        rates = ServedRates()
        now = self.observe(rates, waiting=[IN_TIME] * 40, served={IN_TIME: 20})
        self.assertAlmostEqual(self.predict(rates, IN_TIME, 39, now), 2.0, delta=0.2)

    def test_class_that_is_never_served_is_certain_to_wait_too_long(self):
        rates = ServedRates()
        waiting = [IN_TIME] * 5 + [LATE] * 5
        now = self.observe(rates, waiting=waiting, served={IN_TIME: 20})
        self.assertGreater(self.predict(rates, LATE, 5, now), 100)
        self.assertLess(self.predict(rates, IN_TIME, 5, now), 1)

    def test_node_that_gets_few_slots_does_not_take_chance_for_certainty(self):
        # One of many nodes: the few slots that it got in 1.5 s went to late requests.
        rates = ServedRates()
        waiting = [IN_TIME, LATE, LATE, LATE]
        now = self.observe(rates, waiting=waiting, served={LATE: 3}, duration=1.5)
        counts = {"n_ahead": 0, "n_ahead_in_class": 0, "now": now}
        self.assertEqual(rates.predict_wait(IN_TIME, **counts), math.inf)
        self.assertLess(rates.predict_least_wait(IN_TIME, **counts), 1.0)

    def test_least_wait_of_a_class_that_yields_to_others_is_certain(self):
        rates = ServedRates()
        waiting = [IN_TIME] * 5 + [LATE] * 5
        now = self.observe(rates, waiting=waiting, served={IN_TIME: 20})
        counts = {"n_ahead": 5, "n_ahead_in_class": 5, "now": now}
        self.assertEqual(rates.predict_least_wait(LATE, **counts), math.inf)
        self.assertLess(rates.predict_least_wait(IN_TIME, **counts), 1.0)

    def test_least_wait_comes_close_to_the_mean_with_much_evidence(self):
        rates = ServedRates()
        now = self.observe(rates, waiting=[IN_TIME] * 400, served={IN_TIME: 200})
        counts = {"n_ahead": 400, "n_ahead_in_class": 400, "now": now}
        least, mean = (
            predict(IN_TIME, **counts)
            for predict in (rates.predict_least_wait, rates.predict_wait)
        )
        self.assertLess(least, mean)
        self.assertGreater(least, 0.85 * mean)

    def test_short_burst_is_no_evidence(self):
        # Guards against rejections of a burst that the servers handle in time.
        rates = ServedRates()
        now = self.observe(
            rates, waiting=[IN_TIME] * 300, served={IN_TIME: 1}, duration=0.6
        )
        self.assertEqual(self.predict(rates, IN_TIME, 300, now), 0.0)

    def test_servers_that_pause_are_no_evidence(self):
        # Guards against rejections just after all servers of a service had asked for a
        # pause, as brittle ones do.
        rates = ServedRates()
        now = self.observe(rates, waiting=[IN_TIME], served={})
        self.assertEqual(self.predict(rates, IN_TIME, 3, now), 0.0)

    def test_pause_of_the_node_does_not_lower_the_rate(self):
        rates = ServedRates()
        served = {IN_TIME: 20}
        now = self.observe(rates, waiting=[IN_TIME] * 9, served=served)
        rates.observe_waiting([IN_TIME] * 9, now + 5.0)
        self.assertLess(self.predict(rates, IN_TIME, 20, now + 5.0), 1.3)


class ReturnTimesTest(unittest.TestCase):
    def setUp(self):
        self.returns = ReturnTimes()
        self.random_state = random.Random(1)

    def promise(self, digest, now=0.0, *, wait=0.3, rate=10.0, time_left=9.0):
        return self.returns.promise(
            digest,
            line="line",
            wait=wait,
            rate=rate,
            time_left=time_left,
            arrived_at=now,
            now=now,
            random_state=self.random_state,
        )

    def test_callers_return_one_after_the_other(self):
        promised = [self.promise(f"d{n}") for n in range(10)]
        gaps = [later - first for first, later in itertools.pairwise(promised)]
        for gap in gaps:
            self.assertAlmostEqual(gap, 0.1)

    def test_callers_beyond_the_longest_time_are_spread(self):
        promised = [self.promise(f"d{n}", wait=60.0) for n in range(50)]
        self.assertLessEqual(max(promised), 3.0)
        self.assertGreater(len({round(it, 1) for it in promised}), 8)

    def test_caller_that_obeyed_precedes_new_ones(self):
        retry_after = self.promise("d", 5.0)
        self.assertEqual(self.returns.decide_queued_at("d", 5.0 + retry_after), 5.0)
        self.assertEqual(self.returns.decide_queued_at("other", 6.0), 6.0)

    def test_caller_that_returns_early_gains_nothing(self):
        retry_after = self.promise("d", 5.0, wait=2.0)
        for step in range(1, 10):
            now = 5.0 + step / 10
            queued_at = self.returns.decide_queued_at("d", now)
            self.assertAlmostEqual(queued_at, 5.0 + retry_after)
            # Another rejection names the same time.
            self.assertAlmostEqual(now + self.promise("d", now), 5.0 + retry_after)

    def test_rejections_are_bounded_and_expire(self):
        returns = self.returns = ReturnTimes(max_returns=100)
        for number in range(500):
            self.promise(f"d{number}", number / 100)
        self.assertEqual(len(returns), 100)
        returns.expire(60.0)
        self.assertEqual(len(returns), 0)

    def test_decision_costs_a_small_fraction_of_a_millisecond(self):
        started_at = time.process_time()
        for number in range(5_000):
            self.promise(f"d{number}", number / 1_000)
            self.returns.find("d1", number / 1_000)
        self.assertLess((time.process_time() - started_at) / 5_000, 0.0002)


if __name__ == "__main__":
    unittest.main()
