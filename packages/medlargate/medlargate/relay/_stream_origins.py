"""Origins of streams: kept by several nodes, so that any node can continue a stream."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..fleet import ClusterState
from ..policy import Refusal, StreamOrigin, Verdict, VersionHistory
from ._exchange import Exchange

log = logging.getLogger(__name__)

ORIGIN_LIFETIME = 60.0  # seconds; longer than a caller waits for an answer
MAX_ORIGINS = 20_000  # about 4 MB
# Peers answer within one round trip unless they are stopped or paused.
KEEPER_TIMEOUT = 0.06  # seconds
FLEET_TIMEOUT = 0.12  # seconds
# The store answers within some ms unless it is disturbed or this node is cut off.
CONFIRM_TIMEOUT = 0.3  # seconds
MAX_NOTES = 200  # origins per datagram
UNKNOWN_ORIGIN_RETRY_AFTER = 0.3  # seconds

OriginRows = Mapping[str, tuple[str, str]]


@dataclass(frozen=True, slots=True)
class _KnownOrigin:
    """Origin of a stream with the time at which this node learned it."""

    origin: StreamOrigin
    learned_at: float
    began_here: bool


class OriginPeers(Protocol):
    """Peers that keep copies of origins."""

    def send_origins(self, origins: Mapping[str, StreamOrigin]) -> None:
        """Send origins to the nodes that keep copies of them."""

    def ask_origin(self, request_id: str, *, all_nodes: bool) -> int:
        """Ask nodes for an origin and return their number."""

    def agrees_with_fleet(self) -> bool:
        """Return whether most nodes have lately stated this node's registrations."""


class StreamOrigins:
    """Software versions at which streams began.

    While servers of one version serve a service, its streams may go on anywhere, and
    nothing is sent. Once there are several, this node sends the origins of its streams
    to keepers among the other nodes. A node at which a caller takes a stream up asks
    them, then all nodes, then the store.

    Parameters
    ----------
    cluster_state : ClusterState
        Registered backend servers.
    clock : callable
        Returns the node's monotonic time in seconds.

    Attributes
    ----------
    history : VersionHistory
        Versions that served recently.
    peers : OriginPeers
        Nodes that keep copies; set when the node starts.
    read_stored : callable
        Reads the origins from the store; set when the node starts. Returns whether the
        store answered.
    read_servers : callable
        Reads the registrations from the store; set when the node starts. Returns
        whether the store answered.
    """

    peers: OriginPeers
    read_stored: Callable[[], Awaitable[bool]]
    read_servers: Callable[[], Awaitable[bool]]

    def __init__(self, cluster_state: ClusterState, clock: Callable[[], float]) -> None:
        self._cluster_state = cluster_state
        self._clock = clock
        self._started_at = clock()
        self.history = VersionHistory()
        self._origins: OrderedDict[str, _KnownOrigin] = OrderedDict()
        self._searches: dict[str, asyncio.Event] = {}
        self._mixed: set[str] = set()
        self._has_read_store = False
        cluster_state.server_listeners.append(self._observe_server_change)

    # Versions

    def _observe_server_change(self, server_id: str) -> None:
        del server_id
        versions: dict[str, set[str]] = {}
        for server in self._cluster_state.servers.values():
            versions.setdefault(server.service, set()).add(server.software_version)
        self.history.observe_registered(versions, now=self._clock())
        self._announce_mixed()

    def merge_versions(self, ages: Mapping[str, Mapping[str, float]]) -> None:
        """Take over the versions that another node knows.

        Parameters
        ----------
        ages : mapping of str to mapping of str to float
            Seconds since a version served, by service and version.
        """
        if ages:
            self.history.merge(ages, now=self._clock())
            self._announce_mixed()

    def snapshot_all_versions(self) -> dict[str, dict[str, float]]:
        """Return the recent versions of all services."""
        return self.history.snapshot(now=self._clock(), min_versions=1)

    def snapshot_versions(self) -> dict[str, dict[str, float]]:
        """Return the recent versions of services with several of them."""
        return self.history.snapshot(now=self._clock())

    def _announce_mixed(self) -> None:
        """Send the origins of streams that began while there was one version."""
        mixed = set(self.snapshot_versions())
        for service in mixed - self._mixed:
            versions = sorted(self.history.list_versions(service, now=self._clock()))
            log.info(
                "several software versions serve",
                extra={"service": service, "versions": versions},
            )
            self.peers.send_origins(
                {
                    request_id: known.origin
                    for request_id, known in self._origins.items()
                    if known.began_here and known.origin.service == service
                }
            )
        self._mixed = mixed

    # Origins

    def observe_begin(self, exch: Exchange, origin: StreamOrigin) -> None:
        """Record the origin of a stream before its first event is sent to the caller.

        Parameters
        ----------
        exch : Exchange
            Request with a resumable stream as its answer.
        origin : StreamOrigin
            Where its first event comes from.
        """
        # The caller may name either attempt when it takes the stream up again.
        ids = {exch.facts.resumed_id, exch.facts.request_id} - {None, ""}
        for request_id in ids:
            self._store(request_id, origin, began_here=True)
        if origin.service in self._mixed:
            self.peers.send_origins(dict.fromkeys(ids, origin))

    def merge(self, rows: OriginRows) -> None:
        """Store origins that peers or the store know.

        Parameters
        ----------
        rows : mapping of str to (str, str)
            Services and versions, by the identity of the attempt.
        """
        for request_id, row in rows.items():
            self._store(request_id, StreamOrigin(*row))

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream if this node knows it."""
        known = self._origins.get(request_id)
        return known.origin if known is not None else None

    def list_since(self, since: float) -> dict[str, StreamOrigin]:
        """Return the origins learned after a time on the node's clock."""
        rows = {}
        for request_id, known in reversed(self._origins.items()):
            if known.learned_at <= since:
                break
            if known.origin.service in self._mixed:
                rows[request_id] = known.origin
        return rows

    def _store(
        self, request_id: str, origin: StreamOrigin, *, began_here: bool = False
    ) -> None:
        now = self._clock()
        self._origins.setdefault(request_id, _KnownOrigin(origin, now, began_here))
        while self._origins:
            oldest, known = next(iter(self._origins.items()))
            is_expired = now - known.learned_at > ORIGIN_LIFETIME
            if not is_expired and len(self._origins) <= MAX_ORIGINS:
                break
            del self._origins[oldest]
        search = self._searches.get(request_id)
        if search is not None:
            search.set()

    async def find(self, exch: Exchange) -> StreamOrigin | None:
        """Find where a stream began that a caller takes up.

        Parameters
        ----------
        exch : Exchange
            Request that names the last event that the caller has.

        Returns
        -------
        StreamOrigin or None
            None if servers of only one version can have begun it.

        Raises
        ------
        Refusal
            If the origin is unknown and servers of several versions serve or served
            recently.
        """
        request_id, service = exch.facts.resumed_id, exch.service.name
        origin = self.get(request_id)
        is_current = True
        if origin is None:
            is_current = await self._confirm_servers(service)
            if not is_current or not self._is_single_version(service):
                origin = await self._search(request_id)
        if origin is not None:
            exch.record("resume", began_at=origin.service, version=origin.version)
            self.observe_begin(exch, origin)
            return origin
        versions = self.history.list_versions(service, now=self._clock())
        exch.record("resume", began_at=None, versions=sorted(versions))
        # A node that has just started, and can't read the store, does not know which
        # versions served before; one that is cut off does not know which do now.
        if len(versions) < 2 and is_current and self._knows_past():
            return None
        raise Refusal(
            503,
            "unknown_origin",
            "not run: the software version that began the stream is not known",
            Verdict.NOT_RUN,
            retry_after=UNKNOWN_ORIGIN_RETRY_AFTER,
        )

    async def _confirm_servers(self, service: str) -> bool:
        """Return whether this node knows the servers at which a stream may have begun.

        Servers of several versions need no confirmation: the origin is searched then.
        """
        if self.history.is_mixed(service, now=self._clock()):
            return True
        if self.peers.agrees_with_fleet():
            return True
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT):
                return await self.read_servers()
        except TimeoutError:
            return False

    def _is_single_version(self, service: str) -> bool:
        """Return whether this node is sure that there was only one version."""
        is_mixed = self.history.is_mixed(service, now=self._clock())
        return not is_mixed and self._knows_past()

    def _knows_past(self) -> bool:
        """Return whether this node knows all versions that served recently."""
        is_old = self._clock() - self._started_at > ORIGIN_LIFETIME
        return self._has_read_store or is_old

    async def _search(self, request_id: str) -> StreamOrigin | None:
        event = self._searches.setdefault(request_id, asyncio.Event())
        try:
            for all_nodes, timeout in ((False, KEEPER_TIMEOUT), (True, FLEET_TIMEOUT)):
                if not self.peers.ask_origin(request_id, all_nodes=all_nodes):
                    continue
                try:
                    async with asyncio.timeout(timeout):
                        await event.wait()
                except TimeoutError:
                    continue
                return self.get(request_id)
        finally:
            self._searches.pop(request_id, None)
        self._has_read_store |= await self.read_stored()
        return self.get(request_id)
