"""Duties that one node carries out: orders of a failure domain, usage reports."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from returns.result import Failure

from ..fleet import DutyLease, OrderDispatcher, WindowReporter
from ..policy import PoolLoad, PoolScaler, rank_by_hash

if TYPE_CHECKING:
    from ._node import Node

log = logging.getLogger(__name__)

STEPS_PER_LEASE = 6
N_ORDER_CANDIDATES = 2
N_USAGE_CANDIDATES = 1
GRACE_FLUSHES = 3
COMPACT_INTERVAL = 300.0  # seconds


class Duties:
    """The duties that this node may take.

    Parameters
    ----------
    node : Node
        The node, whose connections are open.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        fleet = node.settings.fleet
        domain = node.settings.node.failure_domain
        self.orders_lease = self._make_lease(f"orders/{domain}")
        self.usage_lease = self._make_lease("usage")
        self.order_desk = OrderDispatcher(
            node.store,
            self.orders_lease,
            domain,
            node.platform.send_order,
            node.platform.read_orders,
            node.clock,
        )
        self.window_desk = WindowReporter(
            node.store,
            self.usage_lease,
            node.platform.send_usage,
            fleet.usage_window,
            GRACE_FLUSHES * fleet.usage_flush_interval,
            time.time,
        )
        self._scalers: dict[str, PoolScaler] = {}
        self._compacted_at = node.clock()

    def _make_lease(self, duty: str) -> DutyLease:
        fleet = self._node.settings.fleet
        return DutyLease(
            self._node.store,
            duty,
            self._node.incarnation,
            self._node.clock,
            lease_timeout=fleet.lease_timeout,
            order_timeout=fleet.order_timeout,
        )

    def _is_candidate(self, duty: str, n_candidates: int) -> bool:
        """Tell whether this node should try for a duty, so that few nodes ask."""
        return self._node.fleet.membership.is_chosen(
            f"duty/{duty}", n_candidates, self._node.clock()
        )

    async def run(self) -> None:
        """Take part in the duties, until cancelled."""
        pause = self._node.settings.fleet.lease_timeout / STEPS_PER_LEASE
        while True:
            self._observe_receivers()
            await self._step(self.orders_lease, N_ORDER_CANDIDATES)
            await self._step(self.usage_lease, N_USAGE_CANDIDATES)
            if self.orders_lease.is_holder():
                await self.order_desk.recover()
                await self._scale()
            if self.usage_lease.is_holder():
                await self.window_desk.step()
                await self._compact()
            await asyncio.sleep(pause)

    def _observe_receivers(self) -> None:
        backends = self._node.replica.config.backends.values()
        domain = self._node.settings.node.failure_domain
        self.orders_lease.checks_fence = all(
            b.checks_fence for b in backends if b.failure_domain == domain
        )

    async def _step(self, lease: DutyLease, n_candidates: int) -> None:
        before = lease.states.state
        wanted = self._node.ready and self._is_candidate(lease.duty, n_candidates)
        if before != "follower" or wanted:
            await lease.step()
        if lease.states.state != before:
            reason = f"{before} -> {lease.states.state}, fence {lease.fence}"
            self._node.events.observe("lease", lease.duty, reason)

    async def _compact(self) -> None:
        if self._node.clock() - self._compacted_at < COMPACT_INTERVAL:
            return
        self._compacted_at = self._node.clock()
        await self._node.replica.compact(self._node.store)

    async def _scale(self) -> None:
        """Order what the load of this failure domain calls for."""
        for pool in list(self._node.dispatcher.pools):
            load = self._make_load(pool)
            if not self._is_turn(pool, len(load.steady) + len(load.cheap)):
                continue
            scaler = self._scalers.setdefault(pool, PoolScaler())
            decision = scaler.decide(load, self._node.clock())
            if decision is None:
                continue
            done = await self.order_desk.place(decision.action, decision.subject)
            failed = isinstance(done, Failure)
            outcome = done.failure().message if failed else done.unwrap()
            reason = f"{decision.action}: {decision.reason}; {outcome}"
            self._node.events.observe("order", decision.subject, reason)

    def _is_turn(self, pool: str, n_servers: int) -> bool:
        """Tell whether it is this failure domain's turn to order for a pool."""
        members = self._node.fleet.membership
        now = self._node.clock()
        domains = {members.domain}
        for name, peer in members.peers.items():
            if members.is_alive(name, now):
                domains.add(peer.domain)
        ranked = rank_by_hash(f"scale/{pool}/{n_servers}", sorted(domains))
        return ranked[0] == members.domain

    def _make_load(self, pool: str) -> PoolLoad:
        node = self._node
        now = time.monotonic()
        scheduler = node.dispatcher.pools[pool]
        demands = [scheduler.snapshot_demand(now)]
        demands += [f.demand.get(pool, {}) for f in node.fleet.alive_facts().values()]
        domain = node.settings.node.failure_domain
        views = [v for v in scheduler.views.values() if v.failure_domain == domain]
        views.sort(key=lambda view: -view.in_flight)
        return PoolLoad(
            pool=pool,
            demand=sum(sum(row.values()) for row in demands),
            top_tier_demand=sum(row.get(0, 0.0) for row in demands),
            n_slots=scheduler.count_slots(now),
            steady=tuple(v.name for v in views if not v.cheap),
            cheap=tuple(v.name for v in views if v.cheap),
        )

    async def release(self) -> None:
        """Give all duties up, before a planned stop."""
        await self.orders_lease.release()
        await self.usage_lease.release()
