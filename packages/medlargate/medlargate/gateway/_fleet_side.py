"""The node's side towards the other nodes: heartbeats, shares, marks, copies."""

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
from ._link import HeartbeatLink
from ._work_counter import WorkCounter

if TYPE_CHECKING:
    from ._node import Node

log = logging.getLogger(__name__)

FLEET_HEADER = "Medlargate-Fleet"
SHARE_INTERVAL = 0.5  # seconds
LIST_INTERVAL = 3.0  # seconds
COPY_INTERVAL = 0.5  # seconds
MARK_TIMEOUT = 0.3  # seconds
PEER_TIMEOUT = 2.0  # seconds


class PulledBody(BaseModel):
    """What a peer gives to a node that is behind, as JSON."""

    records: list[Record] = []
    snapshot: list[Operation] = []
    snapshot_revision: int = 0


class MarksBody(BaseModel):
    """Suspects, as JSON."""

    backend: str
    fingerprints: list[str]


class CopiesBody(BaseModel):
    """Copies of usage counters, and what was flushed since, as compressed JSON."""

    parts: list[UsagePart] = []
    flushed: list[tuple[int, str, int]] = []


class CopiesAnswer(BaseModel):
    """Windows whose earlier copy is not here, as JSON."""

    missing: list[int] = []


class FleetSide:
    """Everything that this node exchanges with others.

    Parameters
    ----------
    node : Node
        The node, whose connections are open.
    """

    def __init__(self, node: Node) -> None:
        settings = node.settings
        self._node = node
        self.work = WorkCounter()
        self.membership = Membership(
            node.name,
            settings.node.failure_domain,
            node.incarnation,
            suspect_timeout=settings.fleet.suspect_timeout,
            make_load=self._make_load,
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
        self.link = HeartbeatLink(node.fleet_secret, self._observe)
        self._headers = {FLEET_HEADER: node.fleet_secret}
        self._incarnations: dict[str, str] = {}

    async def start(self) -> None:
        """Open the UDP socket."""
        settings = self._node.settings.node
        port = settings.fleet_port or settings.port
        loop = asyncio.get_running_loop()
        address = (str(settings.address), port)
        await loop.create_datagram_endpoint(lambda: self.link, local_addr=address)

    def close(self) -> None:
        """Close the UDP socket."""
        self.link.close()

    # Heartbeats

    def _send(self, outgoing: OutgoingHeartbeat) -> None:
        peer = self.membership.peers.get(outgoing.peer)
        if peer is not None:
            self.link.send(peer.address, outgoing.heartbeat)

    def _observe(self, heartbeat: Heartbeat) -> None:
        facts = heartbeat.facts
        self._observe_work(facts)
        self.agent.observe(heartbeat)
        old = self._incarnations.get(facts.node)
        self._incarnations[facts.node] = facts.incarnation
        if old is not None and old != facts.incarnation:
            self._node.events.observe(
                "node_replaced", facts.node, "it has a new incarnation"
            )

    def _observe_work(self, facts: NodeStatus) -> None:
        for pool, cls, customer, work in self.work.observe_remote(
            facts.incarnation, facts.work
        ):
            scheduler = self._node.dispatcher.pools.get(pool)
            if scheduler is not None:
                scheduler.observe_remote_work(cls, customer, work)

    def _make_load(self) -> dict[str, Any]:
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
            "work": self.work.snapshot(),
        }

    # VM list

    async def run_list(self) -> None:
        """Read the platform's list of VMs at an interval, until cancelled."""
        while True:
            answer = await self._node.platform.read_vms()
            if not isinstance(answer, Failure):
                self.observe_vms(answer.unwrap())
            await asyncio.sleep(LIST_INTERVAL)

    def observe_vms(self, vms: Iterable[Vm]) -> None:
        """Take in the list of VMs.

        Parameters
        ----------
        vms : iterable of Vm
            Entry VMs and backend servers.
        """
        peers = []
        for vm in vms:
            if vm.role == "backend":
                if vm.state == "leaving":
                    self._node.observe_leaving(vm.name, "the VM list says so")
                continue
            address = (vm.address, vm.fleet_port or vm.port)
            peers.append(Peer(vm.name, vm.failure_domain, address, vm.port))
        self.membership.observe_peers(peers, self._node.clock())

    # Shares

    async def run_shares(self) -> None:
        """Split the backend servers' slots at an interval, until cancelled."""
        while True:
            self.share_slots()
            await asyncio.sleep(SHARE_INTERVAL)

    def alive_facts(self) -> dict[str, NodeStatus]:
        """Return the last facts of the alive nodes of the mesh.

        Returns
        -------
        dict of str to Facts
            By node; nodes that are stopping are left out.
        """
        members = self.membership.members
        found = {}
        for name in self.membership.alive_mesh(self._node.clock()):
            member = members.get(name)
            if member is not None and member.facts is not None:
                found[name] = member.facts
        return found

    def share_slots(self) -> None:
        """Give this node its share of each backend server's slots."""
        now = time.monotonic()
        facts = self.alive_facts()
        name = self._node.name
        for pool, scheduler in self._node.dispatcher.pools.items():
            demands = {n: f.demand.get(pool, {}) for n, f in facts.items()}
            demands[name] = scheduler.snapshot_demand(now)
            scheduler.observe_remote_waiting(_sum_waiting(facts, pool))
            quotas = decide_quotas(scheduler.count_slots(now), demands)
            for view in scheduler.views.values():
                limit = view.limit.get_limit()
                alone = len(quotas) == 1
                view.share = (
                    None if alone else decide_share(view.name, limit, quotas, name)
                )

    # Requests to peers

    def peer_url(self, name: str) -> str:
        """Return a node's base address.

        Parameters
        ----------
        name : str
            Another node.

        Returns
        -------
        str
            URL.
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
        """Call another node.

        Parameters
        ----------
        name : str
            Which.
        method, path : str
            What.
        body : bytes or None
            JSON.
        timeout : float
            Seconds.

        Returns
        -------
        bytes or None
            The answer's body; None when there was none.
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
            body = PulledBody.model_validate_json(raw)
        except ValidationError:
            log.warning("malformed configuration", extra={"peer": name})
            return None
        return PullResponse(
            tuple(body.records), tuple(body.snapshot), body.snapshot_revision
        )

    async def share_marks(self, backend: str, fingerprints: list[str]) -> None:
        """Tell the mesh of suspects before anyone can send them again.

        Parameters
        ----------
        backend : str
            The server that crashed.
        fingerprints : list of str
            Requests that it ran.
        """
        if not fingerprints:
            return
        body = orjson.dumps({"backend": backend, "fingerprints": fingerprints})
        names = self.membership.alive_mesh(self._node.clock())
        calls = [
            self.call_peer(
                name, "POST", "/fleet/marks", body=body, timeout=MARK_TIMEOUT
            )
            for name in names
        ]
        await asyncio.gather(*calls)

    # Usage copies

    async def run_copies(self) -> None:
        """Keep a copy of unflushed counters on a second VM, until cancelled."""
        sent: dict[tuple[str, int], int] = {}
        while True:
            await asyncio.sleep(COPY_INTERVAL)
            await self._send_copies(sent)
            await self._flush_orphans()

    async def _send_copies(self, sent: dict[tuple[str, int], int]) -> None:
        """Send the keeper what changed; all of it when it has no earlier copy."""
        usage = self._node.usage
        names = self.membership.alive_mesh(self._node.clock())
        if not names:
            return
        keeper = rank_by_hash(f"copy/{self._node.name}", names)[0]
        deltas = [
            usage.make_delta(part.window, sent.get((keeper, part.window), 0))
            for part in usage.unflushed_parts()
            if sent.get((keeper, part.window), 0) < part.sequence
        ]
        if not deltas:
            return
        body = CopiesBody(parts=deltas, flushed=usage.flushed_sequences())
        raw = zlib.compress(body.model_dump_json().encode())
        answer = await self.call_peer(keeper, "POST", "/fleet/copies", body=raw)
        if answer is None:
            return
        for delta in deltas:
            sent[keeper, delta.window] = delta.sequence
        for window in CopiesAnswer.model_validate_json(answer).missing:
            sent.pop((keeper, window), None)
        for key in [key for key in sent if key[1] not in usage.parts]:
            del sent[key]

    def observe_copies(self, body: CopiesBody) -> CopiesAnswer:
        """Keep another node's counters.

        Parameters
        ----------
        body : CopiesBody
            From its ``run_copies``.

        Returns
        -------
        CopiesAnswer
            Which windows have to be sent whole.
        """
        usage = self._node.usage
        missing = [part.window for part in body.parts if not usage.store_copy(part)]
        for window, node, sequence in body.flushed:
            usage.drop_flushed_copy(window, node, sequence)
        return CopiesAnswer(missing=missing)

    async def _flush_orphans(self) -> None:
        """Flush the copies of nodes that are gone."""
        usage = self._node.usage
        alive = {facts.incarnation for facts in self.alive_facts().values()}
        orphans = [part for part in usage.copies.values() if part.node not in alive]
        if orphans:
            await usage.flush(self._node.store, orphans)


def _sum_waiting(facts: dict[str, NodeStatus], pool: str) -> dict[int, int]:
    total: dict[int, int] = defaultdict(int)
    for fact in facts.values():
        for tier, n in fact.waiting.get(pool, {}).items():
            total[tier] += n
    return dict(total)
