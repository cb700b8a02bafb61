"""Replays of servers on shared machines, with several nodes and stale views."""

import heapq
import itertools
import unittest
from collections import Counter
from random import Random

from medlargate.policy import (
    ProbeBudget,
    ResponseLimits,
    ServerSpeed,
    ServerState,
    ServiceTimes,
    SlowEngines,
    choose_short_prompt_engines,
    compute_late_probability,
    decide_placement,
    predict_pause,
    select_speeds,
)

TIMES = ServiceTimes(base=0.4, per_running_request=0.002)
LIMITS = ResponseLimits(time_to_target=1.0)
EXCHANGE_INTERVAL = 0.2  # seconds between statuses of a node
MOVE_INTERVAL = 4.0  # seconds after which other servers are slow


class Replay:
    """Requests of several nodes to servers whose speed changes, in simulated time."""

    def __init__(self, *, n_nodes, n_servers, report, fixed=(), times=TIMES, slots=8):
        self.random = Random(3)
        self.names = [f"s{number}" for number in range(n_servers)]
        self.fixed = dict.fromkeys(self.names, 1.0) | dict(fixed)
        self.report, self.times, self.slots = report, times, slots
        self.nodes = [
            {name: ServerSpeed() for name in self.names} for _ in range(n_nodes)
        ]
        self.budgets = [ProbeBudget(self.random.random()) for _ in self.nodes]
        self.running = [Counter() for _ in self.nodes]
        self.counts, self.slow, self.elapsed = Counter(), 0, []
        self.slow_names = frozenset()

    def run(self, *, rate, seconds, count_from=0.0, move=lambda _: frozenset()):
        self.count_from = count_from
        order = itertools.count()
        rounds = seconds / EXCHANGE_INTERVAL
        events = [
            (it * EXCHANGE_INTERVAL, next(order), self.exchange, ())
            for it in range(int(rounds))
        ]
        at = 0.0
        while (at := at + self.random.expovariate(rate)) < seconds:
            events.append((at, next(order), self.send, ()))
        heapq.heapify(events)
        while events:
            now, _, handle, args = heapq.heappop(events)
            self.slow_names = move(int(now / MOVE_INTERVAL))
            for delay, *rest in handle(now, *args):
                heapq.heappush(events, (now + delay, next(order), *rest))
        return self

    def send(self, now):
        node = self.random.randrange(len(self.nodes))
        speeds, running = self.nodes[node], self.running[node]
        estimates = {name: it.estimate(now) for name, it in speeds.items()}
        rows = [(name, it, running[name] > 0) for name, it in estimates.items()]
        probe = self.budgets[node].choose(rows, random_state=self.random)
        states = [
            ServerState(
                name,
                "a",
                running[name],
                self.slots,
                slowness=it.fixed_slowness,
                machine_slowness=it.machine_slowness,
                speed_error=it.error,
                probe_age=probe[1] if probe and probe[0] == name else None,
            )
            for name, it in estimates.items()
        ]
        placement = decide_placement(
            states, self.times, domain="a", limits=LIMITS, random_state=self.random
        )
        name = placement.name
        is_probe = probe is not None and probe[0] == name
        self.budgets[node].observe_request(is_probe=is_probe)
        running[name] += 1
        self.counts[name] += now >= self.count_from
        self.slow += name in self.slow_names
        elapsed = self.times.base * self.fixed[name]
        elapsed *= self.random.uniform(0.9, 1.1) * (3 if name in self.slow_names else 1)
        log_sent = speeds[name].compute_log_reported(now)
        args = (node, name, elapsed, placement.predicted, log_sent)
        return [(elapsed, self.receive, args)]

    def receive(self, now, node, name, elapsed, predicted, log_sent):
        speed = self.nodes[node][name]
        self.running[node][name] -= 1
        self.elapsed.append(elapsed)
        slowness = self.report(name, name in self.slow_names, self.random)
        if slowness is not None:
            speed.observe_own_report(slowness, now)
        speed.observe_time(elapsed, predicted, log_sent=log_sent, queued=False, now=now)
        return []

    def exchange(self, now):
        for number, speeds in enumerate(self.nodes):
            rows = select_speeds(speeds, now)
            for other in self.nodes[:number] + self.nodes[number + 1 :]:
                for name, (slowness, age) in rows.items():
                    other[name].observe_report(slowness, now - age - 0.01)
        return []


def report_honestly(name, is_slow, random_state):
    return 3.0 if is_slow else 1.0


def move(number):
    return frozenset(f"s{it}" for it in range(3 * number % 9, 3 * number % 9 + 3))


class SharedMachinesTest(unittest.TestCase):
    """Guards against requests to servers that are reported to be slow."""

    def replay(self, report, *, n_nodes=6, rate=45, seconds=60, **more):
        replay = Replay(n_nodes=n_nodes, n_servers=9, report=report, **more)
        replay.run(rate=rate, seconds=seconds, move=move)
        p90 = sorted(replay.elapsed)[int(0.9 * len(replay.elapsed))]
        return replay.slow / replay.counts.total(), p90

    def test_slow_servers_get_few_requests(self):
        for n_nodes, rate in ((6, 45), (12, 45), (12, 150)):
            share, p90 = self.replay(report_honestly, n_nodes=n_nodes, rate=rate)
            self.assertLessEqual(share, 0.08, n_nodes)
            self.assertLessEqual(p90, 0.6, n_nodes)

    def test_reports_that_are_always_usual_are_no_worse_than_none(self):
        silent, _ = self.replay(lambda *_: None)
        share, _ = self.replay(lambda *_: 1.0)
        self.assertLessEqual(share, silent + 0.02)

    def test_values_of_any_form_leave_all_requests_served(self):
        values = [1e-9, 0.01, 1.0, 3.0, 100.0, float("nan"), float("inf")]
        share, _ = self.replay(lambda *args: args[2].choice(values), n_nodes=12)
        self.assertLessEqual(share, 0.4)


class IncorrectReportTest(unittest.TestCase):
    def test_fast_server_that_reports_300_is_used_again(self):
        # Guards against the loss of a server whose reports disagree with its times.
        replay = Replay(
            n_nodes=6,
            n_servers=9,
            report=lambda name, *_: 3.0 if name == "s0" else 1.0,
        )
        replay.run(rate=45, seconds=150, count_from=120)
        self.assertGreaterEqual(replay.counts["s0"] / replay.counts.total(), 0.05)


class PlainServersTest(unittest.TestCase):
    """Guards against services of which two of three servers get 94% of the requests."""

    def replay(self, **fixed):
        times = ServiceTimes(base=0.1)
        return Replay(
            n_nodes=6,
            n_servers=3,
            report=report_honestly,
            times=times,
            fixed=fixed,
            slots=6,
        ).run(rate=40, seconds=40)

    def test_servers_of_equal_speed_get_equal_shares(self):
        counts = self.replay().counts
        for name in counts:
            self.assertTrue(0.25 <= counts[name] / counts.total() <= 0.42, counts)

    def test_fixed_difference_is_learned_without_reports_of_it(self):
        counts = self.replay(s1=1 / 0.55).counts
        self.assertLessEqual(counts["s1"] / counts.total(), 0.2, counts)


class SlowEnginesTest(unittest.TestCase):
    """Guards against nodes that reserve different engines for short prompts."""

    def test_all_nodes_reserve_the_same_engines_of_usual_speed(self):
        names = [f"e{number}" for number in range(12)]
        reserved = choose_short_prompt_engines(names)
        holder, *others = (SlowEngines() for _ in range(4))
        slownesses = dict.fromkeys(names, 1.0) | dict.fromkeys(reserved, 1.8)
        self.assertTrue(holder.decide(slownesses, 1000.0))
        for other in others:
            other.merge(holder.decided_at, sorted(holder.names), 1001.0)
            other.merge(900.0, ["e5"], 1001.0)
            other.merge(5000.0, ["e6"], 1001.0)
        nodes = [holder, *others]
        choices = {choose_short_prompt_engines(names, slow=it.names) for it in nodes}
        self.assertEqual(len(choices), 1)
        self.assertFalse(choices.pop() & reserved)

    def test_speed_near_the_limit_changes_nothing_again(self):
        engines = SlowEngines()
        slownesses = {"e1": 1.0, "e2": 1.0, "e3": 1.35}
        self.assertTrue(engines.decide(slownesses, 1000.0))
        self.assertFalse(engines.decide(slownesses | {"e3": 1.2}, 2000.0))
        self.assertFalse(engines.decide(slownesses | {"e3": 1.0}, 1010.0))
        self.assertTrue(engines.decide(slownesses | {"e3": 1.0}, 3000.0))


class LatenessTest(unittest.TestCase):
    def test_stream_avoids_an_engine_whose_pauses_would_be_late(self):
        # Guards against a choice by the first event alone.
        times = ServiceTimes(base=0.05, per_output_token=0.012)
        limits = ResponseLimits(2.0, max_pause=0.25, n_tokens_per_event=10)
        busy = ServerState("busy", "a", 20, 64, backlog=0.2, speed_error=0.1)
        slow = ServerState("slow", "a", 0, 64, machine_slowness=3.0, speed_error=0.1)
        self.assertAlmostEqual(predict_pause(slow, times, n_tokens_per_event=10), 0.36)
        placement = decide_placement(
            [busy, slow], times, domain="a", limits=limits, random_state=Random(1)
        )
        self.assertEqual(placement.name, "busy")

    def test_unknown_speed_is_no_reason_to_cross_failure_domains(self):
        # Guards against billed bytes for servers that count as similar by their error.
        near = ServerState("near", "a", 3, 64, speed_error=0.1)
        far = ServerState("far", "b", 0, 64, speed_error=0.5)
        for seed in range(20):
            placement = decide_placement(
                [near, far], TIMES, domain="a", n_bytes=7000, random_state=Random(seed)
            )
            self.assertEqual(placement.name, "near")

    def test_probability_grows_with_the_error_before_the_limit(self):
        sure, unsure = (compute_late_probability(0.1, 0.2, it) for it in (0.1, 0.5))
        self.assertLess(sure, unsure)
        self.assertEqual(compute_late_probability(0.1, 0.0, 0.1), 1.0)


if __name__ == "__main__":
    unittest.main()
