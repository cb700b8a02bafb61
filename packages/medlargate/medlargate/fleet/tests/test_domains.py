"""Statuses between failure domains: senders, receivers and accepted statuses."""

import unittest

from .. import DomainStatus, DomainTable, PeerStatus, PeerTable


def make_status(name, zone, time=0.0, **more):
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

    def receive_status(self, name, **more):
        status = PeerStatus(
            name=name,
            zone=name[0],
            address=f"{name}:1",
            time=self.now,
            incarnation=name,
            **more,
        )
        self.table.observe_status(status)


class RepresentativeTest(DomainsCase):
    def test_last_live_node_by_name_represents_the_domain(self):
        self.assertTrue(self.domains.is_domain_representative())
        self.receive_status("a3")
        self.assertFalse(self.domains.is_domain_representative())
        self.now += 4
        self.assertTrue(self.domains.is_domain_representative())

    def test_nodes_of_other_domains_are_not_considered(self):
        self.receive_status("c3")
        self.assertTrue(self.domains.is_domain_representative())


class TargetsTest(DomainsCase):
    def test_each_other_domain_gets_one_status(self):
        zones = [address[0] for address in self.domains.decide_targets()]
        self.assertEqual(zones, ["b", "c"])

    def test_current_representative_is_the_target(self):
        self.domains.observe_status(make_status("b2", "b"))
        self.assertIn("b2:1", self.domains.decide_targets())

    def test_all_nodes_of_a_silent_domain_are_tried_in_turn(self):
        tried = {it for _ in range(3) for it in self.domains.decide_targets()}
        self.assertEqual(len(tried), 6)

    def test_number_of_targets_does_not_grow_with_nodes(self):
        for number in range(4, 40):
            for zone in "bc":
                self.table.observe_address(f"{zone}{number}", zone, f"{zone}{number}:1")
        self.assertEqual(len(self.domains.decide_targets()), 2)


class StatusesTest(DomainsCase):
    def test_older_statuses_and_own_domain_are_rejected(self):
        self.assertTrue(self.domains.observe_status(make_status("b2", "b", 5.0)))
        self.assertFalse(self.domains.observe_status(make_status("b2", "b", 5.0)))
        self.assertFalse(self.domains.observe_status(make_status("b2", "b", 4.0)))
        self.assertTrue(self.domains.observe_status(make_status("b3", "b", 4.0)))
        self.assertFalse(self.domains.observe_status(make_status("a3", "a", 9.0)))

    def test_status_of_a_silent_domain_expires(self):
        self.domains.observe_status(make_status("b2", "b", demand={"s": 0.5}))
        self.domains.observe_status(make_status("c2", "c", demand={"s": 0.25}))
        demand = [status.demand["s"] for status in self.domains.list_statuses()]
        self.assertEqual(demand, [0.5, 0.25])
        self.now += 10
        self.assertEqual(self.domains.list_statuses(), [])

    def test_nodes_of_a_silent_domain_count_for_a_minute(self):
        self.domains.observe_status(make_status("b2", "b", n_nodes=20))
        self.now += 50
        self.assertEqual(self.domains.count_remote_nodes(), 20)
        self.now += 20
        self.assertEqual(self.domains.count_remote_nodes(), 0)

    def test_parts_are_reported_for_two_intervals(self):
        self.domains.observe_parts("e1", [("aa", 900)])
        self.now += 0.5
        self.assertEqual(len(self.domains.recent_parts()), 1)
        self.now += 0.5
        self.assertEqual(self.domains.recent_parts(), [])


class RankTest(DomainsCase):
    def test_dead_nodes_of_other_domains_do_not_delay_takeover(self):
        # Failure: a domain is lost together with the duty holder. Nodes of other
        # domains send statuses so rarely that they count as alive for long, and the
        # rank must not wait for them.
        for name in ("a1", "b1", "b2", "b3", "c1"):
            self.receive_status(name)
        self.assertEqual(self.domains.takeover_rank(), 3)
        self.now += 4
        self.assertEqual(self.domains.takeover_rank(), 0)

    def test_silent_duty_holder_is_not_found(self):
        self.receive_status("b1", holder=True)
        self.assertEqual(self.table.find_holder().name, "b1")
        self.now += 4
        self.assertIsNone(self.table.find_holder())


class PollDelayTest(DomainsCase):
    """Guards against all nodes polling the store at the same moment.

    The confirmations of all nodes become too old at the same time.
    """

    def test_one_node_of_the_fleet_polls_first(self):
        self.assertEqual(self.domains.decide_poll_delay(), 0.0)
        delays = []
        for zone in "bc":
            table = PeerTable(f"{zone}3", zone, lambda: self.now)
            table.observe_address("a2", "a", "a2:1")
            table.observe_address("b3", "b", "b3:1")
            delays.append(DomainTable(table, lambda: self.now).decide_poll_delay())
        self.assertEqual(delays, [0.2, 0.2 + 0.1])

    def test_other_nodes_poll_later(self):
        self.receive_status("a3")
        self.assertGreaterEqual(self.domains.decide_poll_delay(), 0.4)
        self.assertLessEqual(self.domains.decide_poll_delay(), 0.6)
