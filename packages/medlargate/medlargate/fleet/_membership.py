"""Liveness of nodes and the time up to which this node's configuration is complete.

The module does no I/O: callers pass in messages and times and send what is returned.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ..policy import rank_by_hash
from ._heartbeats import (
    UNKNOWN,
    AgedRevision,
    Heartbeat,
    NodeStatus,
    OutgoingHeartbeat,
    Peer,
)

MAX_FULL_MESH_PEERS = 32
FANOUT = 4
N_REPRESENTATIVES = 2
PING_TIMEOUT = 2.0  # seconds
MAX_AGE = 3600.0  # seconds


@dataclass(slots=True)
class Member:
    """Liveness and revision of another node.

    Attributes
    ----------
    heard_at : float
        Latest time at which the node is known to have been alive, in seconds.
    revision : int
        Configuration revision of the node at ``heard_at``.
    last_answer_at : float
        When this node sent the last heartbeat that the node answered, in seconds.
    facts : NodeStatus or None
        Last status received from the node itself.
    """

    heard_at: float = float("-inf")
    revision: int = UNKNOWN
    last_answer_at: float = float("-inf")
    facts: NodeStatus | None = None


@dataclass(slots=True)
class _KnownRevision:
    """Revision that includes every change accepted before ``at``.

    The scope is one failure domain or the whole store.
    """

    at: float = float("-inf")
    revision: int = 0


@dataclass(slots=True)
class _SentPing:
    peer: str
    at: float


@dataclass
class Membership:
    """Heartbeats, failure detection and configuration coverage of one node.

    Parameters
    ----------
    node, domain, incarnation : str
        Name, failure domain and process start of this node.
    suspect_timeout : float
        Seconds without news of a node before it counts as dead.
    relay : bool, default=True
        Relay the last known liveness of other nodes; False gives the baseline that
        uses direct heartbeats only.
    random_state : int, default=0
        Seed of the order in which peers are pinged.

    Notes
    -----
    The status in an answer is dated to the sending of the heartbeat it answers, so
    that a network delay never makes old information look recent and clocks of two
    nodes are never compared. Each message carries the ages of other nodes' statuses,
    so that the liveness of a peer that is not directly reachable arrives through a
    third node (see docs/design/0003-fleet.md).
    """

    node: str
    domain: str
    incarnation: str = ""
    suspect_timeout: float = 4.0
    relay: bool = True
    fanout: int = FANOUT
    random_state: int = 0
    peers: dict[str, Peer] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    revision: int = 0
    has_synced: bool = False
    serving: bool = True
    make_load: Callable[[], dict[str, Any]] = dict
    _confirmed: _KnownRevision = field(default_factory=_KnownRevision)
    _domains: dict[str, _KnownRevision] = field(default_factory=dict)
    _pings: dict[int, _SentPing] = field(default_factory=dict)
    _last_ping_number: int = 0
    _ping_queue: list[str] = field(default_factory=list)
    _listed_at: float = float("-inf")

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.node}/{self.random_state}")

    # Observations

    def observe_peers(self, peers: Iterable[Peer], now: float) -> None:
        """Update the peers from the platform's list of nodes.

        Parameters
        ----------
        peers : iterable of Peer
            All listed nodes, with or without this one.
        now : float
            Current time, in seconds.
        """
        listed = {peer.name: peer for peer in peers if peer.name != self.node}
        for name, peer in self.peers.items():
            # The list is updated with a delay: keep unlisted nodes that count as alive.
            if name not in listed and self.is_alive(name, now):
                listed[name] = peer
        self.peers = listed
        self._listed_at = now
        for name in [n for n in self.members if n not in listed]:
            del self.members[name]

    def observe_confirmation(self, at: float, revision: int) -> None:
        """Record that the store held nothing newer than a revision.

        Parameters
        ----------
        at : float
            When the read was sent, in seconds.
        revision : int
            Newest revision read.
        """
        if at > self._confirmed.at:
            self._confirmed = _KnownRevision(at, revision)

    def observe_sync(self) -> None:
        """Record that this node has read the store since its start."""
        self.has_synced = True

    def observe(self, heartbeat: Heartbeat, now: float) -> OutgoingHeartbeat | None:
        """Process a heartbeat or an answer from another node.

        Parameters
        ----------
        heartbeat : Heartbeat
            Received message.
        now : float
            Current time, in seconds.

        Returns
        -------
        OutgoingHeartbeat or None
            Answer to a heartbeat; None for an answer.
        """
        facts = heartbeat.facts
        if not heartbeat.is_answer:
            self._observe_load(facts)
            answer = Heartbeat(
                number=heartbeat.number, is_answer=True, facts=self.make_status(now)
            )
            return OutgoingHeartbeat(facts.node, answer)
        sent = self._pings.pop(heartbeat.number, None)
        if sent is None or sent.peer != facts.node:
            return None
        self._observe_load(facts)
        self._observe_answer(facts, sent.at)
        return None

    def _observe_load(self, facts: NodeStatus) -> None:
        member = self.members.setdefault(facts.node, Member())
        member.facts = facts

    def _observe_answer(self, facts: NodeStatus, sent_at: float) -> None:
        member = self.members[facts.node]
        member.last_answer_at = max(member.last_answer_at, sent_at)
        revision = facts.revision if facts.vouches else UNKNOWN
        self._observe_revision(facts.node, sent_at, revision)
        if facts.confirmed is not None:
            aged = facts.confirmed
            self.observe_confirmation(sent_at - aged.age, aged.revision)
        for domain, aged in facts.domains.items():
            self._observe_domain(domain, sent_at - aged.age, aged.revision)
        if self.relay:
            for name, aged in facts.members.items():
                if name != self.node and name in self.peers:
                    self._observe_revision(name, sent_at - aged.age, aged.revision)

    def _observe_revision(self, name: str, at: float, revision: int) -> None:
        member = self.members.setdefault(name, Member())
        if at > member.heard_at:
            # The latest information wins even with a lower revision, since a restarted
            # node has lost its configuration.
            member.heard_at = at
            member.revision = revision

    def _observe_domain(self, domain: str, at: float, revision: int) -> None:
        if domain == self.domain:
            return
        known = self._domains.setdefault(domain, _KnownRevision())
        if at > known.at:
            self._domains[domain] = _KnownRevision(at, max(known.revision, revision))

    # Decisions

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether a node counts as alive.

        Parameters
        ----------
        name : str
            Name of the node.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            False without news of the node for ``suspect_timeout``.
        """
        if name == self.node:
            return True
        member = self.members.get(name)
        return member is not None and now - member.heard_at <= self.suspect_timeout

    def mesh(self) -> list[str]:
        """Return the names of the nodes that share backend servers with this one.

        Returns
        -------
        list of str
            All other nodes in a small fleet, otherwise those of the failure domain.
        """
        if len(self.peers) < MAX_FULL_MESH_PEERS:
            return sorted(self.peers)
        return sorted(n for n, p in self.peers.items() if p.domain == self.domain)

    def alive_mesh(self, now: float) -> list[str]:
        """Return the names of the live nodes of the mesh.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of str
            Names without this node's.
        """
        return [name for name in self.mesh() if self.is_alive(name, now)]

    def is_chosen(self, subject: str, n_chosen: int, now: float) -> bool:
        """Return whether this node is selected for a task of its failure domain.

        Parameters
        ----------
        subject : str
            Name of the task, input of the rendezvous hash.
        n_chosen : int
            Number of nodes to select.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            True if rendezvous hashing over the domain's live nodes selects this node.
        """
        names = [n for n in self._domain_members(self.domain) if self.is_alive(n, now)]
        return self.node in rank_by_hash(subject, [*names, self.node])[:n_chosen]

    def decide_heartbeats(self, now: float) -> list[OutgoingHeartbeat]:
        """Choose the peers to ping in this interval and make their heartbeats.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of OutgoingHeartbeat
            Heartbeats to ``fanout`` peers of the mesh in turn, and to one
            representative of each failure domain that this node contacts.
        """
        self._pings = {
            n: sent for n, sent in self._pings.items() if now - sent.at < PING_TIMEOUT
        }
        chosen = self._choose_next_peers()
        for domain in self._list_contacted_domains():
            representatives = self._list_representatives(domain)
            chosen.append(self._random.choice(representatives))
        return self.make_heartbeats(dict.fromkeys(chosen), now)

    def make_heartbeats(
        self, names: Iterable[str], now: float
    ) -> list[OutgoingHeartbeat]:
        """Make heartbeats to the given peers and remember when they were sent.

        Parameters
        ----------
        names : iterable of str
            Names of the peers.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of OutgoingHeartbeat
            One heartbeat per peer.
        """
        facts = self.make_status(now)
        sent = []
        for name in names:
            self._last_ping_number += 1
            self._pings[self._last_ping_number] = _SentPing(name, now)
            heartbeat = Heartbeat(
                number=self._last_ping_number, is_answer=False, facts=facts
            )
            sent.append(OutgoingHeartbeat(name, heartbeat))
        return sent

    def _choose_next_peers(self) -> list[str]:
        mesh = set(self.mesh())
        chosen: list[str] = []
        while mesh and len(chosen) < min(self.fanout, len(mesh)):
            if not self._ping_queue:
                self._ping_queue = sorted(mesh)
                self._random.shuffle(self._ping_queue)
            name = self._ping_queue.pop()
            if name in mesh and name not in chosen:
                chosen.append(name)
        return chosen

    def _domain_members(self, domain: str) -> list[str]:
        return sorted(n for n, p in self.peers.items() if p.domain == domain)

    def _list_contacted_domains(self) -> list[str]:
        if len(self.peers) < MAX_FULL_MESH_PEERS:
            return []
        own = [*self._domain_members(self.domain), self.node]
        domains = {peer.domain for peer in self.peers.values()} - {self.domain}
        return sorted(
            domain
            for domain in domains
            if self.node
            in rank_by_hash(f"{self.domain}/{domain}", own)[:N_REPRESENTATIVES]
        )

    def _list_representatives(self, domain: str) -> list[str]:
        members = self._domain_members(domain)
        return rank_by_hash(f"{domain}/{self.domain}", members)[:N_REPRESENTATIVES]

    def make_status(self, now: float) -> NodeStatus:
        """Make this node's status with ages relative to ``now``.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        NodeStatus
            Status for a message that is sent at once.
        """
        members = {
            name: AgedRevision(age=_age(member.heard_at, now), revision=member.revision)
            for name, member in self.members.items()
            if now - member.heard_at < self.suspect_timeout
            and name in self.peers
            and self.peers[name].domain == self.domain
        }
        domains = {
            domain: AgedRevision(age=_age(known.at, now), revision=known.revision)
            for domain, known in self._domains.items()
            if now - known.at < MAX_AGE
        }
        own = self._compute_domain_coverage(now)
        if now - own.at < MAX_AGE:
            domains[self.domain] = AgedRevision(
                age=_age(own.at, now), revision=own.revision
            )
        confirmed = None
        if now - self._confirmed.at < MAX_AGE:
            age = _age(self._confirmed.at, now)
            confirmed = AgedRevision(age=age, revision=self._confirmed.revision)
        return NodeStatus(
            node=self.node,
            domain=self.domain,
            incarnation=self.incarnation,
            revision=self.revision,
            vouches=self.has_synced,
            serving=self.serving,
            confirmed=confirmed,
            members=members if self.relay else {},
            domains=domains,
            **self.make_load(),
        )

    # Coverage

    def _compute_domain_coverage(self, now: float) -> _KnownRevision:
        """Return a revision with every change that this domain accepted, and its time.

        A change is accepted only once a majority of a domain's nodes have it. If the
        nodes without recent news are no majority, at least one of the other nodes
        therefore has every accepted change. A restarted node may have lost a change
        and counts only after it has read the store.
        """
        others = self._domain_members(self.domain)
        n_members = len(others) + 1
        n_needed = n_members - n_members // 2
        known = [self.members[n] for n in others if n in self.members]
        timed_revisions = [
            (m.heard_at, m.revision) for m in known if m.revision != UNKNOWN
        ]
        if self.has_synced:
            timed_revisions.append((now, self.revision))
        if len(timed_revisions) < n_needed:
            return _KnownRevision()
        timed_revisions.sort(reverse=True)
        at = timed_revisions[n_needed - 1][0]
        return _KnownRevision(
            at,
            max(revision for heard_at, revision in timed_revisions if heard_at >= at),
        )

    def complete_as_of(self, now: float) -> float:
        """Return the time up to which this node has every accepted change.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            The later of the times confirmed by the store and by the other nodes, in
            seconds; minus infinity before either is known.
        """
        times = [float("-inf")]
        if self.revision >= self._confirmed.revision:
            times.append(self._confirmed.at)
        if self._listed_at > float("-inf"):
            times.append(self._compute_fleet_coverage(now))
        return max(times)

    def _compute_fleet_coverage(self, now: float) -> float:
        own = self._compute_domain_coverage(now)
        times = [own.at if self.revision >= own.revision else float("-inf")]
        for domain in {peer.domain for peer in self.peers.values()} - {self.domain}:
            known = self._domains.get(domain, _KnownRevision())
            is_complete = self.revision >= known.revision
            times.append(known.at if is_complete else float("-inf"))
        return min(times)

    def count_nodes_at_revision(self, revision: int) -> tuple[int, int]:
        """Return how many nodes of this domain are known to have a revision.

        Parameters
        ----------
        revision : int
            Configuration revision.

        Returns
        -------
        tuple of (int, int)
            Number of nodes with the revision and number of listed nodes, both
            including this node.
        """
        others = self._domain_members(self.domain)
        n_have = sum(
            n in self.members and self.members[n].revision >= revision for n in others
        )
        return n_have + (self.revision >= revision), len(others) + 1

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """Return a report on the known nodes.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of dict
            One row per node, including this one.
        """
        rows = [
            {
                "name": self.node,
                "failure_domain": self.domain,
                "state": "alive",
                "revision": self.revision,
                "heard": 0.0,
                "direct": 0.0,
            }
        ]
        for name, peer in sorted(self.peers.items()):
            member = self.members.get(name, Member())
            rows.append(
                {
                    "name": name,
                    "failure_domain": peer.domain,
                    "state": "alive" if self.is_alive(name, now) else "suspect",
                    "revision": member.revision,
                    "heard": _age(member.heard_at, now),
                    "direct": _age(member.last_answer_at, now),
                }
            )
        return rows


def _age(at: float, now: float) -> float:
    return round(min(now - at, MAX_AGE), 3)
