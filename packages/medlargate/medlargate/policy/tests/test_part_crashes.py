"""Evidence against prompt parts, replayed on several nodes."""

import random
import unittest

from .._part_crashes import (
    BLOCK_TIME,
    MAX_PARTS,
    MAX_RECORDED,
    MAX_SOUND_PARTS,
    SINGLE_CRASH_SHARE_TIME,
    PartCrashes,
    PartReport,
)


def exchange(nodes, now):
    for source in nodes:
        for target in nodes:
            target.merge(
                source.list_recent(now=now),
                source.list_recently_sound(now=now),
                source.list_memory_crashes(now=now),
            )


class IncidentReplayTest(unittest.TestCase):
    """Load pattern: one request with the part in two seconds, sound ones between."""

    def replay(self, seed, *, n_nodes=6, n_requests=40, exchange_interval=0.6):
        """Return the sent requests with the part, and the refused sound ones."""
        random_state = random.Random(seed)
        nodes = [PartCrashes() for _ in range(n_nodes)]
        n_sent = n_refused = n_servers = answers = 0
        exchanged_at = now = 0.0
        for _ in range(n_requests * 20):
            now += random_state.expovariate(8.0)
            if now - exchanged_at > exchange_interval:
                exchange(nodes, now)
                exchanged_at = now
            node = random_state.choice(nodes)
            group = f"group{random_state.randrange(4)}"
            is_bad = random_state.random() < 0.06
            parts = ["system", "bad", group] if is_bad else ["system", group]
            if node.find_blocked(parts, now=now) is not None:
                n_refused += not is_bad
            elif is_bad:
                n_sent += 1
                n_servers += 1
                node.observe_crash(parts, f"s{n_servers}", now=now)
                if random_state.random() < 0.3:
                    # A sound stream that had just begun was broken off too.
                    node.observe_crash(["system", "group1"], f"s{n_servers}", now=now)
            else:
                answers += 1
                node.observe_sound([*parts, "own"], f"a{answers}", now=now)
        return n_sent, n_refused

    def test_few_servers_crash_and_sound_requests_are_served(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                n_sent, n_refused = self.replay(seed)
                self.assertLessEqual(n_sent, 8)
                self.assertLessEqual(n_refused, 8)


class PartCrashesTest(unittest.TestCase):
    def setUp(self):
        self.crashes = PartCrashes()

    def crash(self, *parts, n_servers=3, now=0.0, spacing=0.3):
        for number in range(n_servers):
            at = now + number * spacing
            self.crashes.observe_crash(parts, f"s{number}", now=at)

    def test_one_crash_seen_by_two_nodes_counts_once(self):
        other = PartCrashes()
        for crashes in (self.crashes, other):
            for server in ("s1", "s2"):
                crashes.observe_crash(["bad"], server, now=1.0)
        exchange([self.crashes, other], 1.5)
        self.assertIsNone(self.crashes.find_blocked(["bad"], now=2.0))

    def test_completed_answer_clears_a_part_on_all_nodes(self):
        self.crash("a", now=1.0)
        other = PartCrashes()
        exchange([self.crashes, other], 2.0)
        self.assertEqual(other.find_blocked(["a"], now=2.0), "a")
        other.observe_sound(["a", "own"], "a1", now=2.5)
        exchange([self.crashes, other], 3.0)
        for crashes in (self.crashes, other):
            self.assertIsNone(crashes.find_blocked(["a"], now=3.0))

    def test_crash_after_a_completed_answer_counts(self):
        self.crash("a", now=1.0)
        self.crashes.observe_sound(["a", "own"], "a1", now=2.0)
        self.crash("a", n_servers=6, now=3.0)
        self.assertEqual(self.crashes.find_blocked(["a"], now=4.0), "a")

    def test_crashes_that_another_part_explains_do_not_count(self):
        self.crash("a", "bad")
        self.assertIsNone(self.crashes.find_blocked(["a"], now=1.0))
        self.assertIsNone(self.crashes.find_blocked(["a", "b"], now=1.0))
        self.assertIsNotNone(self.crashes.find_blocked(["b", "a", "bad"], now=1.0))

    def test_servers_that_crash_together_count_once(self):
        self.crash("a", n_servers=40, spacing=0.001)
        self.assertIsNone(self.crashes.find_blocked(["a"], now=1.0))

    def test_lost_domains_count_half(self):
        # Guards against blocks of parts without any answer after a few such losses.
        for n_losses, expected in ((5, None), (6, "part")):
            self.crashes = PartCrashes()
            for number in range(3 * n_losses):
                loss, server = divmod(number, 3)
                at = 3.0 * loss + 0.02 * server
                parts = ["part"] if server == 1 else [f"other{number}"]
                self.crashes.observe_crash(parts, f"s{number}", now=at)
            with self.subTest(n_losses=n_losses):
                self.assertEqual(self.crashes.find_blocked(["part"], now=18), expected)

    def test_part_with_completed_answers_needs_more_crashes(self):
        self.crashes.observe_sound(["a", "own"], "a1", now=0.5)
        self.crash("a", n_servers=5, now=1.0)
        self.assertIsNone(self.crashes.find_blocked(["a"], now=1.0))
        self.crash("a", n_servers=6, now=1.0)
        self.assertEqual(self.crashes.find_blocked(["a"], now=1.0), "a")

    def test_part_with_more_crashes_than_answers_is_blocked(self):
        for number in range(8):
            at = float(number)
            if number in (3, 6):
                self.crashes.observe_sound(["a", "own"], f"a{number}", now=at)
            else:
                self.crashes.observe_crash(["a"], f"s{number}", now=at)
            is_blocked = self.crashes.find_blocked(["a"], now=at) is not None
            # An answer ends the first block, of a part that was never sound before.
            self.assertEqual(is_blocked, number in (2, 7), number)

    def test_popular_part_at_all_crashes_is_not_blocked(self):
        for number in range(40):
            at = float(number)
            self.crashes.observe_crash(["common", "bad"], f"s{number}", now=at)
            for answer in range(2):
                parts = ["common", f"group{answer}", "own"]
                self.crashes.observe_sound(parts, f"{number}/{answer}", now=at + 0.5)
        self.assertIsNone(self.crashes.find_blocked(["common"], now=40.0))
        self.assertEqual(self.crashes.find_blocked(["common", "bad"], now=40.0), "bad")

    def test_parts_at_the_crashes_of_two_bad_ones_are_not_blocked(self):
        self.crashes.observe_sound(["group", "own"], "a0", now=0.0)
        for number in range(8):
            bad, at = f"bad{number % 2}", 1.0 + number
            self.crashes.observe_crash(["group", bad], f"s{number}", now=at)
            if number == 2:
                self.crashes.observe_sound(["group", "own"], "a1", now=at + 0.1)
        self.assertIsNone(self.crashes.find_blocked(["group"], now=9.0))
        for bad in ("bad0", "bad1"):
            self.assertEqual(self.crashes.find_blocked([bad], now=9.0), bad)

    def test_messages_on_their_way_do_not_advance_the_time_of_an_answer(self):
        # Guards against an old answer that nodes repeat until it follows the crashes.
        nodes = [PartCrashes() for _ in range(3)]
        nodes[0].observe_sound(["a", "own"], "a0", now=1.0)
        for number in range(6):
            nodes[0].observe_crash(["a"], f"s{number}", now=2.0 + number / 5)
        delay = 0.05
        for number in range(100):
            now = 3.5 + number / 10
            for source in nodes:
                for target in nodes:
                    records = {
                        part: PartReport(
                            {run: at + delay for run, at in it.crashes.items()},
                            {key: at + delay for key, at in it.answers.items()},
                            it.sound_at + delay,
                        )
                        for part, it in source.list_recent(now=now).items()
                    }
                    target.merge(records, {})
        for node in nodes:
            self.assertLess(node.sound_at["a"], 2.0)
            self.assertEqual(node.find_blocked(["a"], now=14.0), "a")

    def test_answers_before_the_crashes_are_known_to_all_nodes(self):
        # Guards against a popular part that is blocked where it was not answered yet.
        answered, other = PartCrashes(), PartCrashes()
        answered.observe_sound(["a", "own"], "a0", now=0.0)
        for number in range(3):
            other.observe_crash(["a"], f"s{number}", now=1.0 + number)
        for now in (3.5, 4.0):
            exchange([answered, other], now)
        self.assertIsNone(other.find_blocked(["a"], now=4.0))

    def test_nodes_that_count_one_crash_less_block_a_part_too(self):
        # Guards against a node that passes on what all others refuse.
        other = PartCrashes()
        for crashes, last in ((self.crashes, 1.1), (other, 1.09)):
            for server, at in (("s1", 0.8), ("s2", 1.0), ("s3", last)):
                crashes.observe_crash(["bad"], server, now=at)
        self.assertIsNone(other.find_blocked(["bad"], now=2.0))
        other.observe_convicted(self.crashes.list_convicted(now=2.0), now=2.0)
        self.assertEqual(other.find_blocked(["bad"], now=2.0), "bad")
        self.assertEqual(other.list_convicted(now=2.0), [])
        other.observe_sound(["bad", "own"], "a0", now=2.1)
        self.assertIsNone(other.find_blocked(["bad"], now=2.2))

    def test_block_of_a_part_answered_at_times_holds_at_nodes_that_count_less(self):
        # Guards against a node that sends such requests on for seconds.
        other = PartCrashes()
        for crashes, n_crashes in ((self.crashes, 6), (other, 5)):
            crashes.observe_sound(["bad", "own"], "a0", now=-1.0)
            for number in range(n_crashes):
                crashes.observe_crash(["bad"], f"s{number}", now=float(number))
            crashes.observe_sound(["bad", "own"], "a1", now=2.5)
        self.assertEqual(self.crashes.find_blocked(["bad"], now=6.0), "bad")
        self.assertIsNone(other.find_blocked(["bad"], now=6.0))
        other.observe_convicted(self.crashes.list_convicted(now=6.0), now=6.0)
        self.assertEqual(other.find_blocked(["bad"], now=6.0), "bad")

    def test_crashes_by_a_full_memory_count_half(self):
        for number in range(6):
            self.assertIsNone(self.crashes.find_blocked(["a"], now=float(number)))
            self.crashes.observe_crash(
                ["a"], f"s{number}", now=float(number), memory_full=True
            )
        self.assertEqual(self.crashes.find_blocked(["a"], now=6.0), "a")

    def test_crash_of_a_run_that_lives_is_withdrawn_everywhere(self):
        other = PartCrashes()
        self.crash("a", now=1.0)
        exchange([self.crashes, other], 2.0)
        for crashes in (self.crashes, other):
            self.assertTrue(crashes.observe_alive("s1", now=4.0))
        exchange([self.crashes, other], 5.0)
        for crashes in (self.crashes, other):
            self.assertIsNone(crashes.find_blocked(["a"], now=5.0))

    def test_part_of_several_crashed_servers_is_suspected_before_the_request_itself(
        self,
    ):
        # Servers that crash within a moment count once.
        for server, own in (("s1", "own1"), ("s2", "own2")):
            self.crashes.observe_crash(["a", own], server, now=0.0)
        self.assertEqual(self.crashes.find_suspicion(["a", "own2"]).part, "a")

    def test_single_crash_is_shared_for_a_short_time_and_repeated_ones_longer(self):
        # Guards against large messages of all nodes after the loss of many servers.
        self.crashes.observe_crash(["a", "own1"], "s1", now=0.0)
        until = SINGLE_CRASH_SHARE_TIME
        self.assertEqual(set(self.crashes.list_recent(now=until - 0.1)), {"a", "own1"})
        self.assertEqual(self.crashes.list_recent(now=until + 0.1), {})
        self.crashes.observe_crash(["a", "own2"], "s2", now=5.0)
        reports = self.crashes.list_recent(now=5.0 + until + 0.1)
        self.assertEqual(set(reports), {"a"})
        self.assertEqual(set(reports["a"].crashes), {"s1", "s2"})

    def test_evidence_with_most_crashes_is_shared_and_kept(self):
        self.crash("bad", n_servers=2, now=0.0)
        for number in range(2 * MAX_PARTS):
            self.crash(f"p{number}", n_servers=1, now=5.0)
        self.assertEqual(next(iter(self.crashes.list_recent(now=6.0))), "bad")

    def test_repeats_of_a_suspected_part_are_told(self):
        self.assertEqual(self.crashes.compute_suspicion(["a", "b"]), 0.0)
        self.crash("a", "bad", n_servers=2)
        self.crashes.observe_crash(["bad"], "s9", now=9.0)
        self.assertEqual(self.crashes.compute_suspicion(["b", "bad"]), 1.0)
        self.assertEqual(self.crashes.compute_suspicion(["a"]), 0.0)
        self.crashes.observe_sound(["bad", "own"], "a0", now=10.0)
        self.assertEqual(self.crashes.compute_suspicion(["bad"]), 0.0)

    def test_one_crash_after_the_end_of_a_block_blocks_again(self):
        self.crash("bad", now=1.0)
        now = 2.0 + BLOCK_TIME
        self.crashes.observe_crash(["bad"], "s9", now=now)
        self.assertEqual(self.crashes.find_blocked(["bad"], now=now), "bad")

    def test_block_ends(self):
        self.crash("bad", now=1.0)
        self.assertIsNone(self.crashes.find_blocked(["bad"], now=2.0 + BLOCK_TIME))

    def test_number_of_crashes_of_a_part_is_bounded(self):
        self.crash("bad", n_servers=100)
        crashes = self.crashes.records["bad"].crashes
        self.assertEqual(len(crashes), MAX_RECORDED)
        self.assertIn("s99", crashes)

    def test_number_of_parts_is_bounded(self):
        for number in range(2 * MAX_PARTS):
            self.crash(f"p{number}", n_servers=1)
        self.assertEqual(len(self.crashes.records), MAX_PARTS)
        for number in range(2 * MAX_SOUND_PARTS):
            self.crashes.observe_sound([f"q{number}", "own"], "a1", now=1.0)
        self.assertEqual(len(self.crashes.sound_at), MAX_SOUND_PARTS)
