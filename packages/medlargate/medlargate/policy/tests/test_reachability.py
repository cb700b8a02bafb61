"""Tests of the evidence of reachability, and replays with several nodes."""

import random
import unittest
from collections import Counter

from medlargate.policy import (
    ForwardPeer,
    OpenAttempt,
    ReachEvidence,
    choose_forward_peer,
    choose_probed_services,
    compute_recheck_pause,
    is_abandoned,
    list_silent_servers,
)

CONTACT_TIME = 3.0  # seconds
PROBE_TIME = 1.15  # seconds until a check without a response ends


def make_attempt(server_id="s1", sent_at=0.0, **changes):
    values = {
        "service": "engine",
        "server_id": server_id,
        "active_at": sent_at,
        "predicted": 0.1,
        "max_pause": 0.25,
        "has_events": False,
        "is_new_connection": False,
    }
    return OpenAttempt(**{**values, **changes})


class SilentServersTest(unittest.TestCase):
    def test_servers_that_are_silent_for_longer_than_predicted(self):
        attempts = [
            make_attempt("s1"),
            make_attempt("s2", 0.5),
            make_attempt("s3", predicted=1.0),
            make_attempt("s4"),
            make_attempt("s4", 0.9, has_events=True),
        ]
        found = list_silent_servers(attempts, now=1.0)
        self.assertEqual(found, {("engine", "s1")})


class ProbedServicesTest(unittest.TestCase):
    def is_probed(self, now, *attempts, **heard):
        evidence = {"engine": ReachEvidence(**heard)}
        return bool(choose_probed_services(attempts, evidence, now=now))

    def test_overdue_answer_is_a_reason_unless_servers_have_responded_since(self):
        attempt = make_attempt()
        self.assertFalse(self.is_probed(0.6, attempt))
        self.assertTrue(self.is_probed(0.8, attempt))
        self.assertFalse(self.is_probed(0.8, attempt, heard_at=0.1))
        self.assertTrue(self.is_probed(4.0, attempt, heard_at=0.1))

    def test_reused_connections_do_not_show_that_new_ones_work(self):
        attempt = make_attempt(is_new_connection=True)
        self.assertTrue(self.is_probed(0.8, attempt, heard_at=0.7))
        self.assertFalse(self.is_probed(0.8, attempt, heard_on_new_at=0.7))

    def test_common_silence_of_several_servers_is_found_earlier(self):
        attempts = [make_attempt(f"s{number}") for number in range(3)]
        self.assertTrue(self.is_probed(0.4, *attempts))
        self.assertFalse(self.is_probed(0.4, *attempts[:2]))

    def test_change_is_learned_in_time_also_where_answers_take_long(self):
        for changes in ({"predicted": 20.0}, {"has_events": True, "max_pause": 9.0}):
            latest = CONTACT_TIME - PROBE_TIME - 0.2
            self.assertTrue(self.is_probed(latest, make_attempt(**changes)))

    def test_live_open_connections_are_kept_while_new_ones_fail(self):
        evidence = ReachEvidence(heard_at=0.9)
        self.assertFalse(is_abandoned(make_attempt(), evidence, now=1.0))
        new = make_attempt(is_new_connection=True)
        self.assertTrue(is_abandoned(new, evidence, now=1.0))
        self.assertTrue(is_abandoned(make_attempt(), ReachEvidence(), now=1.0))
        stream = make_attempt(has_events=True, max_pause=0.6)
        self.assertFalse(is_abandoned(stream, ReachEvidence(), now=1.0))

    def test_pauses_between_attempts_to_come_back_grow_and_are_bounded(self):
        pauses = [compute_recheck_pause(n_failed) for n_failed in range(5000)]
        self.assertEqual(pauses, sorted(pauses))
        self.assertLess(pauses[-1] + PROBE_TIME, CONTACT_TIME)


class ProbesReplayTest(unittest.TestCase):
    """Nodes send requests to a service of which one server is silent."""

    def test_sound_service_with_a_silent_server_costs_few_probes(self):
        random_state = random.Random(3)
        for n_nodes in (6, 12):
            n_probes = 0
            for _ in range(n_nodes):
                evidence, silent = ReachEvidence(), []
                for step in range(200):  # 20 s
                    now = step / 10
                    if random_state.random() < 1 / 9:
                        silent.append(make_attempt("s9", now))
                    else:
                        evidence.observe_response(now + 0.05, is_new_connection=False)
                    if choose_probed_services(silent, {"engine": evidence}, now=now):
                        n_probes += 1
                        evidence.observe_response(now, is_new_connection=True)
            self.assertEqual(n_probes, 0)


class StaleLoadReplayTest(unittest.TestCase):
    """Nodes that are cut off at once choose by statuses that are a second old."""

    def replay(self, n_cut, n_sound, *, busy):
        """Return the requests of the fullest sound node, relative to the mean."""
        random_state = random.Random(5)
        load = Counter({f"s{number}": 10 for number in range(n_sound)})
        load["s0"] = busy
        reported = dict(load)
        for _ in range(100):
            for _ in range(n_cut):
                peers = [
                    ForwardPeer(it, "a", "", n_requests=reported[it]) for it in load
                ]
                peer = choose_forward_peer(
                    peers, domain="b", tried=(), random_state=random_state
                )
                load[peer.name] += 1
            for _ in range(n_cut):
                load[random_state.choice(sorted(load))] -= 1
            if random_state.random() < 0.3:
                reported = dict(load)
        return max(load.values()) / (sum(load.values()) / n_sound)

    def test_moved_load_is_even_and_a_busy_node_gets_less_of_it(self):
        for n_cut, n_sound in ((4, 4), (8, 4), (10, 6)):
            self.assertLess(self.replay(n_cut, n_sound, busy=10), 3.0)
        random_state = random.Random(1)
        peers = [ForwardPeer(f"s{it}", "a", "", n_requests=5) for it in range(3)]
        peers.append(ForwardPeer("hung", "a", "", n_requests=50))
        chosen = Counter(
            choose_forward_peer(
                peers, domain="b", tried=(), random_state=random_state
            ).name
            for _ in range(400)
        )
        self.assertEqual(chosen["hung"], 0)


if __name__ == "__main__":
    unittest.main()
