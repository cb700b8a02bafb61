"""Status exchange between failure domains through one representative node each.

Loads change quickly during bursts of requests that reach many nodes of all failure
domains at once. Each node then needs the load and the cached prompt parts (pieces of
prompts that requests may share) of every engine, but traffic between failure domains is
billed. The representative of each domain sends sums over its domain, and the receiving
node forwards them within its own domain. The number of these statuses therefore grows
with the number of domains, not with the number of nodes. The statuses that each node
sends to other domains at a longer interval (``_peers``) come in addition.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ._peer_messages import DomainStatus
from ._peers import ALIVE_TIME, FORGET_TIME, PeerTable

# An engine's load changes with each long prompt, whose prefill takes about this long.
DOMAIN_INTERVAL = 0.3  # seconds
# With many domains, statuses are sent less often to bound a representative's traffic.
INTERVAL_PER_DOMAIN = 0.2  # seconds
# Sending intervals after which a domain's last status counts as expired, if they take
# longer than ALIVE_TIME.
STATUS_LIFETIME_ROUNDS = 4
# A node polls the store when its state has not been confirmed for some time. The
# representative of the first domain by name polls without a delay, and its result also
# confirms the state of the other nodes. The others poll only if no confirmation reaches
# them within their delay: first the other representatives, in the order of the domains'
# names, and then all other nodes (standby).
REPRESENTATIVE_POLL_DELAY = 0.2  # seconds, for the second domain
REPRESENTATIVE_POLL_STEP = 0.1  # seconds for each further domain
MAX_REPRESENTATIVE_POLL_DELAY = 0.4  # seconds
STANDBY_POLL_DELAY = (0.4, 0.6)  # seconds, drawn uniformly for each poll
MAX_PROMPTS_KEPT = 200  # prompts whose parts are kept


@dataclass(frozen=True, slots=True)
class _ReceivedStatus:
    status: DomainStatus
    received_at: float


@dataclass
class DomainTable:
    """What this node knows of the other failure domains, and its own role.

    The table holds the last status received from each other domain and the prompt parts
    that were recently sent to servers. It decides whether this node represents its
    domain, which nodes receive the domain's status, by how much this node delays its
    store polls, and this node's rank for taking over the duties.

    Parameters
    ----------
    table : PeerTable
        The known nodes.
    clock : callable
        Returns seconds.
    """

    table: PeerTable
    clock: Callable[[], float]
    _received: dict[str, _ReceivedStatus] = field(default_factory=dict)
    _n_rounds: int = 0
    _parts: list[tuple[float, str, list[tuple[str, int]]]] = field(default_factory=list)

    def is_domain_representative(self) -> bool:
        """Return whether this node represents its failure domain.

        Returns
        -------
        bool
            True for the last live node of the domain by name; the first one already
            holds the watches of the store.
        """
        domain_peers = self.table.list_alive(zone=self.table.zone)
        return all(peer.name < self.table.name for peer in domain_peers)

    def list_other_domains(self) -> list[str]:
        """Return the names of the other known failure domains, sorted."""
        zones = {peer.zone for peer in self.table.peers.values()} | set(self._received)
        return sorted(zones - {self.table.zone, ""})

    def decide_interval(self) -> float:
        """Return the seconds until the next status to other domains."""
        return max(
            DOMAIN_INTERVAL, INTERVAL_PER_DOMAIN * len(self.list_other_domains())
        )

    def decide_targets(self) -> list[str]:
        """Choose one node of each other failure domain to send a status to.

        Returns
        -------
        list of str
            Addresses (``IP:PORT``): of the domain's representative if a status from
            it arrived within ``ALIVE_TIME``, otherwise of the domain's nodes in turn.
        """
        self._n_rounds += 1
        since = self.clock() - ALIVE_TIME
        targets = []
        for zone in self.list_other_domains():
            received = self._received.get(zone)
            if received is not None and received.received_at > since:
                targets.append(received.status.address)
                continue
            peers = sorted(
                it.address for it in self.table.peers.values() if it.zone == zone
            )
            if peers:
                targets.append(peers[self._n_rounds % len(peers)])
        return targets

    def observe_status(self, status: DomainStatus) -> bool:
        """Store a failure domain's status if it is new.

        Parameters
        ----------
        status : DomainStatus
            Sums over the domain's nodes.

        Returns
        -------
        bool
            False for a status of this node's own domain and for one that is not
            newer than the last status from the same sender.
        """
        received = self._received.get(status.zone)
        is_older = received is not None and (
            received.status.name == status.name and received.status.time >= status.time
        )
        if status.zone == self.table.zone or is_older:
            return False
        self._received[status.zone] = _ReceivedStatus(status, self.clock())
        return True

    def observe_parts(self, server: str, parts: list[tuple[str, int]]) -> None:
        """Record prompt parts sent to a server by a node of this failure domain.

        Parameters
        ----------
        server : str
            Id of the server.
        parts : list of (str, int)
            Ids of prompt parts with their numbers of tokens.
        """
        self._parts.append((self.clock(), server, parts))
        del self._parts[:-MAX_PROMPTS_KEPT]

    def recent_parts(self) -> list[tuple[str, list[tuple[str, int]]]]:
        """Return the prompt parts sent to servers in the last two intervals.

        Returns
        -------
        list of (str, list of (str, int))
            Servers with their prompt parts; each is reported in two statuses, since a
            datagram can be lost.
        """
        since = self.clock() - 2 * self.decide_interval()
        return [(server, parts) for at, server, parts in self._parts if at > since]

    def count_remote_nodes(self) -> int:
        """Return the estimated number of nodes of other domains.

        Returns
        -------
        int
            The larger of two numbers: the nodes that the domains reported and the nodes
            that this node heard directly, each within ``FORGET_TIME``.
        """
        since = self.clock() - FORGET_TIME
        n_reported = sum(
            it.status.n_nodes
            for it in self._received.values()
            if it.received_at > since
        )
        return max(n_reported, self.table.count_recent_remote_nodes())

    def list_statuses(self) -> list[DomainStatus]:
        """Return the statuses of other domains that have not expired."""
        now = self.clock()
        return [
            it.status
            for it in self._received.values()
            if now - it.received_at
            < max(ALIVE_TIME, STATUS_LIFETIME_ROUNDS * it.status.interval)
        ]

    def list_reports(self) -> list[tuple[DomainStatus, float]]:
        """Return the last status of each other domain with its age in seconds."""
        now = self.clock()
        return [(it.status, now - it.received_at) for it in self._received.values()]

    def decide_poll_delay(self) -> float:
        """Return by how much this node delays its store polls.

        Returns
        -------
        float
            Seconds; 0 for the representative of the first domain by name.
        """
        if not self.is_domain_representative():
            return self.table.random_state.uniform(*STANDBY_POLL_DELAY)
        before = sum(zone < self.table.zone for zone in self.list_other_domains())
        if not before:
            return 0.0
        delay = REPRESENTATIVE_POLL_DELAY + REPRESENTATIVE_POLL_STEP * (before - 1)
        return min(delay, MAX_REPRESENTATIVE_POLL_DELAY)

    def status_ages(self) -> dict[str, float]:
        """Return the age of the last status of each other failure domain.

        Returns
        -------
        dict of str to float
            Seconds since the last status, by domain.
        """
        now = self.clock()
        return {
            zone: round(now - it.received_at, 2) for zone, it in self._received.items()
        }

    def takeover_rank(self) -> int:
        """Return this node's rank among all nodes for taking over the duties.

        Returns
        -------
        int
            Position in an order of the first node of each failure domain, then the
            second node of each, and so on.
        """
        zones = self.list_other_domains()
        before = sum(zone < self.table.zone for zone in zones)
        return self.table.rank_in_domain() * (len(zones) + 1) + before
