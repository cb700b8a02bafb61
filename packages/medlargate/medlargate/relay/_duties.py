"""Fleet duties, carried out by the lease holder: usage reports and engine orders."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result

from ..fleet import ClusterState, DutyLease, PeerTable, UsagePartWriter, UsageReporter
from ..platform import FencingCredentials, OrdersClient, PlatformCallError
from ..policy import (
    CapacityOrder,
    DecayingRate,
    ZoneEngines,
    compute_max_demand,
    decide_capacity,
)
from ..routing import ScalingSpec, ServiceSpec

log = logging.getLogger(__name__)

# Allows several renewals while the lease is safe to use.
STEP_INTERVAL = 0.4  # seconds
# A node tries to acquire the lease after this time without a holder plus a time per
# rank, so that usually only one node calls the store.
NO_HOLDER_WAIT = 0.4  # seconds
WAIT_PER_RANK = 0.4  # seconds per rank
# Interval of attempts to acquire the lease while there is no holder. Each attempt reads
# the store, because only the store knows when the lease of a lost holder expires.
ACQUIRE_INTERVAL = 0.5  # seconds
# Capacity follows the peak demand, which rises immediately and halves in about 23 s:
# bursts recur, and a released engine takes its boot time to return.
PEAK_DECAY_RATE = 0.03  # fraction of the peak per second
# Measured demand is unreliable for this time after the start, and existing engines
# are kept.
STARTUP_TIME = 4.0  # seconds
# Without any load for this time after the start, the peak decays as after a burst.
FIRST_LOAD_TIMEOUT = 60.0  # seconds
DEMAND_WINDOW = 3.0  # seconds; a burst lasts a few windows
# An order that was refused for lack of engines is repeated after this time.
REFUSED_RETRY_DELAY = 3.0  # seconds
FAILED_RETRY_DELAY = 1.0  # seconds without orders after a failed call
# An unfilled order is repeated after the boot time plus this time.
UNFILLED_RETRY_DELAY = 2.5  # seconds
ORDER_TIMEOUT = 1.5  # seconds

SendUsage = Callable[[int, dict[str, int]], Awaitable[Result[int, PlatformCallError]]]
SendScale = Callable[[str, str, int, bool], Awaitable[Result[int, PlatformCallError]]]


@dataclass
class DemandTracker:
    """Rates of engine work that arrives at this node, by service.

    Attributes
    ----------
    rates : dict of str to DecayingRate
        Rates of all requests by service.
    sensitive_rates : dict of str to DecayingRate
        Rates of prefill-sensitive streams by service.
    """

    rates: dict[str, DecayingRate] = field(default_factory=dict)
    sensitive_rates: dict[str, DecayingRate] = field(default_factory=dict)

    def observe(
        self, service: str, seconds: float, now: float, *, prefill_sensitive: bool
    ) -> None:
        """Add the work of a dispatched request to the rates.

        Parameters
        ----------
        service : str
            Service of the request.
        seconds : float
            Predicted work of the request, in engine-seconds.
        now : float
            Monotonic time in seconds.
        prefill_sensitive : bool
            Whether the request is a prefill-sensitive stream.
        """
        tables = (
            (self.rates, self.sensitive_rates) if prefill_sensitive else (self.rates,)
        )
        for table in tables:
            rate = table.setdefault(service, DecayingRate(window=DEMAND_WINDOW))
            rate.observe(now, seconds)

    def get_rates(self, now: float) -> dict[str, float]:
        """Return the rates of all requests by service, in engine-seconds per second."""
        return {name: round(rate.get_rate(now), 4) for name, rate in self.rates.items()}

    def get_sensitive_rates(self, now: float) -> dict[str, float]:
        """Return the rates of prefill-sensitive streams by service.

        Rates are in engine-seconds per second.
        """
        rows = self.sensitive_rates.items()
        return {name: round(rate.get_rate(now), 4) for name, rate in rows}


@dataclass
class _LastOrder:
    desired: int
    sent_at: float
    refused: bool = False


class ScaleDuty:
    """Autoscaling duty, which orders engines for the demand of the whole fleet.

    Parameters
    ----------
    cluster_state : ClusterState
        Configured services and registered engines.
    sum_demand : callable
        Returns the work of a service that arrives at all nodes, in engine-seconds per
        second.
    send : callable
        Sends a capacity order to the platform.
    clock : callable
        Returns the node's monotonic time in seconds.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        sum_demand: Callable[[str], float],
        send: SendScale,
        clock: Callable[[], float],
    ) -> None:
        self._cluster_state = cluster_state
        self._sum_demand = sum_demand
        self._send = send
        self._clock = clock
        self._peaks: dict[str, tuple[float, float]] = {}
        self._started_at: dict[str, float] = {}
        self._services_with_load: set[str] = set()
        self._paused_until = float("-inf")
        self._last_orders: dict[tuple[str, str, bool], _LastOrder] = {}

    async def step(self, may_order: Callable[[], bool]) -> None:
        """Order the engines that the demand requires.

        Parameters
        ----------
        may_order : callable
            Returns whether the lease still allows orders.
        """
        route_table = self._cluster_state.route_table
        if route_table is None or self._clock() < self._paused_until:
            return
        for service in list(route_table.routing_config.services.values()):
            if service.scaling is None:
                continue
            zones = self._make_zones(service, service.scaling)
            current = self._sum_demand(service.name)
            demand = self._update_peak(service.name, current, zones, service.scaling)
            if self._is_starting(service.name):
                current = demand
            for order in decide_capacity(
                zones, service.scaling, demand=demand, current_demand=current
            ):
                if not may_order() or self._clock() < self._paused_until:
                    return
                await self._send_order(service, service.scaling, order, zones, demand)

    def _make_zones(self, service: ServiceSpec, spec: ScalingSpec) -> list[ZoneEngines]:
        engines = [
            it
            for it in self._cluster_state.servers.values()
            if it.service == service.name and not it.draining
        ]
        # Nothing is ordered or released in an evacuated domain, and the others are
        # planned to carry the whole load.
        names = sorted(
            (set(spec.zone_prices) | {it.zone for it in engines})
            - self._cluster_state.evacuated
        )
        return [
            ZoneEngines(
                zone=name,
                n_on_demand=sum(it.zone == name and not it.spot for it in engines),
                n_spot=sum(it.zone == name and it.spot for it in engines),
                spot_unavailable=self._is_spot_refused(service.name, name),
            )
            for name in names
        ]

    def _is_spot_refused(self, service: str, zone: str) -> bool:
        last_order = self._last_orders.get((service, zone, True))
        return last_order is not None and last_order.refused

    def _update_peak(
        self,
        service: str,
        current: float,
        zones: Sequence[ZoneEngines],
        spec: ScalingSpec,
    ) -> float:
        """Update the decaying peak of a service's demand and return it."""
        now = self._clock()
        if service not in self._peaks:
            # No demand has been measured yet. A burst may come first, so the peak
            # starts at the demand that needs all engines.
            self._peaks[service] = (compute_max_demand(zones, spec), now)
            self._started_at.setdefault(service, now)
        peak, updated_at = self._peaks[service]
        if self._is_awaiting_first_load(service, current, now):
            updated_at = now
        peak = max(current, peak * (1 - PEAK_DECAY_RATE) ** (now - updated_at))
        self._peaks[service] = (peak, now)
        return peak

    def _is_awaiting_first_load(self, service: str, current: float, now: float) -> bool:
        """Return whether no load has arrived since the start and some may follow.

        The peak does not decay in this time: the first requests may be a burst, and
        an engine released before the burst takes its boot time to return.
        """
        if current > 0.0:
            self._services_with_load.add(service)
        early = now - self._started_at[service] < FIRST_LOAD_TIMEOUT
        return service not in self._services_with_load and early

    def _is_starting(self, service: str) -> bool:
        """Return whether the demand has been measured for too short a time."""
        return self._clock() - self._started_at[service] < STARTUP_TIME

    async def _send_order(
        self,
        service: ServiceSpec,
        spec: ScalingSpec,
        order: CapacityOrder,
        zones: list[ZoneEngines],
        demand: float,
    ) -> None:
        key = (service.name, order.zone, order.spot)
        zone = next(it for it in zones if it.zone == order.zone)
        n_present = zone.n_spot if order.spot else zone.n_on_demand
        now = self._clock()
        last = self._last_orders.get(key)
        if last is None and n_present == order.desired:
            return
        if last is not None:
            is_same_order = last.desired == order.desired
            pause = spec.boot_time + UNFILLED_RETRY_DELAY
            if last.refused:
                is_same_order, pause = True, REFUSED_RETRY_DELAY
            if is_same_order and (
                n_present == order.desired or now - last.sent_at < pause
            ):
                return
        result = await self._send(service.name, order.zone, order.desired, order.spot)
        failed = isinstance(result, Failure)
        status = 0 if failed else result.unwrap()
        refused = status == 409
        if failed:
            self._paused_until = now + FAILED_RETRY_DELAY
        else:
            self._last_orders[key] = _LastOrder(order.desired, now, refused)
        log.info(
            "engines ordered",
            extra={
                "service": service.name,
                "zone": order.zone,
                "spot": order.spot,
                "desired": order.desired,
                "present": n_present,
                "demand": round(demand, 3),
                "status": status,
                "fault": result.failure().message if failed else None,
            },
        )

    def clear_orders(self) -> None:
        """Forget the last orders after the lease has been lost."""
        self._last_orders.clear()


class Duties:
    """Participation of a node in the fleet duties.

    Parameters
    ----------
    lease : DutyLease
        Lease that allows its holder to carry out the duties.
    table : PeerTable
        Known peers of this node.
    rank : callable
        Returns this node's rank among the nodes that try to acquire the lease.
    usage : UsageReporter or None
        Usage reporting; None if it is not enabled.
    usage_parts : UsagePartWriter
        Usage counts of this node, written to the store.
    scale : ScaleDuty or None
        Autoscaling; None if it is not enabled.
    clock : callable
        Returns the node's monotonic time in seconds.
    is_ready : callable
        Returns whether this node may try to acquire the lease.
    on_lost : callable
        Called when the lease is lost, in order to notify peers immediately.
    """

    def __init__(
        self,
        *,
        lease: DutyLease,
        table: PeerTable,
        rank: Callable[[], int],
        usage: UsageReporter | None,
        usage_parts: UsagePartWriter,
        scale: ScaleDuty | None,
        clock: Callable[[], float],
        is_ready: Callable[[], bool],
        on_lost: Callable[[], None],
    ) -> None:
        self.lease = lease
        self._table = table
        self._rank = rank
        self._usage = usage
        self._usage_parts = usage_parts
        self._scale = scale
        self._clock = clock
        self._is_ready = is_ready
        self._on_lost = on_lost
        self._holder_seen_at = clock()
        self._last_acquire_at = float("-inf")

    def is_holder(self) -> bool:
        """Return whether this node holds the lease or waits to start the duties."""
        return self.lease.states.state != "follower"

    async def run_lease(self) -> None:
        """Renew the lease, or acquire it if no node holds it, until cancelled."""
        while True:
            before = self.lease.states.state
            if before != "follower" or self._may_acquire():
                await self.lease.step()
            after = self.lease.states.state
            if before != after:
                log.info("duty", extra={"state": after, "fence": self.lease.fence})
                if after == "follower":
                    self._handle_loss()
            await asyncio.sleep(STEP_INTERVAL)

    def _handle_loss(self) -> None:
        if self._scale is not None:
            self._scale.clear_orders()
        self._on_lost()

    def _may_acquire(self) -> bool:
        now = self._clock()
        if self._table.find_holder() is not None:
            self._holder_seen_at = now
            return False
        wait = NO_HOLDER_WAIT + WAIT_PER_RANK * self._rank()
        if self.lease.can_resume:
            wait = 0.0
        if not self._is_ready() or now - self._holder_seen_at < wait:
            return False
        pause = STEP_INTERVAL if self.lease.can_resume else ACQUIRE_INTERVAL
        if now - self._last_acquire_at < pause:
            return False
        self._last_acquire_at = now
        return True

    async def run_usage(self) -> None:
        """Write usage counts and, as lease holder, report usage until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL)
            await self._usage_parts.step(
                heard_by_holder=self._is_heard_by_holder(),
                has_holder=self._table.find_holder() is not None,
            )
            if self._usage is not None and self.lease.is_holder():
                await self._usage.step()

    def _is_heard_by_holder(self) -> bool:
        if self.is_holder():
            return True
        holder = self._table.find_holder()
        if holder is None or holder.status is None:
            return False
        return self._table.name in holder.status.hears

    async def run_scale(self) -> None:
        """Order engines while holding the lease, until cancelled."""
        while True:
            await asyncio.sleep(STEP_INTERVAL)
            if self._scale is not None and self.lease.is_holder():
                await self._scale.step(self.lease.is_holder)

    def observe_restore(self) -> None:
        """Give up the lease and write the usage counts again after a restore."""
        self.lease.observe_restore()
        self._usage_parts.observe_restore()
        if self._usage is not None:
            self._usage.observe_restore()

    async def release(self) -> None:
        """Write the remaining usage counts and release the lease."""
        await self._usage_parts.flush()
        await self.lease.release()


def make_send_usage(orders: OrdersClient, lease: DutyLease, name: str) -> SendUsage:
    """Return a function that sends a usage report with the lease's fencing token."""

    async def send(
        window: int, counts: dict[str, int]
    ) -> Result[int, PlatformCallError]:
        call = FencingCredentials(name, lease.fence, lease.is_holder)
        return await orders.send_usage(window, counts, call)

    return send


def make_send_scale(orders: OrdersClient, lease: DutyLease, name: str) -> SendScale:
    """Return a function that sends a capacity order with the lease's fencing token."""

    async def send(
        service: str, zone: str, desired: int, spot: bool
    ) -> Result[int, PlatformCallError]:
        call = FencingCredentials(name, lease.fence, lease.is_holder)
        return await orders.send_scale(service, zone, desired, spot, call)

    return send
