"""Registrations that vanish, lapse and come back; relayed changes; configurations."""

import unittest

import orjson

from medlargate.fleet import ClusterState
from medlargate.platform import (
    Change,
    Entry,
    decode_declaration,
    decode_registration,
)


def registration(name, revision, **more):
    row = {"Service": "s", "Address": "10.0.0.1:80", "Zone": "a", "State": "ready"}
    value = orjson.dumps({**row, **more})
    return Entry(f"servers/{name}", value, revision, revision)


class BeliefsCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.beliefs = ClusterState(
            decode_declaration, decode_registration, lambda: self.now
        )
        self.see(10, registration("x", 5), registration("y", 6))

    def see(self, revision, *entries):
        self.beliefs.observe_servers(entries, revision, confirmed_at=self.now)


class VanishTest(BeliefsCase):
    def test_what_vanished_in_calm_is_gone_at_once(self):
        self.see(11, registration("y", 6))
        self.assertEqual(set(self.beliefs.servers), {"y"})

    def test_what_lapsed_around_trouble_is_kept_for_a_moment(self):
        self.beliefs.observe_store_failure()
        self.now += 1
        self.see(11, registration("y", 6))
        self.assertEqual(set(self.beliefs.servers), {"x", "y"})
        self.now += 2
        self.beliefs.drop_lapsed()
        self.assertEqual(set(self.beliefs.servers), {"y"})

    def test_a_confirmation_ends_the_moment_too(self):
        self.beliefs.observe_store_failure()
        self.see(11, registration("y", 6))
        self.now += 2
        self.beliefs.observe_confirmation(12, self.now)
        self.assertEqual(set(self.beliefs.servers), {"y"})

    def test_what_came_back_stays(self):
        self.beliefs.observe_store_failure()
        self.see(11, registration("y", 6))
        self.see(13, registration("x", 12), registration("y", 6))
        self.now += 5
        self.beliefs.drop_lapsed()
        self.assertEqual(set(self.beliefs.servers), {"x", "y"})

    def test_a_draining_server_is_never_kept(self):
        self.see(11, registration("x", 11, State="draining"), registration("y", 6))
        self.beliefs.observe_store_failure()
        self.see(12, registration("y", 6))
        self.assertEqual(set(self.beliefs.servers), {"y"})

    def test_an_older_word_changes_nothing(self):
        self.see(11, registration("y", 6))
        self.see(9, registration("x", 5), registration("y", 6))
        change = Change("servers/x", 5, registration("x", 5))
        self.beliefs.observe_changes([change], 10, confirmed_at=self.now)
        self.assertEqual(set(self.beliefs.servers), {"y"})


class RelayTest(BeliefsCase):
    def test_changes_since_a_revision_bring_a_peer_up_to_date(self):
        peer = ClusterState(decode_declaration, decode_registration, lambda: self.now)
        entries = self.beliefs.entries()
        peer.observe_servers(entries, 10, confirmed_at=self.now)
        changes = [
            Change("servers/x", 11, None),
            Change("servers/z", 12, registration("z", 12)),
        ]
        self.beliefs.observe_changes(changes, 12, confirmed_at=self.now)
        relayed = self.beliefs.changes_since(10)
        peer.observe_changes(relayed, 12, confirmed_at=self.now)
        self.assertEqual(set(peer.servers), {"y", "z"})
        self.assertEqual(peer.digest(), self.beliefs.digest())

    def test_a_peer_from_before_the_first_read_gets_everything(self):
        self.assertIsNone(self.beliefs.changes_since(3))


class ConfigTest(BeliefsCase):
    def put(self, revision, **row):
        value = orjson.dumps({"Routes": [], "Services": [], **row})
        entry = Entry("op/config", value, revision, 1)
        self.beliefs.observe_config(entry, confirmed_at=self.now)

    def test_a_version_never_goes_back(self):
        self.put(20, Version=7)
        self.put(19, Version=6)
        self.put(21, Version=5)
        self.assertEqual(self.beliefs.freshness().config_version, 7)

    def test_what_can_t_be_read_leaves_the_last_good_one(self):
        self.put(20, Version=7)
        entry = Entry("op/config", b"\xff", 21, 1)
        self.beliefs.observe_config(entry, confirmed_at=self.now)
        self.assertEqual(self.beliefs.freshness().config_version, 7)

    def test_unknown_fields_are_ignored(self):
        self.put(20, Version=7, Strange={"a": 1}, Limits={"Other": 2})
        self.assertEqual(self.beliefs.freshness().config_version, 7)
