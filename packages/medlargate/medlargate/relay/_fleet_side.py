"""Synchronization with peers: cluster state, loads, demand and usage counts."""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any

import orjson
from returns.result import Failure

from .._tasks import call_logged, log_task_failure
from ..fleet import (
    ALIVE_TIME,
    STATUS_LIFETIME_ROUNDS,
    ClusterState,
    DomainStatus,
    DomainTable,
    KnownPeer,
    LoadUpdate,
    PeerCheckedClock,
    PeerMessenger,
    PeerStatus,
    PeerTable,
    RejectionNotice,
    StatusMessage,
    StreamNotes,
    StreamQuery,
    UsageCounts,
    decode_node,
    encode_node,
)
from ..platform import (
    MAX_REVISION,
    Change,
    Entry,
    PromptPart,
    Put,
    Store,
    StoreResult,
    parse_address,
    parse_count,
)
from ..policy import (
    ForwardPeer,
    StreamOrigin,
    agrees_with_fleet,
    choose_origin_keepers,
)
from ..routing import IngressLimits
from ..transport import (
    ConnectFaultError,
    ExchangeFaultError,
    Handler,
    IncomingRequest,
    IngressServer,
    Responder,
    open_connection,
)
from ._announcements import Announcement
from ._cold_servers import ColdServers
from ._crash_guard import CrashGuard
from ._load_tracker import LoadTracker
from ._server_limits import ServerLimits
from ._server_view import PEER_LIFETIME
from ._spillover import DomainReport
from ._stream_origins import MAX_NOTES, StreamOrigins

log = logging.getLogger(__name__)

NODES_PREFIX = "medlargate/nodes/"
# The watch of the store usually delivers the same change within this time.
PULL_DELAY = 0.15  # seconds
# The representative of a failure domain pulls from other domains unless the watch in
# its own domain delivers the change first. The other nodes of the domain get the change
# from the representative, or pull it themselves after a longer delay.
CROSS_DOMAIN_PULL_DELAY = 0.4  # seconds
FALLBACK_PULL_DELAY = 1.0  # seconds
PULL_TIMEOUT = 1.0  # seconds
MAX_TRANSIT_TIME = 0.1  # seconds; subtracted from the times in received messages
# Combines the changes of one response of the store into one broadcast.
CHANGE_BATCH_DELAY = 0.02  # seconds
RELAY_BATCH_DELAY = 0.05  # seconds between statuses to other domains at least
# All nodes tell of many crashes when a failure domain loses power.
MIN_CRASH_RELAY_INTERVAL = 0.3  # seconds
# Announcements of changed speeds at most double the statuses that are sent anyway.
MIN_ANNOUNCE_INTERVAL = 0.2  # seconds
REGISTRATION_RETRY_DELAY = 1.0  # seconds between attempts to write this node's entry
# After a restore of the store, all nodes write their entries again, spread over this
# time.
REGISTRATION_SPREAD = 5.0  # seconds
# Nodes of a failure domain that watch the store; the others get changes from them.
N_WATCHERS_PER_DOMAIN = 1
# Rounds of statuses for which the load of a peer is used, if they take longer than
# PEER_LIFETIME; the next status may be late or lost.
LOAD_LIFETIME_ROUNDS = 1.5
# Loads reported by another failure domain are used for at least this time.
MIN_DOMAIN_LOAD_LIFETIME = 1.5  # seconds
# Usage counts of a peer that has not been heard for this time are not waited for.
USAGE_PEER_TIMEOUT = 10.0  # seconds
# A rolling restart silences few nodes at a time, a partition of a failure domain more
# than this share.
MIN_PARTITION_SHARE = 0.2
PEER_HEADER_BYTES = 2048  # headers that a peer adds to a request that it forwards
# Rounds of statuses within which others state the registrations of a node in touch.
AGREEMENT_ROUNDS = 2.0
USAGE_WINDOWS_SENT = 2  # usage windows in a status message, the current one included


class FleetSync:
    """Synchronization of cluster state, loads and usage counts with peers.

    Parameters
    ----------
    name : str
        Name of this node.
    zone : str
        Failure domain of this node.
    host : str
        IP address that this node listens on.
    port : int
        UDP port for status messages and TCP port for pull requests.
    incarnation : str
        Identifier of this run of the process.
    cluster_state : ClusterState
        Configuration and registrations, exchanged with peers.
    loads : LoadTracker
        Source of this node's loads and target of the loads of peers.
    store : Store
        Store in which nodes register their addresses.
    clock : callable
        Returns the node's monotonic time in seconds.
    wall_clock : PeerCheckedClock
        Time of day, corrected by the times of peers.
    usage : UsageCounts
        Usage counts, exchanged with peers.
    crash_guard : CrashGuard
        Requests and prompt parts that crashed servers, exchanged with peers.
    limits : ServerLimits
        Limits stated by servers, exchanged with peers.
    origins : StreamOrigins
        Origins of streams, of which peers keep copies.
    cold : ColdServers
        Cold servers, exchanged with peers.
    make_server : callable
        Makes the server for other nodes, given its handler and its limits.
    reads_evacuations : bool
        Whether evacuations are read from the store and exchanged with peers.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        host: str,
        port: int,
        incarnation: str,
        cluster_state: ClusterState,
        loads: LoadTracker,
        store: Store,
        clock: Callable[[], float],
        wall_clock: PeerCheckedClock,
        usage: UsageCounts,
        crash_guard: CrashGuard,
        limits: ServerLimits,
        origins: StreamOrigins,
        cold: ColdServers,
        make_server: Callable[[Handler, Callable[[], IngressLimits]], IngressServer],
        reads_evacuations: bool,
    ) -> None:
        self.table = PeerTable(name, zone, clock)
        self.domains = DomainTable(self.table, clock)
        self.messenger = PeerMessenger(
            self.table,
            self._make_peer_status,
            self._receive_peer_status,
            self._receive_load_update,
            self._receive_domain_status,
            lambda notes: origins.merge(notes.origins),
            self._answer_stream_query,
            self._receive_rejection,
            lambda: self.is_holder(),
        )
        self.incarnation = incarnation
        self.is_holder: Callable[[], bool] = lambda: False
        self.get_demand: Callable[[], dict[str, float]] = dict
        self.get_sensitive_demand: Callable[[], dict[str, float]] = dict
        self.count_waiting: Callable[[], dict[str, int]] = dict
        self.get_surpluses: Callable[[], dict[str, float]] = dict
        self.store_up: Callable[[], bool] = lambda: True
        self.list_unreachable: Callable[[], list[str]] = list
        self.is_stopping: Callable[[], bool] = lambda: False
        self.count_active: Callable[[], int] = lambda: 0
        self.snapshot_consumers: Callable[
            [Iterable[str]], dict[str, dict[str, float]]
        ] = lambda peers: {}
        self.observe_consumers: Callable[
            [str, Mapping[str, Mapping[str, float]], float], None
        ] = lambda peer, consumers, lifetime: None
        self.get_limits: Callable[[], IngressLimits] = IngressLimits
        self.handle_forwarded: Callable[
            [IncomingRequest, Responder], Awaitable[bool]
        ] = _handle_nothing
        self._host = host
        self._port = port
        self._cluster_state = cluster_state
        self._loads = loads
        self._store = store
        self._clock = clock
        self._wall_clock = wall_clock
        self._usage = usage
        self._crash_guard = crash_guard
        self._limits = limits
        self._origins = origins
        self._cold = cold
        self._reads_evacuations = reads_evacuations
        self._started_at = clock()
        self._has_read_nodes = False
        self._pull_server = make_server(self._answer_peer, self._get_peer_limits)
        self._speeds_announced_at = float("-inf")
        self._change_broadcast = Announcement(
            self._broadcast_status, clock, batch_delay=CHANGE_BATCH_DELAY
        )
        self._crash_broadcast = Announcement(
            self._broadcast_status,
            clock,
            batch_delay=CHANGE_BATCH_DELAY,
            get_interval=self._get_announce_interval,
        )
        self._crash_relay = Announcement(
            self._send_domain_status,
            clock,
            batch_delay=RELAY_BATCH_DELAY,
            get_interval=lambda: MIN_CRASH_RELAY_INTERVAL,
        )
        self._pull_task: asyncio.Task[None] | None = None
        self._restored = asyncio.Event()

    async def start(self) -> None:
        """Listen for status messages and pull requests of peers."""
        await self.messenger.start(self._host, self._port)
        await self._pull_server.start(self._host, self._port)
        self._cluster_state.config_listeners.append(self.broadcast_state)
        self._cluster_state.server_listeners.append(self._schedule_broadcast)
        self._cluster_state.evacuation_listeners.append(
            lambda _: self.broadcast_state()
        )

    def observe_seeds(self, seeds: str) -> None:
        """Add the peer addresses from the settings.

        Parameters
        ----------
        seeds : str
            Comma-separated ``IP:PORT`` addresses; only the IP addresses are used.
        """
        for seed in filter(None, seeds.split(",")):
            host = seed.strip().rpartition(":")[0]
            if host != self._host:
                address = f"{host}:{self._port}"
                self.table.observe_address(address, "", address)

    async def run_registration(self) -> None:
        """Register this node in the store and read the other nodes, with retries.

        The node registers again after each restore of the store, until cancelled.
        """
        while True:
            write_result = await self._write_node()
            read_result = await self._store.read(NODES_PREFIX, prefix=True)
            if not isinstance(read_result, Failure):
                self._observe_nodes(read_result.unwrap().entries)
                self._has_read_nodes = True
            if not isinstance(write_result, Failure) and not isinstance(
                read_result, Failure
            ):
                break
            await asyncio.sleep(REGISTRATION_RETRY_DELAY)
        self.messenger.send_status_round()
        while True:
            await self._restored.wait()
            self._restored.clear()
            spread = self.table.random_state.uniform(0, REGISTRATION_SPREAD)
            await asyncio.sleep(spread)
            while isinstance(await self._write_node(), Failure):
                await asyncio.sleep(REGISTRATION_RETRY_DELAY)

    async def _write_node(self) -> StoreResult:
        address = f"{self._host}:{self._port}"
        value = encode_node(self.table.zone, address, self.incarnation)
        return await self._store.write([], [Put(NODES_PREFIX + self.table.name, value)])

    def observe_restore(self) -> None:
        """Register this node again, since a restored store may have lost its entry."""
        self._restored.set()

    def _observe_nodes(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            row = decode_node(entry.value)
            if row is not None:
                name = entry.key.removeprefix(NODES_PREFIX)
                self.table.observe_address(name, row["zone"], row["address"])

    def list_node_names(self) -> list[str]:
        """Return the names of all other known nodes, silent ones included.

        Nodes that have announced their stop before they fell silent are left out.
        """
        return [
            it.name
            for it in self.table.peers.values()
            # A seed has its address as its name until its first status.
            if it.name != it.address
            and not (it.status and it.status.stopping and not self.table.is_alive(it))
        ]

    def knows_nodes(self) -> bool:
        """Return whether this node knows the other nodes and what they know.

        After a start it has heard another node, found none in the store, or waited as
        long as a live one would be silent at most.
        """
        if self._clock() - self._started_at > ALIVE_TIME:
            return True
        if not self._has_read_nodes:
            return False
        peers = self.table.peers.values()
        return not peers or any(it.status is not None for it in peers)

    def has_heard_all(self, since: float) -> bool:
        """Return whether all live peers have sent a status since a time of day.

        Parameters
        ----------
        since : float
            Time of day in seconds.

        Returns
        -------
        bool
            False if a peer heard within ``USAGE_PEER_TIMEOUT`` has an older status.
        """
        return not any(self._list_silent(since))

    def is_partitioned(self, since: float) -> bool:
        """Return whether more nodes are silent than planned restarts explain.

        Parameters
        ----------
        since : float
            Time of day in seconds.

        Returns
        -------
        bool
            True if more than ``MIN_PARTITION_SHARE`` of the nodes heard within
            ``USAGE_PEER_TIMEOUT`` have sent no status since then.
        """
        silent = self._list_silent(since)
        return sum(silent) > MIN_PARTITION_SHARE * len(silent)

    def _list_silent(self, since: float) -> list[bool]:
        """Return for each peer heard lately whether its last status is older."""
        return [
            peer.status is not None and peer.status.time < since
            for peer in self.table.peers.values()
            if self._clock() - peer.heard_at < USAGE_PEER_TIMEOUT
        ]

    def is_watcher(self) -> bool:
        """Return whether this node watches the store for its failure domain."""
        return self.table.rank_in_domain() < N_WATCHERS_PER_DOMAIN

    # Outgoing messages

    def _make_common_fields(self) -> dict[str, Any]:
        """Return the fields of a ``StatusMessage`` except loads and demand."""
        state = self._cluster_state
        freshness = state.freshness()
        now = self._clock()
        if self.is_holder():
            self._loads.decide_slow_engines(self._wall_clock.now())
        slow_engines = self._loads.slow_engines
        return {
            "name": self.table.name,
            "zone": self.table.zone,
            "address": f"{self._host}:{self._port}",
            "time": round(self._wall_clock.now(), 3),
            "config_revision": freshness.config_revision,
            "servers_revision": freshness.servers_revision,
            "servers_digest": state.digest(),
            "config_age": round(min(1e6, now - freshness.config_confirmed_at), 3),
            "servers_age": round(min(1e6, now - freshness.servers_confirmed_at), 3),
            "store_age": round(min(1e6, now - state.store_outage.answered_at), 3),
            **self._crash_guard.make_status_fields(),
            "versions": self._origins.snapshot_versions(),
            "limits": self._limits.snapshot(),
            "capacities": self._loads.list_capacities(),
            "memory_facts": self._loads.memory.list_facts(),
            "slow_engines": (slow_engines.decided_at, sorted(slow_engines.names)),
            **self._make_evacuation_fields(),
            "cold": self._cold.snapshot(),
            "traffic_age": self._cold.get_traffic_age(),
        }

    def _make_evacuation_fields(self) -> dict[str, Any]:
        evacuations = self._cluster_state.evacuations
        if not self._reads_evacuations or not evacuations.revision:
            return {}
        return {
            "evacuations_revision": evacuations.revision,
            "evacuated": sorted(evacuations.domains),
        }

    def _make_peer_status(self, zone: str, to_holder: bool) -> PeerStatus:
        same_domain = zone == self.table.zone
        holder = self.is_holder()
        usage: dict[int, dict[str, int]] = {}
        # Without a lease holder all peers keep this node's counts for the next holder:
        # this node may have stopped by then, without access to the store.
        if to_holder or (not holder and self.table.find_holder() is None):
            window = self._usage.window_at(self._wall_clock.now())
            since = window - USAGE_WINDOWS_SENT + 1
            usage = self._usage.snapshot(self.incarnation, since=since)
        return PeerStatus(
            **self._make_common_fields(),
            incarnation=self.incarnation,
            unreachable=self.list_unreachable(),
            stopping=self.is_stopping(),
            active=self.count_active(),
            loads=self._loads.list_own_loads() if same_domain else {},
            speeds=self._loads.list_speeds() if same_domain else {},
            held=self._loads.memory.list_rows() if same_domain else {},
            consumers=self.snapshot_consumers([]) if same_domain else {},
            demand=self.get_demand() if same_domain else {},
            tight_demand=self.get_sensitive_demand() if same_domain else {},
            waiting=_drop_zeros(self.count_waiting()) if same_domain else None,
            usage=usage,
            hears=self.table.list_recently_heard(zone) if holder else [],
            holder=holder,
        )

    def _make_domain_status(self) -> DomainStatus:
        statuses = self._list_domain_statuses()
        return DomainStatus(
            **self._make_common_fields(),
            consumers=self.snapshot_consumers(status.name for status in statuses),
            loads=self._loads.sum_loads(status.name for status in statuses),
            held=self._loads.memory.sum_rows(status.name for status in statuses),
            demand=_sum_by_name([self.get_demand(), *(it.demand for it in statuses)]),
            tight_demand=_sum_by_name(
                [self.get_sensitive_demand(), *(it.tight_demand for it in statuses)]
            ),
            waiting=_drop_zeros(self.count_domain_waiting()),
            surplus=_drop_zeros(self.get_surpluses()),
            n_nodes=self.table.count_domain_nodes(),
            interval=self.domains.decide_interval(),
            parts=self.domains.recent_parts(),
        )

    def count_domain_waiting(self) -> dict[str, int]:
        """Return the requests that wait at the nodes of this domain, by service."""
        sums = dict(self.count_waiting())
        for status in self._list_domain_statuses():
            for service, n_waiting in (status.waiting or {}).items():
                sums[service] = sums.get(service, 0) + n_waiting
        return sums

    async def run_domains(self) -> None:
        """Send the failure domain's status while representing it, until cancelled."""
        while True:
            self._send_domain_status()
            jitter = self.table.random_state.uniform(0.8, 1.2)
            await asyncio.sleep(self.domains.decide_interval() * jitter)

    def _send_domain_status(self) -> None:
        if self.domains.is_domain_representative():
            targets = self.domains.decide_targets()
            self.messenger.send(self._make_domain_status(), targets)

    def broadcast_state(self) -> None:
        """Send a status message to all peers of the failure domain.

        The representative of the failure domain also sends its status to the other
        failure domains.
        """
        self.messenger.send_status(same_domain=True, all_peers=True)
        self._send_domain_status()

    def announce_long_prompt(
        self, server_id: str, parts: tuple[PromptPart, ...]
    ) -> None:
        """Announce to peers that an engine got a long prompt.

        Parameters
        ----------
        server_id : str
            Engine that got the prompt.
        parts : tuple of PromptPart
            Parts of the prompt.
        """
        n_running, prefill_time = self._loads.get_own_load(server_id)
        rows = [(part.part_id, part.n_tokens) for part in parts]
        self.domains.observe_parts(server_id, rows)
        load_update = LoadUpdate(
            sender=self.table.name,
            server=server_id,
            n_running=n_running,
            reading=prefill_time,
            parts=rows,
        )
        self.messenger.broadcast_to_domain(load_update)

    def announce_load(self, server_id: str) -> None:
        """Tell all nodes at once what this node's requests hold at a server.

        Parameters
        ----------
        server_id : str
            Server on which a request has started or ended.
        """
        n_running, prefill_time = self._loads.get_own_load(server_id)
        load_update = LoadUpdate(
            sender=self.table.name,
            server=server_id,
            n_running=n_running,
            reading=prefill_time,
            zone=self.table.zone,
            held=self._loads.memory.get_row(server_id) or (0, 0, 0, 0),
        )
        addresses = [peer.address for peer in self.table.list_alive()]
        self.messenger.send(load_update, addresses)

    def broadcast_soon(self) -> None:
        """Send one status to all peers of the domain for a burst of changes."""
        self._change_broadcast.request()

    def _get_announce_interval(self) -> float:
        return max(MIN_ANNOUNCE_INTERVAL, self.table.compute_intra_domain_round())

    def announce_crash(self) -> None:
        """Tell all nodes soon that this one has noticed a crash."""
        self._crash_broadcast.request()
        self.relay_crash()

    def relay_crash(self) -> None:
        """Tell the other failure domains soon of a crash that any node has noticed.

        Only the representative of the failure domain does.
        """
        if self.domains.is_domain_representative():
            self._crash_relay.request()

    def announce_speeds(self) -> None:
        """Send a status to all peers of the domain, at most once in a round of them."""
        now = self._clock()
        if now - self._speeds_announced_at >= self._get_announce_interval():
            self._speeds_announced_at = now
            self.broadcast_soon()

    def _schedule_broadcast(self, server_id: str) -> None:
        """Schedule one status broadcast for a burst of changed registrations.

        Only nodes that learn of changes first broadcast them: those that watch the
        store and those that represent the failure domain. Broadcasts by every node
        would be the majority of all datagrams in a large domain.
        """
        del server_id
        if self.is_watcher() or self.domains.is_domain_representative():
            self.broadcast_soon()

    def _broadcast_status(self) -> None:
        self.messenger.send_status(same_domain=True, all_peers=True)

    def list_forward_peers(self, service: str) -> list[ForwardPeer]:
        """Return the live nodes to which requests for a service may be forwarded.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of ForwardPeer
            Nodes that are not about to stop.
        """
        return [
            ForwardPeer(
                peer.name,
                peer.zone,
                peer.address,
                reaches_service=service not in peer.status.unreachable,
                n_requests=peer.status.active,
            )
            for peer in self.table.list_alive()
            if peer.status is not None and not peer.status.stopping
        ]

    def list_domain_reports(self, service: str) -> list[DomainReport]:
        """Return what other failure domains last reported of a service."""
        return [
            DomainReport(
                status.zone,
                age,
                status.interval,
                (status.waiting or {}).get(service, 0),
                None if status.surplus is None else status.surplus.get(service, 0.0),
            )
            for status, age in self.domains.list_reports()
        ]

    # Brittle servers

    def observe_rejection(self, server_id: str, max_rejections: float) -> None:
        """Let all nodes pause after a server has rejected a request of this node.

        Parameters
        ----------
        server_id : str
            Server that rejected a request.
        max_rejections : float
            Rejections a second that the server bears.
        """
        n_slots = self._loads.learn_capacity(server_id)
        notice = RejectionNotice(
            rejecting={server_id: max_rejections}, capacities={server_id: (n_slots, 0)}
        )
        self._receive_rejection(notice)
        peers = self.table.list_alive()
        self.messenger.send(notice, [peer.address for peer in peers])

    def _receive_rejection(self, notice: RejectionNotice) -> None:
        self._loads.merge_capacities(notice.capacities)
        for server_id, max_rejections in notice.rejecting.items():
            server = self._cluster_state.servers.get(server_id)
            if server is not None:
                self._loads.observe_answer(server_id, server.service, max_rejections)
                self._loads.observe_rejection(
                    server_id,
                    max_rejections,
                    random_state=self.table.random_state,
                )

    # Origins of streams

    def _choose_keepers(self, request_id: str) -> list[KnownPeer]:
        # A node that has just started has not heard its peers yet.
        alive = self.table.list_alive() or self.table.peers.values()
        peers = {peer.name: peer for peer in alive}
        zone = self.table.zone
        near = [name for name, peer in peers.items() if peer.zone == zone]
        representative = max(near, default="")
        chosen = choose_origin_keepers(
            request_id,
            own_domain=near,
            other_domains=[name for name in peers if name not in near],
            representative=representative if representative > self.table.name else None,
        )
        return [peers[name] for name in chosen]

    def send_origins(self, origins: Mapping[str, StreamOrigin]) -> None:
        """Send origins of streams to the nodes that keep copies of them.

        Parameters
        ----------
        origins : mapping of str to StreamOrigin
            Origins by the identity of the caller's attempt.
        """
        rows_by_address: dict[str, dict[str, tuple[str, str]]] = {}
        for request_id, origin in origins.items():
            for peer in self._choose_keepers(request_id):
                rows = rows_by_address.setdefault(peer.address, {})
                rows[request_id] = (origin.service, origin.version)
        for address, rows in rows_by_address.items():
            items = list(rows.items())
            for start in range(0, len(items), MAX_NOTES):
                notes = StreamNotes(origins=dict(items[start : start + MAX_NOTES]))
                self.messenger.send(notes, [address])

    def ask_origin(self, request_id: str, *, all_nodes: bool) -> int:
        """Ask peers for the origin of a stream.

        Parameters
        ----------
        request_id : str
            Identity of the caller's attempt that began the stream.
        all_nodes : bool
            Whether to ask all nodes, those that were not heard lately included,
            instead of those that keep a copy by the hash of the identity.

        Returns
        -------
        int
            Number of nodes that were asked.
        """
        peers = (
            list(self.table.peers.values())
            if all_nodes
            else self._choose_keepers(request_id)
        )
        query = StreamQuery(wanted=[request_id], reply_to=f"{self._host}:{self._port}")
        self.messenger.send(query, [peer.address for peer in peers])
        return len(peers)

    def agrees_with_fleet(self) -> bool:
        """Return whether most nodes have lately stated this node's registrations.

        Statuses that waited while this node stood still are told by their time.
        """
        now, time_of_day = self._clock(), self._wall_clock.now()
        digest = self._cluster_state.digest()

        def agrees(status: StatusMessage | None, age: float, max_age: float) -> bool:
            return (
                status is not None
                and max(age, time_of_day - status.time) < max_age
                and status.servers_digest == digest
            )

        max_age = AGREEMENT_ROUNDS * self.table.compute_intra_domain_round()
        own_domain = [
            agrees(peer.status, now - peer.heard_at, max_age)
            for peer in self.table.peers.values()
            if peer.zone == self.table.zone and now - peer.heard_at < USAGE_PEER_TIMEOUT
        ]
        other_domains = [
            agrees(status, age, AGREEMENT_ROUNDS * status.interval)
            for status, age in self.domains.list_reports()
        ]
        return agrees_with_fleet(own_domain, other_domains)

    def _answer_stream_query(self, query: StreamQuery) -> None:
        rows = {}
        for request_id in query.wanted[:MAX_NOTES]:
            origin = self._origins.get(request_id)
            if origin is not None:
                rows[request_id] = (origin.service, origin.version)
        if rows:
            self.messenger.send(StreamNotes(origins=rows), [query.reply_to])

    # Incoming messages

    def _receive_peer_status(self, status: PeerStatus) -> None:
        correction = self._wall_clock.correct_from_peer(status.name, status.time)
        if correction:
            log.warning(
                "time of day corrected", extra={"seconds": round(correction, 3)}
            )
        call_logged(self._usage.merge, status.incarnation, status.usage)
        self._merge_common(status)
        if status.zone == self.table.zone:
            lifetime = max(
                PEER_LIFETIME,
                LOAD_LIFETIME_ROUNDS * self.table.compute_intra_domain_round(),
            )
            call_logged(self._loads.observe_peer_speeds, status.speeds)
            call_logged(self._merge_loads, status.name, status, lifetime)
        self._compare_state(status)

    def _merge_common(self, status: StatusMessage) -> None:
        """Merge what all statuses report; a part that fails leaves the others."""
        now = self._wall_clock.now()
        answered_at = self._clock() - status.store_age - MAX_TRANSIT_TIME
        call_logged(self._cluster_state.observe_store_answer, answered_at)
        call_logged(self._crash_guard.merge_status, status)
        call_logged(self._limits.merge, status.limits)
        call_logged(self._cold.merge, status.cold, status.traffic_age)
        call_logged(self._loads.merge_slow_engines, *status.slow_engines, now)
        call_logged(self._origins.merge_versions, status.versions)
        call_logged(self._merge_capacity, status)

    def _merge_loads(
        self,
        sender: str,
        status: StatusMessage,
        lifetime: float,
        zone: str | None = None,
    ) -> None:
        self._loads.observe_peer_loads(sender, status.loads, lifetime=lifetime)
        self._loads.memory.observe_peer(
            sender, status.loads, status.held, lifetime=lifetime, zone=zone
        )
        self.observe_consumers(sender, status.consumers, lifetime)

    def _receive_domain_status(self, status: DomainStatus) -> None:
        if not self.domains.observe_status(status):
            return
        if not status.relayed:
            self.messenger.broadcast_to_domain(
                status.model_copy(update={"relayed": True})
            )
        self._merge_common(status)
        lifetime = max(
            MIN_DOMAIN_LOAD_LIFETIME, STATUS_LIFETIME_ROUNDS * status.interval
        )
        call_logged(self._merge_loads, status.zone, status, lifetime, status.zone)
        for server_id, rows in status.parts:
            parts = [PromptPart(*row) for row in rows]
            call_logged(self._loads.observe_parts, server_id, parts)
        self._compare_state(status)

    def _merge_capacity(self, status: StatusMessage) -> None:
        self._loads.merge_capacities(status.capacities)
        self._loads.memory.merge_facts(status.memory_facts)

    def count_nodes(self) -> int:
        """Return the number of nodes of the fleet, recently lost ones included."""
        return self.table.count_domain_nodes() + self.domains.count_remote_nodes()

    def sum_demand(self, service: str) -> float:
        """Return the work of a service that arrives at the whole fleet.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Work of all requests, in engine-seconds per second.
        """
        statuses = [*self._list_domain_statuses(), *self.domains.list_statuses()]
        reported = sum(status.demand.get(service, 0.0) for status in statuses)
        return self.get_demand().get(service, 0.0) + reported

    def sum_sensitive_demand(self, service: str) -> float:
        """Return the work of prefill-sensitive streams that arrives at the fleet.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Work of prefill-sensitive streams, in engine-seconds per second.
        """
        statuses = [*self._list_domain_statuses(), *self.domains.list_statuses()]
        reported = sum(status.tight_demand.get(service, 0.0) for status in statuses)
        return self.get_sensitive_demand().get(service, 0.0) + reported

    def _list_domain_statuses(self) -> list[PeerStatus]:
        peers = self.table.list_alive(zone=self.table.zone)
        return [peer.status for peer in peers if peer.status is not None]

    def _receive_load_update(self, load_update: LoadUpdate) -> None:
        zone = load_update.zone
        is_remote = zone not in ("", self.table.zone)
        if load_update.held is not None:
            self._loads.memory.observe_update(
                load_update.sender,
                zone if is_remote else None,
                load_update.server,
                load_update.n_running,
                load_update.held,
            )
        if is_remote:
            # The status of its domain has the load, in a sum.
            return
        if load_update.parts:
            self.domains.observe_parts(load_update.server, load_update.parts)
        parts = [PromptPart(*row) for row in load_update.parts]
        self._loads.observe_load_update(
            load_update.sender,
            load_update.server,
            load_update.n_running,
            load_update.reading,
            parts,
        )

    def _compare_state(self, status: StatusMessage) -> None:
        state, now = self._cluster_state, self._clock()
        freshness = state.freshness()
        config_at = now - status.config_age - MAX_TRANSIT_TIME
        servers_at = now - status.servers_age - MAX_TRANSIT_TIME
        confirms_config = self._merge_evacuations(status)
        if confirms_config and status.config_revision == freshness.config_revision:
            state.config_confirmed_at = max(state.config_confirmed_at, config_at)
        same_servers = status.servers_digest == state.digest()
        if same_servers:
            state.observe_confirmation(status.servers_revision, servers_at)
        behind = status.config_revision > freshness.config_revision or (
            status.servers_revision > freshness.servers_revision and not same_servers
        )
        if behind and (self._pull_task is None or self._pull_task.done()):
            self._pull_task = asyncio.create_task(self._pull(status))
            self._pull_task.add_done_callback(log_task_failure)

    def _merge_evacuations(self, status: StatusMessage) -> bool:
        """Take over evacuations; return whether a peer can confirm this node's reads.

        A peer that does not read evacuations confirms the configuration only. A node
        that took that for a confirmation of both would skip the read by which it
        learns of an evacuation.
        """
        if not self._reads_evacuations:
            return True
        if status.evacuations_revision is None:
            return False
        self._cluster_state.observe_evacuations(
            status.evacuated, status.evacuations_revision
        )
        return True

    def _decide_pull_delay(self, zone: str) -> float:
        if zone == self.table.zone or not self.table.list_alive(zone=self.table.zone):
            return PULL_DELAY
        return (
            CROSS_DOMAIN_PULL_DELAY
            if self.domains.is_domain_representative()
            else FALLBACK_PULL_DELAY
        )

    async def _pull(self, status: StatusMessage) -> None:
        """Pull a peer's newer cluster state unless the store delivers it first."""
        await asyncio.sleep(self._decide_pull_delay(status.zone))
        freshness = self._cluster_state.freshness()
        if (
            status.config_revision <= freshness.config_revision
            and status.servers_revision <= freshness.servers_revision
        ):
            return
        if status.zone != self.table.zone and self.store_up() and self.is_watcher():
            # Traffic between failure domains is priced, and this node's own watch of
            # the store delivers the change anyway.
            return
        address = parse_address(status.address)
        if address is None:
            return
        target = (
            f"/beliefs?config={freshness.config_revision}"
            f"&servers={freshness.servers_revision}"
        )
        try:
            async with asyncio.timeout(PULL_TIMEOUT):
                conn = await open_connection(*address, timeout=PULL_TIMEOUT)
                try:
                    conn.send("GET", target, [(b"Host", address[0].encode())], b"")
                    await conn.read_head()
                    body = b"".join([data async for data in conn.read_body()])
                finally:
                    conn.abort()
        except (ConnectFaultError, ExchangeFaultError, TimeoutError) as exc:
            log.info("pull failed", extra={"peer": status.name, "fault": str(exc)})
            return
        response = orjson.loads(body)
        if self._reads_evacuations and status.evacuations_revision is None:
            response["config_age"] = float("inf")
        self._apply_pull_response(status.name, response)

    def _apply_pull_response(self, peer: str, response: dict[str, Any]) -> None:
        now = self._clock() - MAX_TRANSIT_TIME
        if response["config"] is not None:
            entry = _decode_entry(response["config"])
            self._cluster_state.observe_config(
                entry, confirmed_at=now - response["config_age"]
            )
        servers = response["servers"]
        if servers is None:
            return
        confirmed_at = now - response["servers_age"]
        entries = [_decode_entry(row) for row in servers["entries"]]
        if servers["full"]:
            self._cluster_state.observe_servers(
                entries, servers["revision"], confirmed_at=confirmed_at
            )
        else:
            changes = [Change(it.key, it.mod_revision, it) for it in entries]
            changes += [Change(key, rev, None) for key, rev in servers["gone"]]
            changes.sort(key=lambda it: it.revision)
            self._cluster_state.observe_changes(
                changes, servers["revision"], confirmed_at=confirmed_at
            )
        log.info(
            "beliefs relayed",
            extra={"peer": peer, "servers_revision": servers["revision"]},
        )

    def _get_peer_limits(self) -> IngressLimits:
        limits = self.get_limits()
        return replace(
            limits, max_header_bytes=limits.max_header_bytes + PEER_HEADER_BYTES
        )

    async def _answer_peer(self, req: IncomingRequest, responder: Responder) -> None:
        """Answer a pull request, or a caller's request that a peer forwards."""
        if not await self.handle_forwarded(req, responder):
            await self._answer_pull(req, responder)

    async def _answer_pull(self, req: IncomingRequest, responder: Responder) -> None:
        query = dict(
            item.partition("=")[::2] for item in req.target.partition("?")[2].split("&")
        )
        config_revision = parse_count(query.get("config", "0"), largest=MAX_REVISION)
        servers_revision = parse_count(query.get("servers"), largest=MAX_REVISION)
        if config_revision is None or servers_revision is None:
            await responder.send(400, [], b"")
            return
        response = self._make_pull_response(config_revision, servers_revision)
        await responder.send(200, [], orjson.dumps(response))

    def _make_pull_response(
        self, config_revision: int, servers_revision: int
    ) -> dict[str, Any]:
        state, now = self._cluster_state, self._clock()
        freshness = state.freshness()
        newer_entry = (
            state.config_entry if freshness.config_revision > config_revision else None
        )
        servers: dict[str, Any] | None = None
        if freshness.servers_revision > servers_revision:
            changes = state.changes_since(servers_revision)
            is_full = changes is None
            rows = (
                list(state.entries())
                if changes is None
                else [it.entry for it in changes if it.entry is not None]
            )
            gone = [(it.key, it.revision) for it in changes or () if it.entry is None]
            servers = {
                "full": is_full,
                "revision": freshness.servers_revision,
                "entries": [_encode_entry(entry) for entry in rows],
                "gone": gone,
            }
        return {
            "config": _encode_entry(newer_entry) if newer_entry else None,
            "config_age": min(1e6, now - freshness.config_confirmed_at),
            "servers": servers,
            "servers_age": min(1e6, now - freshness.servers_confirmed_at),
        }

    async def close(self) -> None:
        """Stop listening to peers."""
        self.messenger.close()
        await self._pull_server.close()


async def _handle_nothing(req: IncomingRequest, responder: Responder) -> bool:
    del req, responder
    return False


def _encode_entry(entry: Entry) -> list[Any]:
    return [entry.key, base64.b64encode(entry.value).decode(), entry.mod_revision]


def _decode_entry(row: list[Any]) -> Entry:
    return Entry(row[0], base64.b64decode(row[1]), int(row[2]), 0)


def _drop_zeros(row: Mapping[str, Any]) -> dict[str, Any]:
    return {name: number for name, number in row.items() if number}


def _sum_by_name(rows: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return the sums of the values by name."""
    sums: dict[str, float] = {}
    for row in rows:
        for name, number in row.items():
            sums[name] = round(sums.get(name, 0.0) + number, 4)
    return sums
