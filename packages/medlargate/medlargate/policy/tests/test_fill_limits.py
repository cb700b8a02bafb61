"""Room that servers keep for more urgent requests.

Load: more work than the servers bear, of three priorities, at nodes that learn of each
other's requests up to a second late.
"""

import itertools
import unittest

from medlargate.policy import ServerState, choose_fill_limits, has_capacity

PRIORITIES = (0, 1, 2)
N_SLOTS = 32


class ClassOrderTest(unittest.TestCase):
    def list_limits(self, over_shares, n_slots):
        """Return the slot limits of all classes, the most urgent first."""
        return [
            choose_fill_limits(
                priority, PRIORITIES, over_share=over_share
            ).compute_slot_limit(n_slots)
            for priority in PRIORITIES
            for over_share in over_shares
        ]

    def test_no_class_may_fill_a_server_further_than_a_more_urgent_one(self):
        # A share goes second: before, a less urgent request of a small customer found
        # room where an urgent one of a large customer did not.
        for n_slots in (1, 3, 8, 32, 64):
            for over_shares in ((None,), (False, True)):
                limits = self.list_limits(over_shares, n_slots)
                self.assertEqual(limits, sorted(limits, reverse=True))
                self.assertEqual(limits[-1], n_slots)

    def test_classes_of_engines_with_many_slots_differ(self):
        for first, second in itertools.pairwise(self.list_limits((False, True), 32)):
            self.assertGreater(first, second)

    def test_single_class_has_no_limits_of_its_own(self):
        self.assertIsNone(choose_fill_limits(1, (1,)))
        self.assertIsNone(choose_fill_limits(1, ()))

    def test_shares_alone_order_a_service_of_one_priority(self):
        small = choose_fill_limits(1, (1,), over_share=False)
        large = choose_fill_limits(1, (1,), over_share=True)
        self.assertEqual(small.compute_slot_limit(N_SLOTS), 40)
        self.assertEqual(large.compute_slot_limit(N_SLOTS), N_SLOTS)


class FullServerTest(unittest.TestCase):
    """A server that less urgent requests of other nodes keep full."""

    def accepts(
        self, priority, *, n_running=0, backlog=0.0, prefill_time=0.05, **other
    ):
        state = ServerState("e", "fd-a", n_running, N_SLOTS, backlog=backlog)
        limits = choose_fill_limits(priority, PRIORITIES)
        return has_capacity(
            state, is_engine=True, prefill_time=prefill_time, limits=limits, **other
        )

    def test_urgent_request_waits_at_the_server_for_the_next_free_slot(self):
        self.assertTrue(self.accepts(0, n_running=N_SLOTS))
        self.assertTrue(self.accepts(1, n_running=N_SLOTS))
        self.assertFalse(self.accepts(2, n_running=N_SLOTS))

    def test_queue_at_the_server_is_short(self):
        self.assertFalse(self.accepts(0, n_running=N_SLOTS + 8))

    def test_long_urgent_prompt_is_not_kept_out_by_less_urgent_ones(self):
        # 0.3 s is the backlog up to which the least urgent long prompts come.
        for accept_any in (False, True):
            self.assertTrue(
                self.accepts(
                    1,
                    n_running=5,
                    backlog=0.31,
                    prefill_time=0.2,
                    accept_any=accept_any,
                )
            )
            self.assertFalse(
                self.accepts(
                    2,
                    n_running=5,
                    backlog=0.31,
                    prefill_time=0.2,
                    accept_any=accept_any,
                )
            )


if __name__ == "__main__":
    unittest.main()
