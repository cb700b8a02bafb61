"""A lower tier gets no slot that a waiting job of a higher tier could use."""

import unittest

from .. import Assignment, BackendView, ConcurrencyLimit, Job, PoolScheduler

NOW = 1.0


def make_job(number, tier=0, customer="a", **overrides):
    return Job(
        f"r{number}", customer, f"class-{tier}", "m", tier, NOW, NOW + 5.0, **overrides
    )


class HiddenJobTest(unittest.TestCase):
    """The first job of a customer can't use the free server, but the second can."""

    def setUp(self):
        self.scheduler = PoolScheduler("m")
        for name, cheap in (("dear", False), ("cheap", True)):
            view = BackendView(name, "fd-a", cheap, ConcurrencyLimit(2))
            view.others = 2
            self.scheduler.views[name] = view

    def assert_dispatched(self, expected, backend):
        self.scheduler.views[backend].others = 1
        decisions = self.scheduler.decide(NOW)
        dispatched = [it.job.request_id for it in decisions if type(it) is Assignment]
        self.assertEqual(dispatched[:1], [expected])

    def push(self, *jobs):
        for job in jobs:
            self.assertIsNone(self.scheduler.observe_arrival(job, NOW))

    def test_first_job_that_may_not_use_cheap_servers(self):
        self.push(make_job(1, cheap_allowed=False), make_job(2), make_job(3, tier=1))
        self.assert_dispatched("r2", "cheap")

    def test_first_job_that_is_suspected_of_crashes(self):
        self.scheduler.views["dear"].n_suspects = 1
        self.push(make_job(1, isolated=True), make_job(2), make_job(3, tier=1))
        self.assert_dispatched("r2", "dear")

    def test_requeued_job_of_a_heavy_customer(self):
        requests = self.scheduler.state.get_class_queue(make_job(0)).requests
        requests._heavy_customers = frozenset("a")
        requests._heavy_updated_at = NOW
        self.push(make_job(2), make_job(3, tier=1))
        failed = make_job(1, excluded_backends={"dear"})
        self.scheduler.observe_requeue(failed, NOW)
        self.assertEqual(requests.peek(), failed)
        self.assert_dispatched("r2", "dear")

    def test_order_of_a_customer_holds_where_both_jobs_can_run(self):
        self.push(make_job(1), make_job(2, cheap_allowed=False), make_job(3))
        self.assert_dispatched("r1", "dear")
        self.assert_dispatched("r3", "cheap")


if __name__ == "__main__":
    unittest.main()
