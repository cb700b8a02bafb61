"""Exchange of the evidence on crashes between nodes."""

import unittest

from ...policy import PartReport
from .._crash_guard import CrashGuard


class MergeTest(unittest.TestCase):
    def setUp(self):
        self.guard = CrashGuard(lambda: 100.0)
        self.n_relayed = 0
        self.guard.merge_listeners.append(self.observe_relay)

    def observe_relay(self):
        self.n_relayed += 1

    def merge(self, crashes, answers=(), at=99.0):
        report = PartReport(
            dict.fromkeys(crashes, at), dict.fromkeys(answers, 99.5), 99.5
        )
        self.guard.merge_crashes(requests={}, parts={"part": report}, sound_at={})

    def test_only_new_crashes_are_passed_on_at_once(self):
        # Guards against a status to all failure domains for each completed answer.
        self.merge(["s1"])
        self.assertEqual(self.n_relayed, 1)
        self.merge(["s1"])
        self.merge(["s1"], ["a1"])
        self.merge(["s1"], ["a1", "a2"])
        self.assertEqual(self.n_relayed, 1)
        self.merge(["s1", "s2"], ["a1", "a2"])
        self.assertEqual(self.n_relayed, 2)

    def test_earlier_time_of_a_known_crash_is_not_passed_on_at_once(self):
        # Guards against statuses without end while nodes exchange one crash.
        self.merge(["s1"])
        self.merge(["s1"], at=98.5)
        self.assertEqual(self.n_relayed, 1)


if __name__ == "__main__":
    unittest.main()
