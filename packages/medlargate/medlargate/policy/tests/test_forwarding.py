"""Replays of partitions in which the load of some nodes moves to the others."""

import random
import unittest
from collections import Counter

from medlargate.policy import ForwardPeer, choose_forward_peer

N_REQUESTS = 200  # of each node


class MovedLoadReplayTest(unittest.TestCase):
    def replay(self, n_domains, n_per_domain, cut, *, is_known=True):
        """Return the requests that each sound node serves, as multiples of its own.

        Requests that reach a node that is cut off too are forwarded again by their
        first node.
        """
        random_state = random.Random(11)
        domains = {
            f"{domain}-{number}": str(domain)
            for domain in range(n_domains)
            for number in range(n_per_domain)
        }
        served = Counter(dict.fromkeys(set(domains) - set(cut), N_REQUESTS))
        for node in cut:
            peers = [
                ForwardPeer(name, domain, "", not is_known or name not in cut)
                for name, domain in domains.items()
                if name != node
            ]
            for _ in range(N_REQUESTS):
                tried = set()
                while True:
                    peer = choose_forward_peer(
                        peers,
                        domain=domains[node],
                        tried=tried,
                        random_state=random_state,
                    )
                    if peer is None or peer.name not in cut:
                        break
                    tried.add(peer.name)
                self.assertIsNotNone(peer)
                served[peer.name] += 1
        return {name: count / N_REQUESTS for name, count in served.items()}

    def test_half_of_a_domain_stays_in_it_and_doubles_the_load_of_the_rest(self):
        cut = [f"0-{number}" for number in range(10)]
        served = self.replay(4, 20, cut)
        outside = [it for name, it in served.items() if name[0] != "0"]
        self.assertEqual(set(outside), {1.0})
        self.assertLess(max(served.values()), 2.5)

    def test_most_of_a_domain_is_spread_over_all_sound_nodes(self):
        for n_cut in (11, 19, 20):
            cut = [f"0-{number}" for number in range(n_cut)]
            self.assertLess(max(self.replay(4, 20, cut).values()), 1.6)

    def test_nodes_that_are_not_known_to_be_cut_off_cost_only_further_tries(self):
        cut = ["0-0", "0-1"]
        served = self.replay(3, 2, cut, is_known=False)
        self.assertEqual(sum(served.values()), 6.0)


if __name__ == "__main__":
    unittest.main()
