"""Duties that one node of the fleet carries out: usage reports, orders of engines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result

from ..fleet import ClusterState, DutyLease, PeerTable, UsagePartWriter, UsageReporter
from ..platform import DutyCall, OrdersClient, StoreError
from ..policy import (
    CapacityOrder,
    DecayingRate,
    ZoneEngines,
    compute_max_demand,
    decide_capacity,
)
from ..routing import ScalingSpec, ServiceSpec

log = logging.getLogger(__name__)

STEP_INTERVAL = 0.4  # seconds; several renewals within the lease's safe part
# A node tries for the duty after this long without a holder, later by rank, so that
# one of them asks the store and not all.
NO_HOLDER_WAIT = 0.4  # seconds
RANK_WAIT = 0.4  # seconds a rank
# Between tries, each a read, while nobody has the duty: the lease of a lost holder ends
# at a moment that only the store knows.
ACQUIRE_PAUSE = 0.5  # seconds
# The load that capacity follows: up at once, down by half in about 23 s, since waves
# come back and an engine that was given back takes its boot time to return.
PEAK_DECAY = 0.03  # of the peak, a second
# Until then what arrives says little, and engines found are kept as needed.
START_TIME = 4.0  # seconds
# Without any load for this long after the start, capacity fades as after a wave.
FIRST_LOAD_PATIENCE = 60.0  # seconds
DEMAND_WINDOW = 3.0  # seconds; waves last a few of them
REFUSED_PAUSE = 3.0  # seconds until an order that found none is tried again
FAILED_PAUSE = 1.0  # seconds without orders after one that was not taken
UNFILLED_PAUSE = 2.5  # seconds beyond the boot time until an order is repeated
ORDER_TIMEOUT = 1.5  # seconds

SendUsage = Callable[[int, dict[str, int]], Awaitable[Result[int, StoreError]]]
SendScale = Callable[[str, str, int, bool], Awaitable[Result[int, StoreError]]]


@dataclass
class Demand:
    """Work that arrives at this node, by service."""

    rates: dict[str, DecayingRate] = field(default_factory=dict)
    tight_rates: dict[str, DecayingRate] = field(default_factory=dict)

    def observe(self, service: str, seconds: float, now: float, *, tight: bool) -> None:
        """Take in engine-seconds of a request that was sent."""
        tables = (self.rates, self.tight_rates) if tight else (self.rates,)
        for table in tables:
            rate = table.setdefault(service, DecayingRate(window=DEMAND_WINDOW))
            rate.observe(now, seconds)

    def snapshot(self, now: float) -> dict[str, float]:
        """Report engine-seconds a second by service."""
        return {name: round(rate.get_rate(now), 4) for name, rate in self.rates.items()}

    def snapshot_tight(self, now: float) -> dict[str, float]:
        """Report those of streams with short pauses."""
        rows = self.tight_rates.items()
        return {name: round(rate.get_rate(now), 4) for name, rate in rows}


@dataclass
class _Ordered:
    desired: int
    at: float
    refused: bool = False


class ScaleDuty:
    """The holder's part in ordering engines.

    Parameters
    ----------
    beliefs : Beliefs
        Services and registered engines.
    sum_demand : callable
        Returns the work of a service that arrives at all nodes.
    send : callable
        Sends an order.
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        beliefs: ClusterState,
        sum_demand: Callable[[str], float],
        send: SendScale,
        clock: Callable[[], float],
    ) -> None:
        self._beliefs = beliefs
        self._sum_demand = sum_demand
        self._send = send
        self._clock = clock
        self._peaks: dict[str, tuple[float, float]] = {}
        self._started_at: dict[str, float] = {}
        self._loaded: set[str] = set()
        self._next_at = float("-inf")
        self._ordered: dict[tuple[str, str, bool], _Ordered] = {}

    async def step(self, may_order: Callable[[], bool]) -> None:
        """Order what the load calls for."""
        table = self._beliefs.route_table
        if table is None or self._clock() < self._next_at:
            return
        for service in list(table.declaration.services.values()):
            if service.scaling is None:
                continue
            zones = self._make_zones(service, service.scaling)
            current = self._sum_demand(service.name)
            demand = self._hold_peak(service.name, current, zones, service.scaling)
            if self._is_start(service.name):
                current = demand
            for order in decide_capacity(
                zones, service.scaling, demand=demand, current_demand=current
            ):
                if not may_order() or self._clock() < self._next_at:
                    return
                await self._place(service, service.scaling, order, zones, demand)

    def _make_zones(self, service: ServiceSpec, spec: ScalingSpec) -> list[ZoneEngines]:
        engines = [
            it
            for it in self._beliefs.servers.values()
            if it.service == service.name and not it.draining
        ]
        names = sorted(set(spec.zone_prices) | {it.zone for it in engines})
        return [
            ZoneEngines(
                zone=name,
                n_on_demand=sum(it.zone == name and not it.spot for it in engines),
                n_spot=sum(it.zone == name and it.spot for it in engines),
                spot_unavailable=self._is_refused(service.name, name),
            )
            for name in names
        ]

    def _is_refused(self, service: str, zone: str) -> bool:
        ordered = self._ordered.get((service, zone, True))
        return ordered is not None and ordered.refused

    def _hold_peak(
        self,
        service: str,
        current: float,
        zones: Sequence[ZoneEngines],
        spec: ScalingSpec,
    ) -> float:
        """Return the largest demand of late, fading."""
        now = self._clock()
        if service not in self._peaks:
            # Nothing is known yet: a wave may come first, so all may be needed.
            self._peaks[service] = (compute_max_demand(zones, spec), now)
            self._started_at.setdefault(service, now)
        peak, at = self._peaks[service]
        if self._awaits_load(service, current, now):
            at = now
        peak = max(current, peak * (1 - PEAK_DECAY) ** (now - at))
        self._peaks[service] = (peak, now)
        return peak

    def _awaits_load(self, service: str, current: float, now: float) -> bool:
        """Tell whether callers are still to come after the start.

        Answers the pattern of a wave among the first requests: capacity that has
        faded before it takes an engine's boot time to return.
        """
        if current > 0.0:
            self._loaded.add(service)
        early = now - self._started_at[service] < FIRST_LOAD_PATIENCE
        return service not in self._loaded and early

    def _is_start(self, service: str) -> bool:
        """Tell whether this node has not yet seen enough of the load."""
        return self._clock() - self._started_at[service] < START_TIME

    async def _place(
        self,
        service: ServiceSpec,
        spec: ScalingSpec,
        order: CapacityOrder,
        zones: list[ZoneEngines],
        demand: float,
    ) -> None:
        key = (service.name, order.zone, order.spot)
        zone = next(it for it in zones if it.zone == order.zone)
        present = zone.n_spot if order.spot else zone.n_on_demand
        now = self._clock()
        last = self._ordered.get(key)
        if last is None and present == order.desired:
            return
        if last is not None:
            same = last.desired == order.desired
            pause = spec.boot_time + UNFILLED_PAUSE
            if last.refused:
                same, pause = True, REFUSED_PAUSE
            if same and (present == order.desired or now - last.at < pause):
                return
        result = await self._send(service.name, order.zone, order.desired, order.spot)
        failed = isinstance(result, Failure)
        status = 0 if failed else result.unwrap()
        refused = status == 409
        if failed:
            self._next_at = now + FAILED_PAUSE
        else:
            self._ordered[key] = _Ordered(order.desired, now, refused)
        log.info(
            "engines ordered",
            extra={
                "service": service.name,
                "zone": order.zone,
                "spot": order.spot,
                "desired": order.desired,
                "present": present,
                "demand": round(demand, 3),
                "status": status,
                "fault": result.failure().message if failed else None,
            },
        )

    def forget(self) -> None:
        """Drop what was ordered, when the duty is lost."""
        self._ordered.clear()


class Duties:
    """Takes part in the fleet's duties.

    Parameters
    ----------
    lease : DutyLease
        The right to carry them out.
    table : PeerTable
        The other nodes.
    rank : callable
        Returns this node's rank for the next try for the duty.
    usage : UsageReporter or None
        Reports usage.
    parts : UsagePartWriter
        This node's own counts.
    scale : ScaleDuty or None
        Orders engines.
    clock : callable
        Returns seconds.
    is_ready : callable
        Tells whether this node should try for the duty.
    on_lost : callable
        Called when the duty is lost, so that others hear of it at once.
    """

    def __init__(
        self,
        *,
        lease: DutyLease,
        table: PeerTable,
        rank: Callable[[], int],
        usage: UsageReporter | None,
        parts: UsagePartWriter,
        scale: ScaleDuty | None,
        clock: Callable[[], float],
        is_ready: Callable[[], bool],
        on_lost: Callable[[], None],
    ) -> None:
        self.lease = lease
        self._table = table
        self._rank = rank
        self._usage = usage
        self._parts = parts
        self._scale = scale
        self._clock = clock
        self._is_ready = is_ready
        self._on_lost = on_lost
        self._holder_seen_at = clock()
        self._tried_at = float("-inf")

    def is_holder(self) -> bool:
        """Tell whether this node has the duty or waits to take it up."""
        return self.lease.states.state != "follower"

    async def run_lease(self) -> None:
        """Keep the lease, or try for it when nobody has it; until cancelled."""
        while True:
            before = self.lease.states.state
            if before != "follower" or self._may_try():
                await self.lease.step()
            after = self.lease.states.state
            if before != after:
                log.info("duty", extra={"state": after, "fence": self.lease.fence})
                if after == "follower":
                    self._observe_loss()
            await asyncio.sleep(STEP_INTERVAL)

    def _observe_loss(self) -> None:
        if self._scale is not None:
            self._scale.forget()
        self._on_lost()

    def _may_try(self) -> bool:
        now = self._clock()
        if self._table.find_holder() is not None:
            self._holder_seen_at = now
            return False
        wait = NO_HOLDER_WAIT + RANK_WAIT * self._rank()
        if self.lease.can_resume:
            wait = 0.0
        if not self._is_ready() or now - self._holder_seen_at < wait:
            return False
        pause = STEP_INTERVAL if self.lease.can_resume else ACQUIRE_PAUSE
        if now - self._tried_at < pause:
            return False
        self._tried_at = now
        return True

    async def run_usage(self) -> None:
        """Report usage while the duty is held; until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL)
            await self._parts.step(heard_by_holder=self._is_heard())
            if self._usage is not None and self.lease.is_holder():
                await self._usage.step()

    def _is_heard(self) -> bool:
        if self.is_holder():
            return True
        holder = self._table.find_holder()
        if holder is None or holder.status is None:
            return False
        return self._table.name in holder.status.hears

    async def run_scale(self) -> None:
        """Order engines while the duty is held; until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL)
            if self._scale is not None and self.lease.is_holder():
                await self._scale.step(self.lease.is_holder)

    async def release(self) -> None:
        """Write what was counted and give the duty up."""
        await self._parts.flush()
        await self.lease.release()


def make_send_usage(orders: OrdersClient, lease: DutyLease, name: str) -> SendUsage:
    """Make the function that sends a usage report under a lease."""

    async def send(window: int, counts: dict[str, int]) -> Result[int, StoreError]:
        call = DutyCall(name, lease.fence, lease.is_holder)
        return await orders.send_usage(window, counts, call)

    return send


def make_send_scale(orders: OrdersClient, lease: DutyLease, name: str) -> SendScale:
    """Make the function that sends an order under a lease."""

    async def send(
        service: str, zone: str, desired: int, spot: bool
    ) -> Result[int, StoreError]:
        call = DutyCall(name, lease.fence, lease.is_holder)
        return await orders.send_scale(service, zone, desired, spot, call)

    return send
