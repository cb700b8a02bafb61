"""What nodes tell each other in small datagrams: loads, ages of beliefs, usage.

A node hears of the others from the store once, and from then on from themselves, so
that the fleet holds together while the store is away. Within a failure domain word
goes round several times a second; across domains, where bytes are priced, once.
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

from ._peer_words import LoadNote, PeerWord

log = logging.getLogger(__name__)

NEAR_INTERVAL = 0.2  # seconds, within the failure domain
FAR_INTERVAL = 1.0  # seconds, across failure domains
SMALL_FAR_INTERVAL = 0.5  # seconds, in a fleet whose far peers are told in one round
# Peers told in one round; a larger domain is told in turns, so that a node's part
# in it does not grow with the fleet.
MAX_NEAR = 10
MAX_FAR = 8
ALIVE_TIME = 3.0  # seconds without word after which a peer counts as away
ALIVE_ROUNDS = 3  # rounds without word after which a peer of a large fleet is away
FORGET_TIME = 60.0  # seconds without word after which it is told nothing more
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
    word : PeerWord or None
        What it said last.
    """

    name: str
    zone: str
    address: str
    known_at: float
    heard_at: float = float("-inf")
    word: PeerWord | None = None

    @property
    def is_holder(self) -> bool:
        """Whether it said last that it holds the duties."""
        return self.word is not None and self.word.holder


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

    def observe_word(self, word: PeerWord) -> None:
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
        known.heard_at, known.word = self.clock(), word

    @property
    def is_small(self) -> bool:
        """Whether all peers of other failure domains are told in one round."""
        return self._count_far() <= MAX_FAR

    def _count_far(self) -> int:
        return sum(it.zone != self.zone for it in self.peers.values())

    def _alive_since(self) -> float:
        """Return the time since which a peer has to be heard to count as alive."""
        round_time = FAR_INTERVAL * self._count_far() / MAX_FAR
        return self.clock() - max(ALIVE_TIME, ALIVE_ROUNDS * round_time)

    def is_alive(self, peer: KnownPeer) -> bool:
        """Tell whether a peer was heard a moment ago."""
        return peer.heard_at > self._alive_since()

    def alive(self, *, zone: str | None = None) -> list[KnownPeer]:
        """List the peers that are heard, of one failure domain or all."""
        since = self._alive_since()
        return [
            peer
            for peer in self.peers.values()
            if peer.heard_at > since and (zone is None or peer.zone == zone)
        ]

    def count_nodes(self) -> int:
        """Count the nodes that may share a budget, those just lost included."""
        now = self.clock()
        recent = [p for p in self.peers.values() if now - p.heard_at < FORGET_TIME]
        return 1 + len(recent)

    def rank_near(self) -> int:
        """Return how many live peers of the failure domain come before this node."""
        return sum(peer.name < self.name for peer in self.alive(zone=self.zone))

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
        since = self._alive_since()
        found = []
        for key, peer in list(self.peers.items()):
            if now - max(peer.heard_at, peer.known_at) > FORGET_TIME:
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
        on_word: Callable[[PeerWord], None],
        on_note: Callable[[LoadNote], None],
    ) -> None:
        self._on_word = on_word
        self._on_note = on_note

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            row = orjson.loads(data)
            if isinstance(row, dict) and "sender" in row:
                self._on_note(LoadNote.model_validate(row))
                return
            word = PeerWord.model_validate(row)
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


class PeerTalk:
    """Sends this node's word and takes the others'.

    Parameters
    ----------
    table : PeerTable
        Whom to tell.
    make_word : callable
        Returns this node's word; its argument tells whether it stays in the
        failure domain.
    on_word : callable
        Told each word that comes in.
    on_note : callable
        Told each note on a load.
    """

    def __init__(
        self,
        table: PeerTable,
        make_word: Callable[[bool], PeerWord],
        on_word: Callable[[PeerWord], None],
        on_note: Callable[[LoadNote], None],
    ) -> None:
        self._on_note = on_note
        self._table = table
        self._make_word = make_word
        self._on_word = on_word
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Endpoint(self._take, self._on_note), local_addr=(host, port)
        )

    def _take(self, word: PeerWord) -> None:
        self._table.observe_word(word)
        self._on_word(word)

    def tell(self, *, near: bool) -> None:
        """Send this node's word now."""
        word = self._make_word(near)
        targets = self._table.decide_targets(near=near, all_peers=word.holder)
        if not targets or self._transport is None:
            return
        self._send(word, targets)

    def note(self, note: LoadNote) -> None:
        """Send a note on a load to near and far peers."""
        targets = self._table.decide_targets(near=True)
        self._send(note, targets + self._table.decide_targets(near=False))

    def _send(self, message: BaseModel, targets: list[KnownPeer]) -> None:
        row = message.model_dump(exclude_defaults=True)
        data = orjson.dumps(row, option=orjson.OPT_NON_STR_KEYS)
        if self._transport is None:
            return
        if len(data) > MAX_DATAGRAM:
            log.error("word too large for a datagram", extra={"n_bytes": len(data)})
            return
        for peer in targets:
            host, _, port = peer.address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def tell_all(self) -> None:
        """Send this node's word to both near and far peers."""
        self.tell(near=True)
        self.tell(near=False)

    async def run_near(self) -> None:
        """Tell the peers of the failure domain, until cancelled."""
        await self._run(NEAR_INTERVAL, near=True)

    async def run_far(self) -> None:
        """Tell the other peers, until cancelled."""
        await self._run(FAR_INTERVAL, near=False)

    async def _run(self, interval: float, *, near: bool) -> None:
        random_state = self._table.random_state
        while True:
            self.tell(near=near)
            if not near and self._table.is_small:
                interval = SMALL_FAR_INTERVAL
            await asyncio.sleep(interval * random_state.uniform(0.8, 1.2))

    def close(self) -> None:
        """Stop listening; nothing is sent afterwards."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
