"""Leader-elected duties: scaling orders of a failure domain and usage reports."""

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

# Number of duty rounds, with one lease renewal each, per lease timeout.
STEPS_PER_LEASE = 6
# Number of nodes in a failure domain that compete for a duty.
N_ORDER_CANDIDATES = 2
N_USAGE_CANDIDATES = 1
# Number of usage flush intervals to wait after a window's end before sealing it.
GRACE_FLUSH_INTERVALS = 3
COMPACT_INTERVAL = 300.0  # seconds


class Duties:
    """Competes for the duties and carries out those that this node holds.

    Parameters
    ----------
    node : Node
        This node, with its connections open.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        fleet = node.settings.fleet
        domain = node.settings.node.failure_domain
        self.orders_lease = self._make_lease(f"orders/{domain}")
        self.usage_lease = self._make_lease("usage")
        self.order_dispatcher = OrderDispatcher(
            node.store,
            self.orders_lease,
            domain,
            node.platform.send_order,
            node.platform.read_orders,
            node.clock,
        )
        self.window_reporter = WindowReporter(
            node.store,
            self.usage_lease,
            node.platform.send_usage,
            fleet.usage_window,
            GRACE_FLUSH_INTERVALS * fleet.usage_flush_interval,
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
        """Tell whether this node should compete for a duty.

        Candidates are limited to keep the number of store requests small.
        """
        return self._node.fleet.membership.is_chosen(
            f"duty/{duty}", n_candidates, self._node.clock()
        )

    async def run(self) -> None:
        """Compete for duties and carry out held ones until cancelled."""
        pause = self._node.settings.fleet.lease_timeout / STEPS_PER_LEASE
        while True:
            self._update_fence_checks()
            await self._step_lease(self.orders_lease, N_ORDER_CANDIDATES)
            await self._step_lease(self.usage_lease, N_USAGE_CANDIDATES)
            if self.orders_lease.is_holder():
                await self.order_dispatcher.recover()
                await self._scale()
            if self.usage_lease.is_holder():
                await self.window_reporter.step()
                await self._compact()
            await asyncio.sleep(pause)

    def _update_fence_checks(self) -> None:
        backends = self._node.replica.config.backends.values()
        domain = self._node.settings.node.failure_domain
        self.orders_lease.checks_fence = all(
            b.checks_fence for b in backends if b.failure_domain == domain
        )

    async def _step_lease(self, lease: DutyLease, n_candidates: int) -> None:
        before = lease.states.state
        should_compete = self._node.ready and self._is_candidate(
            lease.duty, n_candidates
        )
        if before != "follower" or should_compete:
            await lease.step()
        if lease.states.state != before:
            reason = f"{before} -> {lease.states.state}, fence {lease.fence}"
            self._node.events.record("lease", lease.duty, reason)

    async def _compact(self) -> None:
        if self._node.clock() - self._compacted_at < COMPACT_INTERVAL:
            return
        self._compacted_at = self._node.clock()
        await self._node.replica.compact(self._node.store)

    async def _scale(self) -> None:
        """Place the due scaling orders of the pools that this domain may order for."""
        for pool in list(self._node.dispatcher.pools):
            load = self._make_pool_load(pool)
            if not self._is_scaling_turn(pool, len(load.steady) + len(load.cheap)):
                continue
            scaler = self._scalers.setdefault(pool, PoolScaler())
            decision = scaler.decide(load, self._node.clock())
            if decision is None:
                continue
            placed = await self.order_dispatcher.place(
                decision.action, decision.subject
            )
            failed = isinstance(placed, Failure)
            outcome = placed.failure().message if failed else placed.unwrap()
            reason = f"{decision.action}: {decision.reason}; {outcome}"
            self._node.events.record("order", decision.subject, reason)

    def _is_scaling_turn(self, pool: str, n_servers: int) -> bool:
        """Tell whether this failure domain places the next order for a pool.

        The domain is chosen by rendezvous hashing of the pool and its number of
        servers in this domain, so that the domains take turns.
        """
        membership = self._node.fleet.membership
        now = self._node.clock()
        domains = {membership.domain}
        for name, peer in membership.peers.items():
            if membership.is_alive(name, now):
                domains.add(peer.domain)
        ranked = rank_by_hash(f"scale/{pool}/{n_servers}", sorted(domains))
        return ranked[0] == membership.domain

    def _make_pool_load(self, pool: str) -> PoolLoad:
        node = self._node
        now = time.monotonic()
        scheduler = node.dispatcher.pools[pool]
        demands = [scheduler.snapshot_demand(now)]
        demands += [
            status.demand.get(pool, {})
            for status in node.fleet.get_alive_statuses().values()
        ]
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
        """Release all duties before a graceful shutdown."""
        await self.orders_lease.release()
        await self.usage_lease.release()
