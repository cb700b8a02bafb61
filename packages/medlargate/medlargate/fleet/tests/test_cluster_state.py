"""Deleted, lapsed and renewed registrations; relayed changes; configurations."""

import unittest

import orjson

from medlargate.fleet import ClusterState
from medlargate.platform import (
    Change,
    Entry,
    decode_registration,
    decode_routing_config,
)


def make_registration(name, revision, **more):
    row = {"Service": "s", "Address": "10.0.0.1:80", "Zone": "a", "State": "ready"}
    value = orjson.dumps({**row, **more})
    return Entry(f"servers/{name}", value, revision, revision)


class ClusterStateCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.state = ClusterState(
            decode_routing_config, decode_registration, lambda: self.now
        )
        self.read_store(10, make_registration("x", 5), make_registration("y", 6))

    def read_store(self, revision, *entries):
        self.state.observe_servers(entries, revision, confirmed_at=self.now)


class RemovalTest(ClusterStateCase):
    def lose_store(self, duration):
        for _ in range(4):
            self.state.observe_store_failure()
            self.now += duration / 4

    def test_deleted_server_is_removed_at_once_while_store_is_stable(self):
        self.read_store(11, make_registration("y", 6))
        self.assertEqual(set(self.state.servers), {"y"})

    def test_server_lapsed_after_store_failure_is_kept_for_grace_period(self):
        self.lose_store(1.0)
        self.read_store(11, make_registration("y", 6))
        self.assertEqual(set(self.state.servers), {"x", "y"})
        self.now += 2
        self.state.drop_lapsed()
        self.assertEqual(set(self.state.servers), {"y"})

    def test_confirmation_after_grace_period_removes_server(self):
        self.lose_store(1.0)
        self.read_store(11, make_registration("y", 6))
        self.now += 2
        self.state.observe_confirmation(12, self.now)
        self.assertEqual(set(self.state.servers), {"y"})

    def test_renewed_registration_stays(self):
        self.lose_store(1.0)
        self.read_store(11, make_registration("y", 6))
        self.read_store(13, make_registration("x", 12), make_registration("y", 6))
        self.now += 5
        self.state.drop_lapsed()
        self.assertEqual(set(self.state.servers), {"x", "y"})

    def test_server_deleted_after_one_failed_call_is_removed_at_once(self):
        self.state.observe_store_failure()
        self.now += 1
        self.read_store(11, make_registration("y", 6))
        self.assertEqual(set(self.state.servers), {"y"})

    def test_server_kept_for_an_outage_that_was_none_is_removed(self):
        # Guards against one node that takes its failed calls for an outage.
        self.lose_store(1.0)
        self.read_store(11, make_registration("y", 6))
        self.state.observe_store_answer(self.now - 0.5)
        self.assertEqual(set(self.state.servers), {"y"})

    def test_answer_before_an_outage_does_not_remove_a_lapsed_server(self):
        self.lose_store(1.0)
        self.read_store(11, make_registration("y", 6))
        for age in (1.1, 0.9):
            self.state.observe_store_answer(self.now - age)
        self.assertEqual(set(self.state.servers), {"x", "y"})

    def test_server_deleted_while_peers_are_answered_is_removed_at_once(self):
        self.state.observe_store_failure()
        for revision in (10, 10, 10):
            self.now += 0.6
            self.state.observe_confirmation(revision, self.now - 0.1)
            self.state.observe_store_failure(self.now - 0.5)
        change = Change("servers/x", 11, None)
        self.state.observe_changes([change], 11, confirmed_at=self.now)
        self.assertEqual(set(self.state.servers), {"y"})

    def test_draining_server_has_no_grace_period(self):
        self.read_store(
            11, make_registration("x", 11, State="draining"), make_registration("y", 6)
        )
        self.state.observe_store_failure()
        self.read_store(12, make_registration("y", 6))
        self.assertEqual(set(self.state.servers), {"y"})

    def test_older_read_or_change_is_ignored(self):
        self.read_store(11, make_registration("y", 6))
        self.read_store(9, make_registration("x", 5), make_registration("y", 6))
        change = Change("servers/x", 5, make_registration("x", 5))
        self.state.observe_changes([change], 10, confirmed_at=self.now)
        self.assertEqual(set(self.state.servers), {"y"})


class RelayTest(ClusterStateCase):
    def test_changes_since_a_revision_bring_a_peer_up_to_date(self):
        peer = ClusterState(
            decode_routing_config, decode_registration, lambda: self.now
        )
        entries = self.state.entries()
        peer.observe_servers(entries, 10, confirmed_at=self.now)
        changes = [
            Change("servers/x", 11, None),
            Change("servers/z", 12, make_registration("z", 12)),
        ]
        self.state.observe_changes(changes, 12, confirmed_at=self.now)
        relayed = self.state.changes_since(10)
        peer.observe_changes(relayed, 12, confirmed_at=self.now)
        self.assertEqual(set(peer.servers), {"y", "z"})
        self.assertEqual(peer.digest(), self.state.digest())

    def test_changes_before_the_first_read_are_unknown(self):
        self.assertIsNone(self.state.changes_since(3))


class ConfigTest(ClusterStateCase):
    def put(self, revision, **row):
        value = orjson.dumps({"Routes": [], "Services": [], **row})
        entry = Entry("op/config", value, revision, 1)
        self.state.observe_config(entry, confirmed_at=self.now)

    def test_lower_version_is_ignored(self):
        self.put(20, Version=7)
        self.put(19, Version=6)
        self.put(21, Version=5)
        self.assertEqual(self.state.freshness().config_version, 7)

    def test_undecodable_configuration_keeps_last_valid_one(self):
        self.put(20, Version=7)
        entry = Entry("op/config", b"\xff", 21, 1)
        self.state.observe_config(entry, confirmed_at=self.now)
        self.assertEqual(self.state.freshness().config_version, 7)

    def test_unknown_fields_are_ignored(self):
        self.put(20, Version=7, Strange={"a": 1}, Limits={"Other": 2})
        self.assertEqual(self.state.freshness().config_version, 7)
