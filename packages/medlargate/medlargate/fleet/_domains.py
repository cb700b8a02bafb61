"""What the failure domains tell each other, one node speaking for each.

Answers the load pattern of bursts that reach many nodes of all failure domains at once:
each node should know how busy every engine is and what it holds, though bytes between
failure domains are priced. One node of each domain sends the sums over its peers, and
the node that receives them passes them on within its own, so that the bytes between
domains grow with the number of domains and not of nodes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ._peer_messages import DomainStatus
from ._peers import ALIVE_TIME, FORGET_TIME, PeerTable

# An engine's load changes with each long prompt, which takes it about this long.
DOMAIN_INTERVAL = 0.3  # seconds
# With many domains each is told less often, so that a node's part stays bounded.
INTERVAL_PER_DOMAIN = 0.1  # seconds
# Rounds without word after which the domain's numbers are not used any more.
STATUS_LIFETIME_ROUNDS = 4
# One node of the fleet asks the store for all. The others stand by, those that speak
# for a domain first, late enough that its word has reached them.
SPEAKER_POLL_DELAY = 0.2  # seconds
SPEAKER_POLL_STEP = 0.1  # seconds a domain
MAX_SPEAKER_POLL_DELAY = 0.4  # seconds
STANDBY_POLL_DELAY = (0.4, 0.6)  # seconds, drawn anew for each poll
MAX_PARTS_KEPT = 200  # prompts


@dataclass(frozen=True, slots=True)
class _Heard:
    word: DomainStatus
    at: float


@dataclass
class DomainTable:
    """The last word of each other failure domain.

    Parameters
    ----------
    table : PeerTable
        The nodes as far as known.
    clock : callable
        Returns seconds.
    """

    table: PeerTable
    clock: Callable[[], float]
    _heard: dict[str, _Heard] = field(default_factory=dict)
    _turn: int = 0
    _parts: list[tuple[float, str, list[tuple[str, int]]]] = field(default_factory=list)

    def is_domain_representative(self) -> bool:
        """Tell whether this node speaks for its failure domain.

        Returns
        -------
        bool
            True for the last of its live nodes by name; the first one already has
            the watches of the store.
        """
        near = self.table.list_alive(zone=self.table.zone)
        return all(peer.name < self.table.name for peer in near)

    def list_other_domains(self) -> list[str]:
        """List the other failure domains that are known."""
        zones = {peer.zone for peer in self.table.peers.values()} | set(self._heard)
        return sorted(zones - {self.table.zone, ""})

    def decide_interval(self) -> float:
        """Return the seconds until the next word."""
        return max(
            DOMAIN_INTERVAL, INTERVAL_PER_DOMAIN * len(self.list_other_domains())
        )

    def decide_targets(self) -> list[str]:
        """Choose one node of each other failure domain.

        Returns
        -------
        list of str
            Addresses: of the node that spoke for the domain a moment ago, or of its
            nodes in turn.
        """
        self._turn += 1
        since = self.clock() - ALIVE_TIME
        targets = []
        for zone in self.list_other_domains():
            heard = self._heard.get(zone)
            if heard is not None and heard.at > since:
                targets.append(heard.word.address)
                continue
            peers = sorted(
                it.address for it in self.table.peers.values() if it.zone == zone
            )
            if peers:
                targets.append(peers[self._turn % len(peers)])
        return targets

    def observe_status(self, word: DomainStatus) -> bool:
        """Take in a failure domain's word.

        Parameters
        ----------
        word : DomainStatus
            Sums over its nodes.

        Returns
        -------
        bool
            False when it is no news.
        """
        heard = self._heard.get(word.zone)
        is_older = heard is not None and (
            heard.word.name == word.name and heard.word.time >= word.time
        )
        if word.zone == self.table.zone or is_older:
            return False
        self._heard[word.zone] = _Heard(word, self.clock())
        return True

    def observe_parts(self, server: str, parts: list[tuple[str, int]]) -> None:
        """Take in what a server was given by a node of this failure domain.

        Parameters
        ----------
        server : str
            The server.
        parts : list of (str, int)
            Prompt parts with their tokens.
        """
        self._parts.append((self.clock(), server, parts))
        del self._parts[:-MAX_PARTS_KEPT]

    def recent_parts(self) -> list[tuple[str, list[tuple[str, int]]]]:
        """Report what servers were given in the last two rounds.

        Returns
        -------
        list of (str, list of (str, int))
            Told twice, since a datagram can be lost.
        """
        since = self.clock() - 2 * self.decide_interval()
        return [(server, parts) for at, server, parts in self._parts if at > since]

    def count_remote_nodes(self) -> int:
        """Count the nodes of other failure domains, those just lost included."""
        since = self.clock() - FORGET_TIME
        told = sum(it.word.n_nodes for it in self._heard.values() if it.at > since)
        return max(told, self.table.count_far_recent())

    def list_statuses(self) -> list[DomainStatus]:
        """List the words of the domains that were heard a moment ago."""
        now = self.clock()
        return [
            it.word
            for it in self._heard.values()
            if now - it.at < max(ALIVE_TIME, STATUS_LIFETIME_ROUNDS * it.word.interval)
        ]

    def decide_poll_delay(self) -> float:
        """Return how much later than the first node this one asks the store.

        Returns
        -------
        float
            Seconds; 0 for the node that speaks for the first domain.
        """
        if not self.is_domain_representative():
            return self.table.random_state.uniform(*STANDBY_POLL_DELAY)
        before = sum(zone < self.table.zone for zone in self.list_other_domains())
        if not before:
            return 0.0
        delay = SPEAKER_POLL_DELAY + SPEAKER_POLL_STEP * (before - 1)
        return min(delay, MAX_SPEAKER_POLL_DELAY)

    def status_ages(self) -> dict[str, float]:
        """Report the failure domains that were heard.

        Returns
        -------
        dict of str to float
            Seconds since the last word of each.
        """
        now = self.clock()
        return {zone: round(now - it.at, 2) for zone, it in self._heard.items()}

    def takeover_rank(self) -> int:
        """Rank this node among all for the next try for the duties.

        Returns
        -------
        int
            First the first node of each failure domain, then their second ones.
        """
        zones = self.list_other_domains()
        before = sum(zone < self.table.zone for zone in zones)
        return self.table.rank_in_domain() * (len(zones) + 1) + before
