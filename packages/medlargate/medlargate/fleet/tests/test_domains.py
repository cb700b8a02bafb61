"""Words between failure domains: who speaks, to whom, what is taken in."""

import unittest

from .. import DomainStatus, DomainTable, PeerStatus, PeerTable


def make_word(name, zone, time=0.0, **more):
    fields = {"n_nodes": 1, **more}
    return DomainStatus(name=name, zone=zone, address=f"{name}:1", time=time, **fields)


class DomainsCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.table = PeerTable("a2", "a", lambda: self.now)
        self.domains = DomainTable(self.table, lambda: self.now)
        for zone in "abc":
            for number in (1, 2, 3):
                name = f"{zone}{number}"
                self.table.observe_address(name, zone, f"{name}:1")

    def hear(self, name, **more):
        word = PeerStatus(
            name=name,
            zone=name[0],
            address=f"{name}:1",
            time=self.now,
            incarnation=name,
            **more,
        )
        self.table.observe_status(word)


class SpeakerTest(DomainsCase):
    def test_a_node_speaks_when_no_later_one_is_heard(self):
        self.assertTrue(self.domains.is_domain_representative())
        self.hear("a3")
        self.assertFalse(self.domains.is_domain_representative())
        self.now += 4
        self.assertTrue(self.domains.is_domain_representative())

    def test_later_nodes_of_other_domains_do_not_matter(self):
        self.hear("c3")
        self.assertTrue(self.domains.is_domain_representative())


class TargetsTest(DomainsCase):
    def test_each_other_domain_gets_one_word(self):
        zones = [address[0] for address in self.domains.decide_targets()]
        self.assertEqual(zones, ["b", "c"])

    def test_the_node_that_spoke_is_told(self):
        self.domains.observe_status(make_word("b2", "b"))
        self.assertIn("b2:1", self.domains.decide_targets())

    def test_every_node_of_a_silent_domain_is_tried(self):
        tried = {it for _ in range(3) for it in self.domains.decide_targets()}
        self.assertEqual(len(tried), 6)

    def test_bytes_between_domains_do_not_grow_with_nodes(self):
        for number in range(4, 40):
            for zone in "bc":
                self.table.observe_address(f"{zone}{number}", zone, f"{zone}{number}:1")
        self.assertEqual(len(self.domains.decide_targets()), 2)


class WordsTest(DomainsCase):
    def test_an_older_word_and_the_own_domains_are_no_news(self):
        self.assertTrue(self.domains.observe_status(make_word("b2", "b", 5.0)))
        self.assertFalse(self.domains.observe_status(make_word("b2", "b", 5.0)))
        self.assertFalse(self.domains.observe_status(make_word("b2", "b", 4.0)))
        self.assertTrue(self.domains.observe_status(make_word("b3", "b", 4.0)))
        self.assertFalse(self.domains.observe_status(make_word("a3", "a", 9.0)))

    def test_demand_of_a_silent_domain_ends(self):
        self.domains.observe_status(make_word("b2", "b", demand={"s": 0.5}))
        self.domains.observe_status(make_word("c2", "c", demand={"s": 0.25}))
        told = [word.demand["s"] for word in self.domains.list_statuses()]
        self.assertEqual(told, [0.5, 0.25])
        self.now += 10
        self.assertEqual(self.domains.list_statuses(), [])

    def test_nodes_of_a_silent_domain_share_budgets_for_a_minute(self):
        self.domains.observe_status(make_word("b2", "b", n_nodes=20))
        self.now += 50
        self.assertEqual(self.domains.count_remote_nodes(), 20)
        self.now += 20
        self.assertEqual(self.domains.count_remote_nodes(), 0)

    def test_parts_are_told_for_two_rounds(self):
        self.domains.observe_parts("e1", [("aa", 900)])
        self.now += 0.5
        self.assertEqual(len(self.domains.recent_parts()), 1)
        self.now += 0.5
        self.assertEqual(self.domains.recent_parts(), [])


class RankTest(DomainsCase):
    def test_dead_nodes_of_other_domains_do_not_delay_the_next_holder(self):
        # The load: a failure domain with the holder is lost; the others are heard
        # of so rarely that they count as alive for long.
        for name in ("a1", "b1", "b2", "b3", "c1"):
            self.hear(name)
        self.assertEqual(self.domains.takeover_rank(), 3)
        self.now += 4
        self.assertEqual(self.domains.takeover_rank(), 0)

    def test_a_silent_holder_is_not_taken_for_one(self):
        self.hear("b1", holder=True)
        self.assertEqual(self.table.find_holder().name, "b1")
        self.now += 4
        self.assertIsNone(self.table.find_holder())


class PollDelayTest(DomainsCase):
    """The load: every node's beliefs grow old at the same moment."""

    def test_one_node_of_the_fleet_asks_first(self):
        self.assertEqual(self.domains.decide_poll_delay(), 0.0)
        delays = []
        for zone in "bc":
            table = PeerTable(f"{zone}3", zone, lambda: self.now)
            table.observe_address("a2", "a", "a2:1")
            table.observe_address("b3", "b", "b3:1")
            delays.append(DomainTable(table, lambda: self.now).decide_poll_delay())
        self.assertEqual(delays, [0.2, 0.2 + 0.1])

    def test_others_stand_by(self):
        self.hear("a3")
        self.assertGreaterEqual(self.domains.decide_poll_delay(), 0.4)
        self.assertLessEqual(self.domains.decide_poll_delay(), 0.6)
