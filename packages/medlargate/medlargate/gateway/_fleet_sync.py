"""Messages between nodes, the list of VMs, and slot shares.

Nodes send each other heartbeats, configuration pulls, suspects and usage copies. Slot
shares are not exchanged: every node computes its own from its demand and the peers'
heartbeats.
"""

from __future__ import annotations

import asyncio
import logging
import time
import zlib
from collections import defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson
from pydantic import BaseModel, ValidationError
from returns.result import Failure

from ..fleet import (
    FleetAgent,
    Heartbeat,
    Membership,
    NodeStatus,
    Operation,
    OutgoingHeartbeat,
    Peer,
    PullResponse,
    Record,
    UsagePart,
)
from ..platform import Vm
from ..policy import decide_quotas, decide_share, rank_by_hash
from ._heartbeat_socket import HeartbeatSocket
from ._work_counter import WorkCounter

if TYPE_CHECKING:
    from ._node import Node

log = logging.getLogger(__name__)

FLEET_HEADER = "Medlargate-Fleet"
SLOT_SHARE_INTERVAL = 0.5  # seconds
VM_LIST_INTERVAL = 3.0  # seconds
USAGE_COPY_INTERVAL = 0.5  # seconds
SUSPECTS_TIMEOUT = 0.3  # seconds
PEER_TIMEOUT = 2.0  # seconds


class PullResponseBody(BaseModel):
    """JSON body of the configuration sent to a node with an older revision."""

    records: list[Record] = []
    snapshot: list[Operation] = []
    snapshot_revision: int = 0


class MarksBody(BaseModel):
    """JSON body that reports requests suspected of crashing a backend server."""

    backend: str
    fingerprints: list[str]


class CopiesBody(BaseModel):
    """Compressed JSON body with copies of usage counters and what is in the store.

    Attributes
    ----------
    parts : list of UsagePart
        Counters of the sender, one part per window; whole windows or deltas.
    flushed : list of (int, str, int)
        Window, name of a node with its incarnation, and sequence number up to which
        that node's part of the window is in the store.
    """

    parts: list[UsagePart] = []
    flushed: list[tuple[int, str, int]] = []


class CopiesResponse(BaseModel):
    """JSON body that lists the windows of deltas whose base the receiver lacks."""

    missing: list[int] = []


class FleetSync:
    """Exchanges state with the other nodes of the fleet.

    Parameters
    ----------
    node : Node
        This node, with its connections open.
    """

    def __init__(self, node: Node) -> None:
        settings = node.settings
        self._node = node
        self.work_counter = WorkCounter()
        self.membership = Membership(
            node.name,
            settings.node.failure_domain,
            node.incarnation,
            suspect_timeout=settings.fleet.suspect_timeout,
            make_load=self._make_load_report,
        )
        self.agent = FleetAgent(
            node.replica,
            self.membership,
            node.store,
            self._send,
            self._pull,
            node.clock,
            heartbeat_interval=settings.fleet.heartbeat_interval,
            trust_timeout=settings.fleet.trust_timeout,
        )
        self.heartbeat_socket = HeartbeatSocket(
            node.fleet_secret, self._handle_heartbeat
        )
        self._headers = {FLEET_HEADER: node.fleet_secret}
        self._incarnations: dict[str, str] = {}

    async def start(self) -> None:
        """Open the UDP socket for heartbeats."""
        settings = self._node.settings.node
        port = settings.fleet_port or settings.port
        loop = asyncio.get_running_loop()
        address = (str(settings.address), port)
        await loop.create_datagram_endpoint(
            lambda: self.heartbeat_socket, local_addr=address
        )

    def close(self) -> None:
        """Close the UDP socket for heartbeats."""
        self.heartbeat_socket.close()

    # Heartbeats

    def _send(self, outgoing: OutgoingHeartbeat) -> None:
        peer = self.membership.peers.get(outgoing.peer)
        if peer is not None:
            self.heartbeat_socket.send(peer.address, outgoing.heartbeat)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        status = heartbeat.facts
        self._apply_remote_work(status)
        self.agent.observe(heartbeat)
        old = self._incarnations.get(status.node)
        self._incarnations[status.node] = status.incarnation
        if old is not None and old != status.incarnation:
            self._node.events.record(
                "node_replaced", status.node, "its heartbeats carry a new incarnation"
            )

    def _apply_remote_work(self, status: NodeStatus) -> None:
        for pool, cls, customer, work in self.work_counter.apply_remote_totals(
            status.incarnation, status.work
        ):
            scheduler = self._node.dispatcher.pools.get(pool)
            if scheduler is not None:
                scheduler.observe_remote_work(cls, customer, work)

    def _make_load_report(self) -> dict[str, Any]:
        now = time.monotonic()
        pools = self._node.dispatcher.pools
        demand = {
            name: {t: round(v, 2) for t, v in scheduler.snapshot_demand(now).items()}
            for name, scheduler in pools.items()
        }
        waiting = {name: s.snapshot_waiting() for name, s in pools.items()}
        return {
            "demand": {name: row for name, row in demand.items() if row},
            "waiting": {name: row for name, row in waiting.items() if row},
            "work": self.work_counter.snapshot(),
        }

    # VM list

    async def run_vm_list(self) -> None:
        """Poll the platform's list of VMs until cancelled."""
        while True:
            result = await self._node.platform.read_vms()
            if not isinstance(result, Failure):
                self.apply_vm_list(result.unwrap())
            await asyncio.sleep(VM_LIST_INTERVAL)

    def apply_vm_list(self, vms: Iterable[Vm]) -> None:
        """Update peers and leaving backend servers from the list of VMs.

        Parameters
        ----------
        vms : iterable of Vm
            VMs of nodes and of backend servers, as the platform lists them.
        """
        peers = []
        for vm in vms:
            if vm.role == "backend":
                if vm.state == "leaving":
                    self._node.mark_backend_leaving(
                        vm.name, "marked as leaving in the VM list"
                    )
                continue
            address = (vm.address, vm.fleet_port or vm.port)
            peers.append(Peer(vm.name, vm.failure_domain, address, vm.port))
        self.membership.observe_peers(peers, self._node.clock())

    # Slot shares

    async def run_slot_shares(self) -> None:
        """Apply the peers' demand periodically until cancelled."""
        while True:
            self.update_slot_shares()
            await asyncio.sleep(SLOT_SHARE_INTERVAL)

    def get_alive_statuses(self) -> dict[str, NodeStatus]:
        """Return the latest status of each peer in the mesh that counts as alive.

        Returns
        -------
        dict of str to NodeStatus
            Latest status by node name.
        """
        members = self.membership.members
        statuses = {}
        for name in self.membership.alive_mesh(self._node.clock()):
            member = members.get(name)
            if member is not None and member.facts is not None:
                statuses[name] = member.facts
        return statuses

    def update_slot_shares(self) -> None:
        """Apply the peers' demand to the pools of this node.

        Sets the number of requests that wait on other nodes for each pool, and this
        node's share of each backend server's slots.
        """
        now = time.monotonic()
        statuses = self.get_alive_statuses()
        name = self._node.name
        for pool, scheduler in self._node.dispatcher.pools.items():
            demands = {n: s.demand.get(pool, {}) for n, s in statuses.items()}
            demands[name] = scheduler.snapshot_demand(now)
            scheduler.observe_remote_waiting(_sum_waiting(statuses, pool))
            quotas = decide_quotas(scheduler.count_slots(now), demands)
            for view in scheduler.views.values():
                limit = view.limit.get_limit()
                alone = len(quotas) == 1
                view.share = (
                    None if alone else decide_share(view.name, limit, quotas, name)
                )

    # Requests to peers

    def peer_url(self, name: str) -> str:
        """Return a peer's base URL.

        Parameters
        ----------
        name : str
            Name of the peer.

        Returns
        -------
        str
            HTTP base URL.
        """
        peer = self.membership.peers[name]
        return f"http://{peer.address[0]}:{peer.http_port}"

    async def call_peer(
        self,
        name: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout: float = PEER_TIMEOUT,
    ) -> bytes | None:
        """Send an HTTP request to a peer.

        Parameters
        ----------
        name : str
            Name of the peer.
        method, path : str
            HTTP method, and path with query.
        body : bytes or None
            Request body.
        timeout : float
            Seconds for the whole exchange.

        Returns
        -------
        bytes or None
            Response body; None for an unknown peer, a failed connection, a timeout
            or a status other than 200.
        """
        try:
            async with self._node.platform_session.request(
                method,
                self.peer_url(name) + path,
                data=body,
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as resp:
                raw = await resp.read()
                return raw if resp.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, KeyError):
            return None

    async def _pull(self, name: str, after: int) -> PullResponse | None:
        raw = await self.call_peer(name, "GET", f"/fleet/config?after={after}")
        if raw is None:
            return None
        try:
            body = PullResponseBody.model_validate_json(raw)
        except ValidationError:
            log.warning("malformed configuration", extra={"peer": name})
            return None
        return PullResponse(
            tuple(body.records), tuple(body.snapshot), body.snapshot_revision
        )

    async def broadcast_suspects(self, backend: str, fingerprints: list[str]) -> None:
        """Report suspects to the nodes of the mesh before the requests are retried.

        Waits for the responses, at most ``SUSPECTS_TIMEOUT`` for each peer; a node
        that does not respond in time may run a suspect like any other request.

        Parameters
        ----------
        backend : str
            Name of the backend server that crashed.
        fingerprints : list of str
            Fingerprints of the requests to which the crash is attributed.
        """
        if not fingerprints:
            return
        body = orjson.dumps({"backend": backend, "fingerprints": fingerprints})
        names = self.membership.alive_mesh(self._node.clock())
        calls = [
            self.call_peer(
                name, "POST", "/fleet/marks", body=body, timeout=SUSPECTS_TIMEOUT
            )
            for name in names
        ]
        await asyncio.gather(*calls)

    # Usage copies

    async def run_usage_copies(self) -> None:
        """Keep a copy of unflushed usage counters on a second node, until cancelled.

        The copy survives the loss of this VM; the node that holds the copy flushes
        the counters to the store when this node no longer counts as alive.
        """
        sent: dict[tuple[str, int], int] = {}
        while True:
            await asyncio.sleep(USAGE_COPY_INTERVAL)
            await self._send_usage_copies(sent)
            await self._flush_orphaned_copies()

    async def _send_usage_copies(self, sent: dict[tuple[str, int], int]) -> None:
        """Send changed counters to the node that holds the copy.

        A window is sent to a copy holder whole the first time, and as a delta
        afterwards. If the copy holder responds that it lacks the base of a delta,
        the window is sent whole in the next round, unless it is in the store by
        then. ``sent`` maps (copy holder, window) to the sequence number sent last.
        """
        usage = self._node.usage
        names = self.membership.alive_mesh(self._node.clock())
        if not names:
            return
        copy_holder = rank_by_hash(f"copy/{self._node.name}", names)[0]
        deltas = [
            usage.make_delta(part.window, sent.get((copy_holder, part.window), 0))
            for part in usage.unflushed_parts()
            if sent.get((copy_holder, part.window), 0) < part.sequence
        ]
        if not deltas:
            return
        body = CopiesBody(parts=deltas, flushed=usage.flushed_sequences())
        raw = zlib.compress(body.model_dump_json().encode())
        answer = await self.call_peer(copy_holder, "POST", "/fleet/copies", body=raw)
        if answer is None:
            return
        for delta in deltas:
            sent[copy_holder, delta.window] = delta.sequence
        for window in CopiesResponse.model_validate_json(answer).missing:
            sent.pop((copy_holder, window), None)
        for key in [key for key in sent if key[1] not in usage.parts]:
            del sent[key]

    def store_copies(self, body: CopiesBody) -> CopiesResponse:
        """Store copies of another node's usage counters.

        Parameters
        ----------
        body : CopiesBody
            Copies of the other node's counters, and the sequence numbers up to which
            parts are in the store.

        Returns
        -------
        CopiesResponse
            Windows that the other node has to send whole.
        """
        usage = self._node.usage
        missing = [part.window for part in body.parts if not usage.store_copy(part)]
        for window, node, sequence in body.flushed:
            usage.drop_flushed_copy(window, node, sequence)
        return CopiesResponse(missing=missing)

    async def _flush_orphaned_copies(self) -> None:
        """Flush the copies of nodes that no longer count as alive."""
        usage = self._node.usage
        alive = {status.incarnation for status in self.get_alive_statuses().values()}
        orphans = [part for part in usage.copies.values() if part.node not in alive]
        if orphans:
            await usage.flush(self._node.store, orphans)


def _sum_waiting(statuses: dict[str, NodeStatus], pool: str) -> dict[int, int]:
    total: dict[int, int] = defaultdict(int)
    for status in statuses.values():
        for tier, n in status.waiting.get(pool, {}).items():
            total[tier] += n
    return dict(total)
