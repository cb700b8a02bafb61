"""Replays of nodes that fill the memory of engines with stale views."""

import random
import unittest

from medlargate.policy import (
    TRANSIT_TIME,
    HeldRequest,
    OutputLengths,
    compute_memory_bound,
    count_held,
    count_turns_ahead,
    fits,
    fits_class,
    has_turn,
    may_reserve,
)

CAPACITY, N_SERVERS, DURATION = 4000, 9, 0.6
STEP = 0.01  # seconds


class StaleViewReplayTest(unittest.TestCase):
    """Nodes with many waiting requests, whose messages take some time."""

    def decide(self, size, *, server, node, n_nodes, now, uses_turns, **options):
        turn = not uses_turns or has_turn(
            server, rank=node, n_nodes=n_nodes, wall_time=now
        )
        return fits(size, turn=turn, contended=True, **options)

    def replay(self, *, n_nodes, delay, uses_turns, capacity=CAPACITY, seed=1):
        """Return the largest fill of a server, and the requests served per second."""
        random_state = random.Random(seed)
        sent = []  # server, node, size, start, end
        n_done, n_steps, max_held = 0, 1000, 0
        for step in range(n_steps):
            now = step * STEP
            n_done += sum(now - STEP < row[4] <= now for row in sent)
            sent = [row for row in sent if row[4] + delay > now]
            for node in range(n_nodes):
                size = 2560 if random_state.random() < 0.2 else 780
                for server in range(N_SERVERS):
                    known = sum(
                        row[2]
                        for row in sent
                        if row[0] == server
                        and (
                            row[3] <= now < row[4]
                            if row[1] == node
                            else row[3] + delay <= now < row[4] + delay
                        )
                    )
                    recent = sum(
                        row[2]
                        for row in sent
                        if row[0] == server
                        and row[1] == node
                        and now - TRANSIT_TIME < row[3]
                        and now < row[4]
                    )
                    if self.decide(
                        size,
                        server=f"s{server}",
                        node=node,
                        n_nodes=n_nodes,
                        now=now,
                        uses_turns=uses_turns,
                        n_held=known,
                        n_recent=recent,
                        typical_size=1136,
                        bound=0.95 * capacity,
                        capacity=capacity,
                        n_others=n_nodes - 1,
                    ):
                        end = now + DURATION * (1 + (size > 1000))
                        sent.append((server, node, size, now, end))
                        break
            for server in range(N_SERVERS):
                held = sum(r[2] for r in sent if r[0] == server and r[4] > now)
                max_held = max(max_held, held)
        return max_held, n_done / (n_steps * STEP)

    def test_nodes_together_do_not_exceed_the_memory(self):
        # Without turns, all nodes fill the same room, and the server crashes.
        max_held, _ = self.replay(n_nodes=6, delay=0.02, uses_turns=False)
        self.assertGreater(max_held, CAPACITY)
        for n_nodes, delay, capacity in (
            (6, 0.02, CAPACITY),
            (12, 0.04, CAPACITY),
            (6, 0.04, 3 * CAPACITY),
            (12, 0.04, 10 * CAPACITY),
        ):
            with self.subTest(n_nodes=n_nodes, delay=delay):
                max_held, rate = self.replay(
                    n_nodes=n_nodes, delay=delay, uses_turns=True, capacity=capacity
                )
                self.assertLessEqual(max_held, capacity)
                self.assertGreater(rate, 20.0)

    def test_one_live_node_at_a_time_has_the_turn(self):
        for n_nodes in (2, 6, 62):
            n_turns = [0] * n_nodes
            for step in range(n_nodes * 20):
                turns = [
                    rank
                    for rank in range(n_nodes)
                    if has_turn(
                        "s", rank=rank, n_nodes=n_nodes, wall_time=step * 0.2 + 0.1
                    )
                ]
                self.assertEqual(len(turns), 1)
                n_turns[turns[0]] += 1
            self.assertEqual(min(n_turns), max(n_turns))

    def test_halves_of_a_partitioned_fleet_keep_within_the_memory(self):
        bounds = [
            compute_memory_bound(4000, max_share=0.95, n_alive=n, n_nodes=6)
            for n in (2, 4)
        ]
        self.assertLessEqual(sum(bounds), 4000)


class ClassReplayTest(StaleViewReplayTest):
    """The same with small urgent requests and large ones that are not."""

    def decide(self, size, *, server, node, n_nodes, now, uses_turns, **options):
        n_turns_ahead = 0
        if uses_turns:
            n_turns_ahead = count_turns_ahead(
                server, rank=node, n_nodes=n_nodes, wall_time=now
            )
        return fits_class(
            size,
            urgency=float(size < 1000),
            n_turns_ahead=n_turns_ahead,
            contended=True,
            **options,
        )


class SizeTest(unittest.TestCase):
    def test_large_request_is_alone_on_a_server_in_its_turn(self):
        options = {"bound": 3800, "capacity": 4000, "n_others": 5}
        options |= {"n_recent": 0, "typical_size": 1136}
        for n_held, turn, contended, expected in (
            (0, True, True, True),
            (1, True, True, False),
            (0, False, False, False),
        ):
            found = fits(3900, n_held=n_held, turn=turn, contended=contended, **options)
            self.assertEqual(found, expected)
            for urgency in (0.0, 1.0):
                found = fits_class(
                    3900,
                    urgency=urgency,
                    n_held=n_held,
                    n_turns_ahead=int(not turn),
                    contended=contended,
                    **options,
                )
                self.assertEqual(found, expected)

    def test_large_request_of_a_node_without_a_queue_is_sent_in_its_turn(self):
        options = {"bound": 3800, "capacity": 4000, "n_others": 5, "n_held": 0}
        options |= {"n_recent": 0, "typical_size": 1136, "contended": False}
        for n_turns_ahead in (0, 1):
            found = fits_class(
                3900, urgency=1.0, n_turns_ahead=n_turns_ahead, **options
            )
            self.assertEqual(found, not n_turns_ahead)

    def test_requests_of_a_large_fleet_use_room_before_their_turn(self):
        # Guards against empty engines that most nodes of a large fleet do not use.
        options = {"bound": 38_000, "capacity": 40_000, "n_others": 61}
        options |= {"n_held": 0, "n_recent": 0, "typical_size": 1136, "contended": True}
        self.assertTrue(fits(1136, turn=False, **options))
        for n_turns_ahead in (8, 40, 61):
            for urgency in (0.0, 1.0):
                found = fits_class(
                    1136, urgency=urgency, n_turns_ahead=n_turns_ahead, **options
                )
                self.assertTrue(found)

    def test_shared_parts_count_once(self):
        requests = [HeldRequest(700, 80.0, parts=(("p", 200),)) for _ in range(3)]
        self.assertEqual(count_held(requests), (2340, 1940))

    def test_longer_answer_than_expected_grows_up_to_its_maximum(self):
        request = HeldRequest(100, 50.0, max_output=100, n_produced=80)
        self.assertAlmostEqual(request.n_tokens, 188.0)
        request.n_produced = 100
        self.assertEqual(request.n_tokens, 200)

    def test_small_requests_overtake_a_large_one_for_half_a_second(self):
        for size, waited, expected in ((2560, 0.4, False), (2560, 0.5, True)):
            found = may_reserve(
                size, mean_size=1100, waited=waited, time_to_deadline=4.0
            )
            self.assertEqual(found, expected)


class OutputLengthsTest(unittest.TestCase):
    def test_hints_are_corrected_by_their_measured_error(self):
        # Hints are right at the median but often far off.
        random_state, lengths = random.Random(4), OutputLengths()
        n_exceeded = 0
        for number in range(2000):
            hint = random_state.randint(20, 200)
            actual = int(hint * random_state.lognormvariate(0.0, 0.6))
            n_exceeded += number > 500 and actual > lengths.predict(hint, 100_000)
            lengths.observe(actual, hint=hint)
        self.assertLess(n_exceeded / 1500, 0.1)

    def test_invalid_hints_count_as_missing(self):
        lengths = OutputLengths()
        for hint in (None, 0):
            self.assertEqual(lengths.predict(hint, 160), 160)
        self.assertEqual(lengths.predict(1_000_000, 160), 160)
        for _ in range(30):
            lengths.observe(80, hint=None)
        # The estimate moves in steps of 5%.
        self.assertLess(lengths.predict(None, 160), 80 * 1.05)


if __name__ == "__main__":
    unittest.main()
