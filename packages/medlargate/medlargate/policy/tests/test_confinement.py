"""Choice of the servers for suspected requests, as nodes make it."""

import unittest

from .._confinement import choose_confined_servers
from .._part_crashes import Suspicion

DOMAINS = {f"s{number}": "abc"[number % 3] for number in range(9)}


class ConfinementTest(unittest.TestCase):
    def choose(self, n_crashed, domain="a", n_in_progress=0, domains=DOMAINS):
        return list(
            choose_confined_servers(
                Suspicion("part", 0.5, n_crashed),
                domains,
                domain=domain,
                n_in_progress=n_in_progress,
                n_slots=8,
            )
        )

    def test_nodes_of_all_domains_choose_one_server(self):
        chosen = {tuple(self.choose(2, domain)) for domain in "abc"}
        self.assertEqual(len(chosen), 1)
        self.assertEqual(len(*chosen), 1)

    def test_one_crash_takes_no_request_out_of_its_domain(self):
        for domain in "abc":
            (name,) = self.choose(1, domain)
            self.assertEqual(DOMAINS[name], domain)

    def test_choice_changes_only_with_the_chosen_server(self):
        (chosen,) = self.choose(2)
        for lost in DOMAINS:
            rest = {name: it for name, it in DOMAINS.items() if name != lost}
            self.assertEqual(self.choose(2, domains=rest) == [chosen], lost != chosen)

    def test_part_of_many_requests_does_not_overload_a_server(self):
        for n_in_progress in (31, 32, 160, 1_000):
            n_servers = len(self.choose(2, n_in_progress=n_in_progress))
            self.assertEqual(n_servers, min(9, 1 + n_in_progress // 32))

    def test_no_server_left(self):
        self.assertEqual(self.choose(1, domain="d"), [])


if __name__ == "__main__":
    unittest.main()
