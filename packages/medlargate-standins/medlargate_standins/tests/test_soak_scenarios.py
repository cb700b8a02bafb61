"""Short seeded runs of the soak's scenarios, and tests of what judges them."""

import random
import unittest

from ..backend import Run
from ..soak._attempt_counts import find_exceeded_attempts, find_worst_window
from ..soak._departures import list_arrivals_after_departures
from ..soak._fleet import Arrival, Departure
from ..soak._lost_requests import Fault, find_lost_requests
from ..soak._scenario import load_scenario
from ..soak._scenario_run import run_scenario
from ..soak._starved_kinds import find_starved_kinds
from ..soak._traffic import CallRecord

GRACE = 8.0  # seconds


class ScenarioRunTest(unittest.IsolatedAsyncioTestCase):
    async def run_short(self, name, profile, seed):
        report = await run_scenario(
            load_scenario(name), seed, profile=profile, seconds=8.0, n_callers=40
        )
        self.assertEqual(report.violations, (), report.faults)
        self.assertGreater(report.n_served, 100)

    async def test_no_answer_is_lost_around_planned_work(self):
        await self.run_short("tutor", "planned", 1)

    async def test_requests_reach_no_more_servers_than_allowed_in_partitions(self):
        await self.run_short("repeatable", "partition", 3)

    async def test_no_late_requests_and_no_starved_kinds_beside_departures(self):
        await self.run_short("urgent", "departures", 1)


class ScenarioTest(unittest.TestCase):
    def test_packaged_scenarios_are_valid(self):
        for name in ("tutor", "booking", "repeatable", "urgent"):
            scenario = load_scenario(name)
            config = scenario.make_config(3)
            self.assertEqual(len(config["Routes"]), len(scenario.kinds))
            services = {it.service for it in scenario.kinds}
            self.assertEqual(services, set(scenario.services))

    def test_work_of_a_request_is_repeatable(self):
        kind = load_scenario("tutor").get_kind("question")
        draws = [kind.draw_work(random.Random("k1c1")) for _ in range(2)]
        self.assertEqual(*draws)


class LostRequestTest(unittest.TestCase):
    """A request that breaks the rule, and those that just keep it."""

    stop = Fault("stop", "n1", 100.0, 107.5)

    def make_call(self, sent_at, ended_at, *, node="n1", end="closed", n_before=1):
        return CallRecord(
            "r1",
            "question",
            node,
            sent_at,
            ended_at,
            end,
            n_before=n_before,
            time_limit=12.0,
        )

    def make_run(self, ended_at, *, behaviour="ok"):
        return Run("s1", "r1", 100.0, ended_at, "dropped", behaviour)

    def find(self, calls, runs=(), faults=None):
        faults = [self.stop] if faults is None else faults
        return find_lost_requests(calls, runs, faults, grace=GRACE)

    def test_late_request_that_ran_and_was_cut(self):
        call = self.make_call(103.1, 107.3)
        found = self.find([call], [self.make_run(107.3)])
        self.assertEqual([(it.cause, it.has_run) for it in found], [("stop", True)])
        self.assertIn("3.10 s after stop", str(found[0]))

    def test_early_request_may_be_cut_at_the_end_of_the_grace_period(self):
        call = self.make_call(102.9, 107.3)
        self.assertEqual(self.find([call], [self.make_run(107.3)]), [])
        self.assertEqual(len(self.find([call], [self.make_run(106.0)])), 1)

    def test_reload_during_a_stop_does_not_change_what_may_be_cut(self):
        faults = [Fault("reload", "n1", 101.0, 101.0), self.stop]
        call = self.make_call(101.5, 107.3)
        self.assertEqual(self.find([call], [self.make_run(107.3)], faults), [])

    def test_waiting_request_that_was_cut(self):
        self.assertEqual(len(self.find([self.make_call(99.0, 107.3)])), 1)

    def test_request_that_crosses_the_close(self):
        self.assertEqual(self.find([self.make_call(103.0, 103.1)]), [])

    def test_request_at_another_node_or_after_the_stop(self):
        run = self.make_run(107.3)
        self.assertEqual(
            self.find([self.make_call(103.1, 107.3, node="n2")], [run]), []
        )
        self.assertEqual(self.find([self.make_call(109.5, 110.0)], [run]), [])

    def test_unplanned_fault_excuses(self):
        for target in ("n1", "s1", ""):
            faults = [self.stop, Fault("pause", target, 101.0, 102.0)]
            call = self.make_call(104.0, 107.3)
            found = self.find([call], [self.make_run(107.3)], faults)
            self.assertEqual(found, [], target)

    def test_trouble_of_the_store_excuses_nothing(self):
        faults = [self.stop, Fault("store", "", 101.0, 106.0)]
        call = self.make_call(103.1, 107.3)
        self.assertEqual(len(self.find([call], [self.make_run(107.3)], faults)), 1)

    def test_server_that_broke_off_excuses(self):
        run = self.make_run(107.3, behaviour="reset")
        self.assertEqual(self.find([self.make_call(103.1, 107.3)], [run]), [])

    def test_calm_node_may_close_on_three_requests(self):
        calls = [self.make_call(10.0, 11.0) for _ in range(4)]
        runs = [self.make_run(11.0)]
        self.assertEqual(len(self.find(calls, runs, [])), 4)
        self.assertEqual(self.find(calls[:3], runs, []), [])


class DepartureTest(unittest.TestCase):
    """A request that reaches a server too late, and those that just keep the rule."""

    def find(self, at, *, faults=(), ended_at=108.0):
        call = CallRecord("r1", "lookup", "n1", at, at + 0.1, "answered", 200)
        departure = Departure("s1", 100.0, ended_at)
        arrival = Arrival(at, "s1", "", request_id="r1")
        return list_arrivals_after_departures([arrival], [departure], [call], faults)

    def test_late_arrival(self):
        ((lag, text),) = self.find(102.1)
        self.assertAlmostEqual(lag, 2.1)
        self.assertIn("r1 at n1 reached s1 2.10 s after it left", text)

    def test_arrival_at_the_next_start_of_the_server(self):
        self.assertEqual(self.find(109.0), [])

    def test_only_an_outage_or_a_disturbance_of_the_node_excuses(self):
        for kind, target, n_found in (
            ("store", "n3,n1", 0),
            ("pause", "n1", 0),
            ("cut", "n2", 1),
            ("store-errors", "", 1),
            ("reload", "n1", 1),
        ):
            faults = [Fault(kind, target, 99.0, 101.0)]
            self.assertEqual(len(self.find(103.0, faults=faults)), n_found, kind)


class StarvedKindTest(unittest.TestCase):
    """Urgent requests that get nothing while less urgent ones begin."""

    def find(self, n_starved=10, *, n_calls=100, rival="review", faults=()):
        calls, runs = [], []
        for number in range(n_calls):
            sent_at = 100.0 + 4.9 * number / n_calls
            status = 503 if number < n_starved else 200
            calls.append(
                CallRecord(
                    f"a{number}", "ask", "n1", sent_at, 105.0, "answered", status
                )
            )
        calls.append(CallRecord("b", rival, "n1", 100.0, 108.0, "answered", 200))
        runs.append(Run("s1", "b", 101.0))
        return find_starved_kinds(calls, runs, faults, load_scenario("urgent"))

    def test_starved_requests(self):
        self.assertIn("ask: 10 of 100 got nothing while 1", self.find()[0])

    def test_few_starved_requests(self):
        self.assertEqual(self.find(9), [])
        self.assertEqual(self.find(10, n_calls=120), [])

    def test_other_services_and_disturbances(self):
        self.assertEqual(self.find(rival="lookup"), [])
        self.assertEqual(self.find(faults=[Fault("cut", "n1", 90.0, 120.0)]), [])


class AttemptCountTest(unittest.TestCase):
    def find(self, servers, faults=()):
        call = CallRecord("r1", "lookup", "n1", 10.0, 13.0, "answered", 200)
        runs = [Run(it, "r1", 10.0, 13.0, "finished") for it in servers]
        scenario = load_scenario("repeatable")
        return find_exceeded_attempts([call], runs, faults, scenario)

    def test_request_on_more_servers_than_its_route_allows(self):
        self.assertEqual(self.find("ab"), [])
        self.assertIn("ran on a, b, c; 2 allowed", self.find("abc")[0])

    def test_servers_that_ended_meanwhile_do_not_count(self):
        self.assertEqual(self.find("abc", [Fault("kill", "a", 9.0, 11.0)]), [])

    def test_worst_window_of_a_service(self):
        ingress = {"retry_ratio": 0.2, "retry_slack": 2, "retry_window": 10}
        sent_at = [float(at) for at in range(20)]
        repeated_at = [10.0, 10.1, 10.2, 10.3, 10.4]
        self.assertEqual(find_worst_window(sent_at, repeated_at, ingress), (5, 4.0))
        self.assertEqual(find_worst_window(sent_at, [], ingress), (0, 2.0))
