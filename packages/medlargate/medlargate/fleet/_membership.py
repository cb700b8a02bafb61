"""Who is alive, and as of when this node knows the configuration to be complete.

Pure state: messages and times go in, messages come out.
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
    """What this node knows of another one.

    Attributes
    ----------
    heard_at : float
        The latest time at which it is known to have been alive.
    revision : int
        Its revision at that time.
    direct_at : float
        When it last answered this node itself.
    facts : Facts or None
        Its last direct facts.
    """

    heard_at: float = float("-inf")
    revision: int = UNKNOWN
    last_answer_at: float = float("-inf")
    facts: NodeStatus | None = None


@dataclass(slots=True)
class _KnownRevision:
    """A domain's or the store's completeness: everything accepted before ``at``."""

    at: float = float("-inf")
    revision: int = 0


@dataclass(slots=True)
class _SentPing:
    peer: str
    at: float


@dataclass
class Membership:
    """Heartbeats, suspicion and coverage of one node.

    Parameters
    ----------
    node, domain, incarnation : str
        Identity.
    suspect_timeout : float
        Seconds without word before a node counts as dead.
    relay : bool, default=True
        Pass on what other nodes were heard of; False is the baseline.
    random_state : int, default=0
        Seed of the order in which peers are asked.

    Notes
    -----
    An answer's facts are dated back to when the question was sent, so that no
    delay on the way makes old word look fresh and no two clocks are compared.
    Ages of other nodes travel with each message: a peer that can't be reached
    directly is heard of through a third (see docs/design/0003-fleet.md).
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

    # Facts

    def observe_peers(self, peers: Iterable[Peer], now: float) -> None:
        """Take in the platform's list of nodes.

        Parameters
        ----------
        peers : iterable of Peer
            All listed nodes, this one included or not.
        now : float
            Seconds.
        """
        listed = {peer.name: peer for peer in peers if peer.name != self.node}
        for name, peer in self.peers.items():
            # The list lags: a node that still answers stays known.
            if name not in listed and self.is_alive(name, now):
                listed[name] = peer
        self.peers = listed
        self._listed_at = now
        for name in [n for n in self.members if n not in listed]:
            del self.members[name]

    def observe_confirmation(self, at: float, revision: int) -> None:
        """Take in that the store held nothing newer than a revision.

        Parameters
        ----------
        at : float
            When the read was sent.
        revision : int
            The newest revision read.
        """
        if at > self._confirmed.at:
            self._confirmed = _KnownRevision(at, revision)

    def observe_sync(self) -> None:
        """Take in that this node itself has read the store since its start."""
        self.has_synced = True

    def observe(self, heartbeat: Heartbeat, now: float) -> OutgoingHeartbeat | None:
        """Take in a message.

        Parameters
        ----------
        heartbeat : Heartbeat
            From another node.
        now : float
            Seconds.

        Returns
        -------
        Outgoing or None
            The answer to a heartbeat.
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
        self._observe_word(facts.node, sent_at, revision)
        if facts.confirmed is not None:
            word = facts.confirmed
            self.observe_confirmation(sent_at - word.age, word.revision)
        for domain, word in facts.domains.items():
            self._observe_domain(domain, sent_at - word.age, word.revision)
        if self.relay:
            for name, word in facts.members.items():
                if name != self.node and name in self.peers:
                    self._observe_word(name, sent_at - word.age, word.revision)

    def _observe_word(self, name: str, at: float, revision: int) -> None:
        member = self.members.setdefault(name, Member())
        if at > member.heard_at:
            # Later word replaces earlier: a restarted node has forgotten.
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
        """Tell whether a node counts as alive.

        Parameters
        ----------
        name : str
            The node.
        now : float
            Seconds.

        Returns
        -------
        bool
            False when nothing was heard of it for ``suspect_timeout``.
        """
        if name == self.node:
            return True
        member = self.members.get(name)
        return member is not None and now - member.heard_at <= self.suspect_timeout

    def mesh(self) -> list[str]:
        """List the nodes that share backend servers with this one.

        Returns
        -------
        list of str
            All other nodes of a small fleet, else those of the failure domain.
        """
        if len(self.peers) < MAX_FULL_MESH_PEERS:
            return sorted(self.peers)
        return sorted(n for n, p in self.peers.items() if p.domain == self.domain)

    def alive_mesh(self, now: float) -> list[str]:
        """List the nodes of the mesh that count as alive.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        list of str
            Without this node.
        """
        return [name for name in self.mesh() if self.is_alive(name, now)]

    def is_chosen(self, subject: str, n_chosen: int, now: float) -> bool:
        """Tell whether this node is among those chosen for a task of its domain.

        Parameters
        ----------
        subject : str
            The task.
        n_chosen : int
            How many nodes are chosen.
        now : float
            Seconds.

        Returns
        -------
        bool
            By rendezvous hash among the domain's nodes that count as alive.
        """
        names = [n for n in self._domain_members(self.domain) if self.is_alive(n, now)]
        return self.node in rank_by_hash(subject, [*names, self.node])[:n_chosen]

    def decide_heartbeats(self, now: float) -> list[OutgoingHeartbeat]:
        """Choose whom to ask in this interval.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        list of Outgoing
            To ``fanout`` peers of the mesh in turn, and to one speaker of each
            failure domain that this node speaks to.
        """
        self._pings = {
            n: sent for n, sent in self._pings.items() if now - sent.at < PING_TIMEOUT
        }
        chosen = self._choose_next_peers()
        for domain in self._list_contacted_domains():
            speakers = self._list_representatives(domain)
            chosen.append(self._random.choice(speakers))
        return self.make_heartbeats(dict.fromkeys(chosen), now)

    def make_heartbeats(
        self, names: Iterable[str], now: float
    ) -> list[OutgoingHeartbeat]:
        """Make heartbeats to some peers.

        Parameters
        ----------
        names : iterable of str
            Whom to ask.
        now : float
            Seconds.

        Returns
        -------
        list of Outgoing
            One for each.
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
        """Say what this node knows, with ages as of now.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        Facts
            For a message that is sent at once.
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
        """Compute as of when this domain's nodes had accepted nothing unheard.

        A change is accepted only once a majority of a domain's nodes have it. So
        when so few nodes are unheard that they are no majority, one of the heard
        ones knows of every accepted change. A node that was restarted since may
        have forgotten one, and counts again only once it has read the store.
        """
        others = self._domain_members(self.domain)
        n_members = len(others) + 1
        n_needed = n_members - n_members // 2
        known = [self.members[n] for n in others if n in self.members]
        words = [(m.heard_at, m.revision) for m in known if m.revision != UNKNOWN]
        if self.has_synced:
            words.append((now, self.revision))
        if len(words) < n_needed:
            return _KnownRevision()
        words.sort(reverse=True)
        at = words[n_needed - 1][0]
        return _KnownRevision(
            at, max(revision for heard, revision in words if heard >= at)
        )

    def complete_as_of(self, now: float) -> float:
        """Compute as of when this node knows every accepted change.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
            The later of what the store and what the nodes say; minus infinity
            before either is known.
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
            fits = self.revision >= known.revision
            times.append(known.at if fits else float("-inf"))
        return min(times)

    def count_nodes_at_revision(self, revision: int) -> tuple[int, int]:
        """Count the nodes of this domain that are known to have a revision.

        Parameters
        ----------
        revision : int
            The revision.

        Returns
        -------
        tuple of (int, int)
            Nodes that have it, this one included, and nodes listed.
        """
        others = self._domain_members(self.domain)
        n_have = sum(
            n in self.members and self.members[n].revision >= revision for n in others
        )
        return n_have + (self.revision >= revision), len(others) + 1

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """Report the known nodes.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        list of dict
            One row for each, this one included.
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
