"""What nodes tell each other in small datagrams: loads, ages of beliefs, usage.

A node hears of the others from the store once, and from then on from themselves, so
that the fleet holds together while the store is away. Within a failure domain word
goes round several times a second; across domains, where bytes are priced, a node tells
only that it lives, and the holder of the duties what it counts. Loads cross domains in
sums (``_domains``).
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from pydantic import BaseModel, ValidationError

from ._peer_messages import DomainStatus, LoadUpdate, PeerStatus

log = logging.getLogger(__name__)

NEAR_INTERVAL = 0.2  # seconds, within the failure domain
# In a large domain each node tells less often, so that the datagrams that one takes in
# stay bounded; what changes by much is told at once in notes.
NEAR_INTERVAL_PER_PEER = 0.025  # seconds
FAR_INTERVAL = 1.0  # seconds, across failure domains
# Peers told in one round; a larger domain is told in turns, so that a node's part
# in it does not grow with the fleet.
MAX_NEAR = 10
MAX_FAR = 2
ALIVE_TIME = 3.0  # seconds without word after which a peer counts as away
ALIVE_ROUNDS = 3  # rounds without word after which a peer of a large fleet is away
FORGET_TIME = 60.0  # seconds without word after which it shares no budgets any more
# Failure domains lose each other for minutes and then have to find each other again.
DROP_TIME = 900.0  # seconds without word after which a peer is told nothing more
LOST_TELL_SHARE = 0.1  # of the rounds, for peers that are away
MAX_DATAGRAM = 60_000  # bytes


@dataclass
class KnownPeer:
    """A peer and its last word.

    Attributes
    ----------
    name, zone, address : str
        Who and where.
    heard_at : float
        Seconds on the node's clock; minus infinity before the first word.
    known_at : float
        When its address was learned.
    word : PeerStatus or None
        What it said last.
    """

    name: str
    zone: str
    address: str
    known_at: float
    heard_at: float = float("-inf")
    status: PeerStatus | None = None

    @property
    def is_holder(self) -> bool:
        """Whether it said last that it holds the duties."""
        return self.status is not None and self.status.holder


@dataclass
class PeerTable:
    """The other nodes, as far as known.

    Parameters
    ----------
    name, zone : str
        This node.
    clock : callable
        Returns seconds.
    random_state : random.Random
        Chooses whom to tell.
    """

    name: str
    zone: str
    clock: Callable[[], float]
    random_state: random.Random = field(default_factory=random.Random)
    peers: dict[str, KnownPeer] = field(default_factory=dict)
    _turns: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})

    def observe_address(self, name: str, zone: str, address: str) -> None:
        """Take in where a node is, as the store or a setting says.

        Parameters
        ----------
        name, zone, address : str
            The node; a seed whose name is not known goes by its address.
        """
        if name == self.name:
            return
        known = self.peers.get(name)
        if known is None or known.address != address:
            if known is not None and self.is_alive(known):
                return
            self.peers[name] = KnownPeer(name, zone, address, self.clock())

    def observe_status(self, word: PeerStatus) -> None:
        """Take in a node's word."""
        if word.name == self.name:
            return
        known = self.peers.get(word.name)
        if known is None:
            known = KnownPeer(word.name, word.zone, word.address, self.clock())
            self.peers[word.name] = known
            self.peers.pop(word.address, None)
        if not self.is_alive(known):
            log.info("peer heard", extra={"peer": word.name, "zone": word.zone})
        known.zone, known.address = word.zone, word.address
        known.heard_at, known.status = self.clock(), word

    def _count_far(self) -> int:
        return sum(it.zone != self.zone for it in self.peers.values())

    def _alive_since(self, zone: str) -> float:
        """Return the time since which a peer has to be heard to count as alive."""
        silence = ALIVE_TIME
        if zone != self.zone:
            round_time = FAR_INTERVAL * self._count_far() / MAX_FAR
            silence = max(silence, ALIVE_ROUNDS * round_time)
        return self.clock() - silence

    def is_alive(self, peer: KnownPeer) -> bool:
        """Tell whether a peer was heard a moment ago."""
        return peer.heard_at > self._alive_since(peer.zone)

    def list_alive(self, *, zone: str | None = None) -> list[KnownPeer]:
        """List the peers that are heard, of one failure domain or all."""
        near, far = self._alive_since(self.zone), self._alive_since("")
        return [
            peer
            for peer in self.peers.values()
            if peer.heard_at > (near if peer.zone == self.zone else far)
            and (zone is None or peer.zone == zone)
        ]

    def find_holder(self) -> KnownPeer | None:
        """Return the peer that holds the duties and said so a moment ago."""
        since = self.clock() - ALIVE_TIME
        for peer in self.peers.values():
            if peer.is_holder and peer.heard_at > since:
                return peer
        return None

    def list_recently_heard(self, zone: str) -> list[str]:
        """Name the nodes of a failure domain that spoke a moment ago."""
        since = self.clock() - ALIVE_TIME
        return [
            peer.name
            for peer in self.peers.values()
            if peer.zone == zone and peer.heard_at > since
        ]

    def _list_recent(self) -> list[KnownPeer]:
        now = self.clock()
        return [it for it in self.peers.values() if now - it.heard_at < FORGET_TIME]

    def count_domain_nodes(self) -> int:
        """Count the failure domain's nodes, those just lost included."""
        return 1 + sum(peer.zone == self.zone for peer in self._list_recent())

    def count_far_recent(self) -> int:
        """Count the other nodes that were heard in the last minute."""
        return sum(peer.zone != self.zone for peer in self._list_recent())

    def rank_in_domain(self) -> int:
        """Return how many live peers of the failure domain come before this node."""
        return sum(peer.name < self.name for peer in self.list_alive(zone=self.zone))

    def decide_targets(self, *, near: bool, all_peers: bool = False) -> list[KnownPeer]:
        """Choose whom to tell in this round.

        Parameters
        ----------
        near : bool
            Those of the failure domain, or the others.
        all_peers : bool, default=False
            All of them, as the holder of the duties does.

        Returns
        -------
        list of KnownPeer
            Peers, with those that are away only now and then.
        """
        now = self.clock()
        since = self._alive_since(self.zone if near else "")
        found = []
        for key, peer in list(self.peers.items()):
            if now - max(peer.heard_at, peer.known_at) > DROP_TIME:
                del self.peers[key]
                continue
            if (peer.zone == self.zone) != near:
                continue
            fresh = peer.heard_at > since or now - peer.known_at < ALIVE_TIME
            if fresh or self.random_state.random() < LOST_TELL_SHARE:
                found.append(peer)
        limit = MAX_NEAR if near else MAX_FAR
        if len(found) <= limit or all_peers:
            return found
        # In turn, so that each peer is told after the same number of rounds; the
        # holder of the duties every time, since it adds up what all count.
        found.sort(key=lambda peer: peer.name)
        start = self._turns[near]
        self._turns[near] = (start + limit) % len(found)
        chosen = (found + found)[start : start + limit]
        return chosen + [it for it in found if it.is_holder and it not in chosen]


class _Endpoint(asyncio.DatagramProtocol):
    def __init__(
        self,
        on_word: Callable[[PeerStatus], None],
        on_note: Callable[[LoadUpdate], None],
        on_domain: Callable[[DomainStatus], None],
    ) -> None:
        self._on_word = on_word
        self._on_note = on_note
        self._on_domain = on_domain

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            row = orjson.loads(data)
            if isinstance(row, dict) and "sender" in row:
                self._on_note(LoadUpdate.model_validate(row))
                return
            if isinstance(row, dict) and "n_nodes" in row:
                self._on_domain(DomainStatus.model_validate(row))
                return
            word = PeerStatus.model_validate(row)
        except (orjson.JSONDecodeError, ValidationError) as exc:
            log.warning(
                "datagram not readable",
                extra={"peer": addr[0], "fault": str(exc)[:200]},
            )
            return
        self._on_word(word)

    def error_received(self, exc: Exception) -> None:
        # An unreachable peer is seen by its silence.
        log.debug("datagram not delivered", extra={"fault": str(exc)})


class PeerMessenger:
    """Sends this node's word and takes the others'.

    Parameters
    ----------
    table : PeerTable
        Whom to tell.
    make_word : callable
        Returns this node's word for nodes of a failure domain; its second argument
        tells whether they hold the duties.
    on_word : callable
        Told each word that comes in.
    on_note : callable
        Told each note on a load.
    on_domain : callable
        Told each word of another failure domain.
    """

    def __init__(
        self,
        table: PeerTable,
        make_word: Callable[[str, bool], PeerStatus],
        on_word: Callable[[PeerStatus], None],
        on_note: Callable[[LoadUpdate], None],
        on_domain: Callable[[DomainStatus], None],
    ) -> None:
        self._on_note = on_note
        self._on_domain = on_domain
        self._table = table
        self._make_word = make_word
        self._on_word = on_word
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Endpoint(self._take, self._on_note, self._on_domain),
            local_addr=(host, port),
        )

    def _take(self, word: PeerStatus) -> None:
        self._table.observe_status(word)
        self._on_word(word)

    def send_status(self, *, same_domain: bool, all_peers: bool = False) -> None:
        """Send this node's word now, to all peers or to those whose turn it is."""
        if self._transport is None:
            return
        all_peers = all_peers or self._make_word(self._table.zone, False).holder
        groups: dict[tuple[str, bool], list[str]] = {}
        for peer in self._table.decide_targets(near=same_domain, all_peers=all_peers):
            group = groups.setdefault((peer.zone, peer.is_holder), [])
            group.append(peer.address)
        for (zone, to_holder), addresses in groups.items():
            self._send(self._make_word(zone, to_holder), addresses)

    def broadcast_to_domain(self, message: LoadUpdate | DomainStatus) -> None:
        """Send a note, or another failure domain's word, within the failure domain."""
        near = self._table.list_alive(zone=self._table.zone)
        self._send(message, [peer.address for peer in near])

    def send_to_domains(self, word: DomainStatus, addresses: list[str]) -> None:
        """Send this failure domain's word to other ones."""
        self._send(word, addresses)

    def _send(self, message: BaseModel, addresses: list[str]) -> None:
        if self._transport is None or not addresses:
            return
        row = message.model_dump(exclude_defaults=True)
        data = orjson.dumps(row, option=orjson.OPT_NON_STR_KEYS)
        if len(data) > MAX_DATAGRAM:
            log.error("word too large for a datagram", extra={"n_bytes": len(data)})
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def send_status_round(self) -> None:
        """Send this node's word to both near and far peers."""
        self.send_status(same_domain=True)
        self.send_status(same_domain=False)

    def broadcast_status(self) -> None:
        """Send this node's word to all peers, whoever's turn it is."""
        self.send_status(same_domain=True, all_peers=True)
        self.send_status(same_domain=False, all_peers=True)

    async def run_intra_domain(self) -> None:
        """Tell the peers of the failure domain, until cancelled."""
        await self._run(self._decide_near_interval, near=True)

    async def run_cross_domain(self) -> None:
        """Tell the other peers, until cancelled."""
        await self._run(lambda: FAR_INTERVAL, near=False)

    def _decide_near_interval(self) -> float:
        n_near = len(self._table.list_alive(zone=self._table.zone))
        return max(NEAR_INTERVAL, NEAR_INTERVAL_PER_PEER * n_near)

    async def _run(self, decide_interval: Callable[[], float], *, near: bool) -> None:
        random_state = self._table.random_state
        while True:
            self.send_status(same_domain=near)
            await asyncio.sleep(decide_interval() * random_state.uniform(0.8, 1.2))

    def close(self) -> None:
        """Stop listening; nothing is sent afterwards."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
