"""Datagrams between nodes: loads, state ages and usage counts.

A node reads the others' addresses from the store once and then learns of changes from
the peers themselves, so that the fleet stays connected during a store outage. Within a
failure domain, nodes exchange statuses several times a second. Across domains, where
traffic is billed, a node sends only a liveness status, and its usage counts to the
duty holder. Loads cross domains as sums over a domain (``_domains``).
"""

from __future__ import annotations

import asyncio
import functools
import logging
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from pydantic import BaseModel

from .._tasks import call_logged
from ..platform import parse_address
from ._peer_messages import (
    DomainStatus,
    LoadUpdate,
    PeerStatus,
    RejectionNotice,
    StreamNotes,
    StreamQuery,
)

log = logging.getLogger(__name__)

INTRA_DOMAIN_INTERVAL = 0.2  # seconds, within the failure domain
# In a large domain, nodes send statuses less often to bound the rate of datagrams that
# each node receives; large changes of load are sent at once as load updates.
INTRA_DOMAIN_INTERVAL_PER_PEER = 0.025  # seconds
CROSS_DOMAIN_INTERVAL = 1.0  # seconds, across failure domains
# Peers that receive a status in one round. More peers are served in turn, so that a
# node's traffic does not grow with the fleet.
MAX_INTRA_DOMAIN_TARGETS = 10
MAX_CROSS_DOMAIN_TARGETS = 2
ALIVE_TIME = 3.0  # seconds without a status after which a peer counts as down
# Sending rounds without a status after which a peer counts as down, if they take longer
# than ALIVE_TIME, as in a large fleet: for peers of this and of other domains.
INTRA_DOMAIN_ALIVE_ROUNDS = 2
CROSS_DOMAIN_ALIVE_ROUNDS = 3
# Seconds without a status after which a peer has no share of the fleet's budgets.
FORGET_TIME = 60.0
# Seconds without a status after which a peer is removed. Failure domains can be
# partitioned for minutes and have to find each other again afterwards.
DROP_TIME = 900.0
SILENT_PEER_SEND_PROBABILITY = 0.1  # per round, for a peer that counts as down
MAX_DATAGRAM = 60_000  # bytes
MAX_DATAGRAMS_AT_ONCE = 100

_parse_address = functools.lru_cache(maxsize=1024)(parse_address)


@dataclass
class KnownPeer:
    """A peer and its last status.

    Attributes
    ----------
    name, zone, address : str
        Node name, failure domain and ``IP:PORT`` of the peer.
    heard_at : float
        When the last status arrived, in seconds on the node's clock; minus infinity
        before the first status.
    learned_at : float
        When the address was learned, in seconds on the node's clock.
    status : PeerStatus or None
        Last status received from the peer.
    """

    name: str
    zone: str
    address: str
    learned_at: float
    heard_at: float = float("-inf")
    status: PeerStatus | None = None

    @property
    def is_holder(self) -> bool:
        """Whether the peer's last status declares it the duty holder."""
        return self.status is not None and self.status.holder


@dataclass
class PeerTable:
    """The other known nodes.

    Parameters
    ----------
    name, zone : str
        Name and failure domain of this node.
    clock : callable
        Returns seconds.
    random_state : random.Random
        Random numbers for the choice of peers and for timing jitter.
    """

    name: str
    zone: str
    clock: Callable[[], float]
    random_state: random.Random = field(default_factory=random.Random)
    peers: dict[str, KnownPeer] = field(default_factory=dict)
    _next_starts: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})
    _n_remote_peers: int | None = None  # None if it has to be counted again

    def observe_address(self, name: str, zone: str, address: str) -> None:
        """Record a node's address from the store or the settings.

        Parameters
        ----------
        name, zone, address : str
            Node name, failure domain and ``IP:PORT``. A seed from the settings has
            its address as its name until its first status.
        """
        if name == self.name:
            return
        known = self.peers.get(name)
        if known is None or known.address != address:
            if known is not None and self.is_alive(known):
                return
            self.peers[name] = KnownPeer(name, zone, address, self.clock())
            self._n_remote_peers = None

    def observe_status(self, status: PeerStatus) -> None:
        """Record the status of another node."""
        if status.name == self.name:
            return
        known = self.peers.get(status.name)
        if known is None:
            known = KnownPeer(status.name, status.zone, status.address, self.clock())
            self.peers[status.name] = known
            self.peers.pop(status.address, None)
            self._n_remote_peers = None
        elif known.zone != status.zone:
            self._n_remote_peers = None
        if not self.is_alive(known):
            log.info("peer heard", extra={"peer": status.name, "zone": status.zone})
        known.zone, known.address = status.zone, status.address
        known.heard_at, known.status = self.clock(), status

    def _count_remote_peers(self) -> int:
        if self._n_remote_peers is None:
            n_peers = sum(it.zone != self.zone for it in self.peers.values())
            self._n_remote_peers = n_peers
        return self._n_remote_peers

    def compute_intra_domain_interval(self) -> float:
        """Return the seconds between two statuses that a node sends in its domain."""
        n_peers = len(self.peers) - self._count_remote_peers()
        return max(INTRA_DOMAIN_INTERVAL, INTRA_DOMAIN_INTERVAL_PER_PEER * n_peers)

    def compute_intra_domain_round(self) -> float:
        """Return the seconds in which each node of the domain gets a status of each."""
        n_peers = len(self.peers) - self._count_remote_peers()
        n_turns = max(1.0, n_peers / MAX_INTRA_DOMAIN_TARGETS)
        return n_turns * self.compute_intra_domain_interval()

    def _liveness_cutoff(self, zone: str) -> float:
        """Return the clock time after which a live peer's last status arrived."""
        if zone == self.zone:
            rounds = INTRA_DOMAIN_ALIVE_ROUNDS * self.compute_intra_domain_round()
        else:
            n_turns = self._count_remote_peers() / MAX_CROSS_DOMAIN_TARGETS
            rounds = CROSS_DOMAIN_ALIVE_ROUNDS * n_turns * CROSS_DOMAIN_INTERVAL
        return self.clock() - max(ALIVE_TIME, rounds)

    def is_alive(self, peer: KnownPeer) -> bool:
        """Return whether a peer counts as alive by the time of its last status."""
        return peer.heard_at > self._liveness_cutoff(peer.zone)

    def list_alive(self, *, zone: str | None = None) -> list[KnownPeer]:
        """Return the live peers of one failure domain or of all."""
        own_cutoff, other_cutoff = (
            self._liveness_cutoff(self.zone),
            self._liveness_cutoff(""),
        )
        return [
            peer
            for peer in self.peers.values()
            if peer.heard_at > (own_cutoff if peer.zone == self.zone else other_cutoff)
            and (zone is None or peer.zone == zone)
        ]

    def find_holder(self) -> KnownPeer | None:
        """Return the duty holder if it was heard within ``ALIVE_TIME``."""
        since = self.clock() - ALIVE_TIME
        for peer in self.peers.values():
            if peer.is_holder and peer.heard_at > since:
                return peer
        return None

    def list_recently_heard(self, zone: str) -> list[str]:
        """Return the names of a domain's nodes heard within ``ALIVE_TIME``."""
        since = self.clock() - ALIVE_TIME
        return [
            peer.name
            for peer in self.peers.values()
            if peer.zone == zone and peer.heard_at > since
        ]

    def _list_recent_peers(self) -> list[KnownPeer]:
        now = self.clock()
        return [it for it in self.peers.values() if now - it.heard_at < FORGET_TIME]

    def count_domain_nodes(self) -> int:
        """Return the number of this domain's nodes heard within ``FORGET_TIME``."""
        return 1 + sum(peer.zone == self.zone for peer in self._list_recent_peers())

    def count_recent_remote_nodes(self) -> int:
        """Return the number of other domains' nodes heard within ``FORGET_TIME``."""
        return sum(peer.zone != self.zone for peer in self._list_recent_peers())

    def rank_in_domain(self) -> int:
        """Return the number of live peers of this domain with a lower name."""
        return sum(peer.name < self.name for peer in self.list_alive(zone=self.zone))

    def decide_targets(
        self, *, same_domain: bool, all_peers: bool = False
    ) -> list[KnownPeer]:
        """Choose the peers that receive a status in this round.

        Parameters
        ----------
        same_domain : bool
            Choose among the peers of this node's failure domain; otherwise among the
            peers of all other domains.
        all_peers : bool, default=False
            Choose all of them, as the duty holder does.

        Returns
        -------
        list of KnownPeer
            Live peers, and now and then those that count as down.
        """
        now = self.clock()
        since = self._liveness_cutoff(self.zone if same_domain else "")
        found = []
        for key, peer in list(self.peers.items()):
            if now - max(peer.heard_at, peer.learned_at) > DROP_TIME:
                del self.peers[key]
                self._n_remote_peers = None
                continue
            if (peer.zone == self.zone) != same_domain:
                continue
            fresh = peer.heard_at > since or now - peer.learned_at < ALIVE_TIME
            if fresh or self.random_state.random() < SILENT_PEER_SEND_PROBABILITY:
                found.append(peer)
        limit = MAX_INTRA_DOMAIN_TARGETS if same_domain else MAX_CROSS_DOMAIN_TARGETS
        if len(found) <= limit or all_peers:
            return found
        # Round robin, so that every peer receives a status after the same number of
        # rounds. The duty holder receives each one, since it sums all usage counts.
        found.sort(key=lambda peer: peer.name)
        start = self._next_starts[same_domain]
        self._next_starts[same_domain] = (start + limit) % len(found)
        chosen = (found + found)[start : start + limit]
        return chosen + [it for it in found if it.is_holder and it not in chosen]


class _Endpoint(asyncio.DatagramProtocol):
    def __init__(
        self,
        sock: socket.socket,
        on_status: Callable[[PeerStatus], None],
        on_load_update: Callable[[LoadUpdate], None],
        on_domain_status: Callable[[DomainStatus], None],
        on_stream_notes: Callable[[StreamNotes], None],
        on_stream_query: Callable[[StreamQuery], None],
        on_rejection: Callable[[RejectionNotice], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._sock = sock
        self._on_lost = on_lost
        self._on_status = on_status
        # Each kind of message but a node's status is recognized by a field.
        self._handlers: dict[str, tuple[type[BaseModel], Callable[[Any], None]]] = {
            "sender": (LoadUpdate, on_load_update),
            "n_nodes": (DomainStatus, on_domain_status),
            "origins": (StreamNotes, on_stream_notes),
            "wanted": (StreamQuery, on_stream_query),
            "rejecting": (RejectionNotice, on_rejection),
        }

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._handle(data, addr)
        # The event loop delivers one datagram in each iteration. A node that was paused
        # would decide with a view of the load that is many iterations old.
        for _ in range(MAX_DATAGRAMS_AT_ONCE):
            try:
                data, addr = self._sock.recvfrom(MAX_DATAGRAM + 1)
            except OSError:
                return
            self._handle(data, addr)

    def _handle(self, data: bytes, addr: Any) -> None:
        try:
            row = orjson.loads(data)
            model, handle = PeerStatus, self._on_status
            for field_name, handler in self._handlers.items():
                if isinstance(row, dict) and field_name in row:
                    model, handle = handler
                    break
            message = model.model_validate(row)
        except Exception as exc:
            log.warning(
                "datagram not decodable",
                extra={"peer": addr[0], "fault": str(exc)[:200]},
            )
            return
        call_logged(handle, message)

    def error_received(self, exc: Exception) -> None:
        # An unreachable peer is detected by its missing statuses.
        log.debug("datagram not delivered", extra={"fault": str(exc)})

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a socket that an error has closed."""
        if exc is not None:
            log.error("socket for datagrams lost", extra={"fault": repr(exc)})
            self._on_lost()


class PeerMessenger:
    """Sends this node's status to peers and receives theirs.

    Parameters
    ----------
    table : PeerTable
        Known peers, to which statuses are sent.
    make_status : callable
        Returns this node's status for receivers in a failure domain; the second
        argument is whether the receiver is the duty holder.
    on_status : callable
        Called with each received status of a node.
    on_load_update : callable
        Called with each received load update.
    on_domain_status : callable
        Called with each received status of another failure domain.
    on_stream_notes : callable
        Called with the origins of streams that another node sends.
    on_stream_query : callable
        Called with each question for the origins of streams.
    on_rejection : callable
        Called with the rejections of servers that other nodes report.
    is_holder : callable
        Returns whether this node holds the duties, whose holder sends each status to
        all peers.
    """

    def __init__(
        self,
        table: PeerTable,
        make_status: Callable[[str, bool], PeerStatus],
        on_status: Callable[[PeerStatus], None],
        on_load_update: Callable[[LoadUpdate], None],
        on_domain_status: Callable[[DomainStatus], None],
        on_stream_notes: Callable[[StreamNotes], None],
        on_stream_query: Callable[[StreamQuery], None],
        on_rejection: Callable[[RejectionNotice], None],
        is_holder: Callable[[], bool] = lambda: False,
    ) -> None:
        self._on_load_update = on_load_update
        self._on_domain_status = on_domain_status
        self._on_stream_notes = on_stream_notes
        self._on_stream_query = on_stream_query
        self._on_rejection = on_rejection
        self._is_holder = is_holder
        self._table = table
        self._make_status = make_status
        self._on_status = on_status
        self._transport: asyncio.DatagramTransport | None = None
        self._is_lost = False
        self._address = ("", 0)

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams."""
        self._address = (host, port)
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((host, port))
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Endpoint(
                sock,
                self._receive_status,
                self._on_load_update,
                self._on_domain_status,
                self._on_stream_notes,
                self._on_stream_query,
                self._on_rejection,
                self._observe_lost,
            ),
            sock=sock,
        )

    def _observe_lost(self) -> None:
        self._transport, self._is_lost = None, True

    def _receive_status(self, status: PeerStatus) -> None:
        self._table.observe_status(status)
        self._on_status(status)

    def send_status(self, *, same_domain: bool, all_peers: bool = False) -> None:
        """Send this node's status now, to all peers or to those whose turn it is."""
        if self._transport is None:
            return
        all_peers = all_peers or self._is_holder()
        groups: dict[tuple[str, bool], list[str]] = {}
        for peer in self._table.decide_targets(
            same_domain=same_domain, all_peers=all_peers
        ):
            group = groups.setdefault((peer.zone, peer.is_holder), [])
            group.append(peer.address)
        for (zone, to_holder), addresses in groups.items():
            self._send(self._make_status(zone, to_holder), addresses)

    def broadcast_to_domain(self, message: LoadUpdate | DomainStatus) -> None:
        """Send a load update or another domain's status within this domain."""
        domain_peers = self._table.list_alive(zone=self._table.zone)
        self._send(message, [peer.address for peer in domain_peers])

    def send(
        self,
        message: DomainStatus
        | LoadUpdate
        | StreamNotes
        | StreamQuery
        | RejectionNotice,
        addresses: list[str],
    ) -> None:
        """Send a message to some nodes, of any failure domain."""
        self._send(message, addresses)

    def _send(self, message: BaseModel, addresses: list[str]) -> None:
        if self._transport is None or not addresses:
            return
        row = message.model_dump(exclude_defaults=True)
        data = orjson.dumps(row, option=orjson.OPT_NON_STR_KEYS)
        if len(data) > MAX_DATAGRAM:
            log.error("message too large for a datagram", extra={"n_bytes": len(data)})
            return
        for address in addresses:
            target = _parse_address(address)
            if target is not None:
                self._transport.sendto(data, target)
                continue
            # Any other error than an OSError would close the socket.
            log.warning("address of a peer not usable", extra={"address": address})

    def send_status_round(self) -> None:
        """Send this node's status to one round of peers, in this and other domains."""
        self.send_status(same_domain=True)
        self.send_status(same_domain=False)

    def broadcast_status(self) -> None:
        """Send this node's status to all peers at once."""
        self.send_status(same_domain=True, all_peers=True)
        self.send_status(same_domain=False, all_peers=True)

    async def run_intra_domain(self) -> None:
        """Send statuses within this failure domain until cancelled."""
        await self._run(self._table.compute_intra_domain_interval, same_domain=True)

    async def run_cross_domain(self) -> None:
        """Send statuses to the other failure domains until cancelled."""
        await self._run(lambda: CROSS_DOMAIN_INTERVAL, same_domain=False)

    async def _run(
        self, decide_interval: Callable[[], float], *, same_domain: bool
    ) -> None:
        random_state = self._table.random_state
        while True:
            if self._is_lost:
                self._is_lost = False
                await self.start(*self._address)
            self.send_status(same_domain=same_domain)
            await asyncio.sleep(decide_interval() * random_state.uniform(0.8, 1.2))

    def close(self) -> None:
        """Close the socket; later statuses are not sent."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
