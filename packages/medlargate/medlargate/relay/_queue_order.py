"""Order of waiting requests by customers' shares, and rejections with a return time."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from copy import copy, deepcopy
from dataclasses import dataclass, field

from ..fleet import ClusterState
from ..policy import (
    CustomerShares,
    FillLimits,
    QueueClass,
    Refusal,
    ReturnTimes,
    ServedRates,
    ServiceTimes,
    TokenDemand,
    TokenSupply,
    Verdict,
    choose_fill_limits,
    choose_reported_consumers,
    is_over_share,
    make_queue_key,
    predict_token_wait,
)
from ._exchange import Exchange

QueueKey = tuple[int, int, bool, float]
# Priorities of which this node has received no request for this time need no room.
PRIORITY_LIFETIME = 5.0  # seconds


@dataclass(slots=True)
class _ServiceOrder:
    shares: CustomerShares = field(default_factory=CustomerShares)
    rates: ServedRates = field(default_factory=ServedRates)
    demand: TokenDemand = field(default_factory=TokenDemand)
    # Time of the last arrival of each priority.
    arrivals: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class QueuePosition:
    """Position of a request in the queue of its service.

    Attributes
    ----------
    key : tuple of (int, int, bool, float)
        Sort key; the smallest is served first.
    queue_class : QueueClass
        Class of the request.
    """

    key: QueueKey
    queue_class: QueueClass


class QueueOrder:
    """Customers' shares and return times, applied to the queues of a node.

    Parameters
    ----------
    cluster_state : ClusterState
        Configuration; without customers in it, the order is not in effect.
    clock : callable
        Returns the node's monotonic time in seconds.
    is_enabled : callable
        Returns the setting ``load.customer_shares``.
    observe_return : callable
        Called with the promised and the actual time, in seconds, after which the
        caller of a rejected request returned.
    random_state : random.Random
        Source of the spread of return times.
    observe_decision : callable
        Called for each request that is sent to a server or rejected, with
        ``"begun"`` or ``"rejected"``, the priority and the evidence of a rejection.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        clock: Callable[[], float],
        is_enabled: Callable[[], bool],
        observe_return: Callable[[float, float], None],
        *,
        random_state: random.Random,
        observe_decision: Callable[[str, int, str], None] = lambda *_: None,
    ) -> None:
        self._observe_decision = observe_decision
        self._cluster_state = cluster_state
        self._clock = clock
        self._is_enabled = is_enabled
        self._observe_return = observe_return
        self._random_state = random_state
        self._services: dict[str, _ServiceOrder] = {}
        self._returns = ReturnTimes()

    @property
    def is_active(self) -> bool:
        """Whether the setting and the configuration call for customers' shares."""
        table = self._cluster_state.route_table
        return (
            self._is_enabled()
            and table is not None
            and bool(table.routing_config.customers)
        )

    def _get(self, service: str) -> _ServiceOrder:
        order = self._services.get(service)
        if order is None:
            order = self._services[service] = _ServiceOrder()
        return order

    # Order

    def observe_arrival(self, exch: Exchange, times: ServiceTimes) -> None:
        """Count the customer of a request, and recognise a caller that returns."""
        now = self._clock()
        self._get(exch.service.name).arrivals[exch.priority] = now
        if exch.customer is not None:
            shares = self._get(exch.service.name).shares
            shares.observe_arrival(exch.customer.name, now)
        if exch.queued_as_of is not None:
            # Another attempt of a request that this node has accepted before.
            return
        self._get(exch.service.name).demand.observe_arrival(
            (exch.priority, is_over_share(self._compute_excess(exch))),
            time_on_time=exch.rule.target - _predict_service_time(exch, times),
            now=now,
        )
        exch.queued_as_of = exch.arrived_at
        if not self._returns:
            return
        self._returns.expire(now)
        promised = self._returns.find(exch.request_digest, now)
        if promised is not None:
            self._observe_return(
                promised.return_at - promised.rejected_at,
                exch.arrived_at - promised.rejected_at,
            )
            exch.queued_as_of = self._returns.decide_queued_at(
                exch.request_digest, exch.arrived_at
            )

    def _compute_excess(self, exch: Exchange) -> float:
        if exch.customer is None:
            return 0.0
        shares = self._get(exch.service.name).shares
        return shares.compute_excess(exch.customer.name, self._clock())

    def get_position(self, exch: Exchange, times: ServiceTimes) -> QueuePosition:
        """Return the position of a request in its queue.

        Parameters
        ----------
        exch : Exchange
            Waiting or new request.
        times : ServiceTimes
            Estimated times of the service.

        Returns
        -------
        QueuePosition
            Sort key and class.
        """
        now = self._clock()
        excess = self._compute_excess(exch)
        key = make_queue_key(
            priority=exch.priority,
            arrived_at=exch.queued_as_of or exch.arrived_at,
            time_to_target=exch.target_at - now,
            # The answer itself takes time, also if the request is sent now.
            prefill_time=_predict_service_time(exch, times),
            excess=excess,
        )
        return QueuePosition(key, QueueClass(key[0], is_over_share(excess), key[2]))

    def get_fill_limits(self, exch: Exchange) -> FillLimits | None:
        """Return how far requests like a new one may fill a server.

        Parameters
        ----------
        exch : Exchange
            Request to place.

        Returns
        -------
        FillLimits or None
            Limits by priority and share; None if there is only one class of requests.
        """
        shares = self._get(exch.service.name).shares
        over_share = None
        if exch.customer is not None:
            excess = shares.compute_excess(exch.customer.name, self._clock())
            if is_over_share(excess) or shares.is_contended:
                over_share = is_over_share(excess)
        priorities: tuple[int, ...] = ()
        table = self._cluster_state.route_table
        if exch.service.engine is not None and table is not None:
            # Only engines order the requests that wait there by priority.
            priorities = table.priorities.get(exch.service.name, ())
        return choose_fill_limits(exch.priority, priorities, over_share=over_share)

    def get_urgency(self, exch: Exchange) -> float | None:
        """Return how urgent a request is among those that arrive for its service.

        Parameters
        ----------
        exch : Exchange
            Request to place.

        Returns
        -------
        float or None
            Rank of its priority, from 0 for the least urgent to 1; None if no other
            priority arrives.
        """
        now = self._clock()
        arrivals = self._get(exch.service.name).arrivals
        others = [
            priority
            for priority, at in arrivals.items()
            if priority != exch.priority and now - at < PRIORITY_LIFETIME
        ]
        if not others:
            return None
        return sum(it > exch.priority for it in others) / len(others)

    def observe_waiting(self, service: str, classes: Iterable[QueueClass]) -> None:
        """Store which requests of a service wait."""
        self._get(service).rates.observe_waiting(classes, self._clock())

    def observe_dispatch(self, exch: Exchange, queue_class: QueueClass) -> None:
        """Count a request that is assigned to a server."""
        now = self._clock()
        self._observe_decision("begun", exch.priority, "")
        order = self._get(exch.service.name)
        order.rates.observe_served(queue_class, now)
        if self._returns:
            self._returns.forget(exch.request_digest)
        if exch.customer is not None:
            work = compute_request_work(exch)
            order.shares.observe_work(exch.customer.name, work, now)

    # Rejection

    def decide_rejection(
        self,
        exch: Exchange,
        position: QueuePosition,
        times: ServiceTimes,
        *,
        n_ahead: int,
        n_ahead_in_class: int,
        dry_run: bool = False,
    ) -> Refusal | None:
        """Decide whether a request would certainly be served too late.

        Parameters
        ----------
        exch : Exchange
            Waiting or new request.
        position : QueuePosition
            Its position in the queue.
        times : ServiceTimes
            Estimated times of the service.
        n_ahead, n_ahead_in_class : int
            Numbers of waiting requests that precede it, of all classes and of its own.
        dry_run : bool, default=False
            Whether to leave the remembered return times as they are.

        Returns
        -------
        Refusal or None
            Rejection with the time at which the caller may return.
        """
        now = self._clock()
        rates = self._get(exch.service.name).rates
        queue_class = position.queue_class
        service_time = _predict_service_time(exch, times)
        n_late = None
        if not queue_class.is_late:
            n_late = rates.count_waiting(queue_class._replace(is_late=True))

        def predict(predict_class: Callable[..., float]) -> float:
            wait = predict_class(
                queue_class, n_ahead=n_ahead, n_ahead_in_class=n_ahead_in_class, now=now
            )
            if n_late is not None and 0 < exch.target_at - now - service_time < wait:
                # It becomes late while it waits, and yields to requests that are not.
                late_class = queue_class._replace(is_late=True)
                late_wait = predict_class(
                    late_class, n_ahead=n_ahead, n_ahead_in_class=n_late, now=now
                )
                wait = max(wait, late_wait)
            return wait

        time_left = exch.deadline - now
        if predict(rates.predict_least_wait) + service_time <= time_left:
            return None
        wait = predict(rates.predict_wait)
        return self.make_rejection(
            exch,
            position,
            wait,
            f"{wait:.2f} s of waiting predicted",
            evidence="never_served" if math.isinf(wait) else "served_rate",
            dry_run=dry_run,
        )

    def decide_limited_rejection(
        self,
        exch: Exchange,
        position: QueuePosition,
        times: ServiceTimes,
        supply: TokenSupply,
        *,
        n_ahead: int,
        n_ahead_if_late: int,
        dry_run: bool = False,
    ) -> Refusal | None:
        """Decide whether limits of all servers would make a request wait too long.

        The limits tell the wait in advance, while the rates at which requests were
        served show it only after a second of waiting.

        Parameters
        ----------
        exch : Exchange
            Waiting or new request.
        position : QueuePosition
            Its position in the queue.
        times : ServiceTimes
            Estimated times of the service.
        supply : TokenSupply
            Requests that this node may send.
        n_ahead, n_ahead_if_late : int
            Numbers of waiting requests that precede it now and once it is late.
        dry_run : bool, default=False
            Whether to leave the remembered return times as they are.

        Returns
        -------
        Refusal or None
            Rejection with the time at which the caller may return.
        """
        now = self._clock()
        service_time = _predict_service_time(exch, times)
        demand = self._get(exch.service.name).demand
        wait = predict_token_wait(
            supply,
            n_ahead=n_ahead,
            n_ahead_if_late=n_ahead_if_late,
            time_on_time=exch.target_at - now - service_time,
            left_share=demand.compute_left_share(
                position.queue_class[:2], rate=supply.rate, now=now
            ),
        )
        if wait + service_time <= exch.deadline - now:
            return None
        reason = f"{wait:.2f} s of waiting for limited servers predicted"
        return self.make_rejection(
            exch, position, wait, reason, evidence="server_limits", dry_run=dry_run
        )

    def make_rejection(
        self,
        exch: Exchange,
        position: QueuePosition,
        wait: float,
        reason: str,
        *,
        evidence: str,
        dry_run: bool = False,
    ) -> Refusal:
        """Make the rejection of a request, and remember when its caller may return.

        Parameters
        ----------
        exch : Exchange
            Request that was not run.
        position : QueuePosition
            Its position in the queue.
        wait : float
            Predicted time until a server is free for it, in seconds.
        reason : str
            Explanation.
        evidence : str
            What the prediction is based on: ``"never_served"`` if other classes got
            slots and this one none, ``"served_rate"`` or ``"server_limits"``.
        dry_run : bool, default=False
            Whether to leave the remembered return times as they are.

        Returns
        -------
        Refusal
            Rejection with the time at which the caller may return.
        """
        now = self._clock()
        rates = self._get(exch.service.name).rates
        customer = exch.customer.name if exch.customer is not None else ""
        line = (exch.service.name, customer, position.queue_class[:2])
        time_left = exch.deadline - now
        returns = deepcopy(self._returns) if dry_run else self._returns
        retry_after = returns.promise(
            exch.request_digest,
            line=line,
            # A new attempt has until its target again.
            wait=wait - exch.rule.target,
            rate=rates.get_rate(position.queue_class, now),
            time_left=time_left,
            arrived_at=exch.queued_as_of or exch.arrived_at,
            now=now,
            random_state=copy(self._random_state) if dry_run else self._random_state,
        )
        message = f"{reason}, but only {time_left:.2f} s left"
        refusal = Refusal(
            503, "too_late", message, Verdict.NOT_RUN, retry_after=retry_after
        )
        if dry_run:
            return refusal
        self.observe_rejection(
            exch,
            evidence=evidence,
            wait=wait,
            over_share=position.queue_class.over_share,
            late=position.queue_class.is_late,
            return_in=round(retry_after, 3),
        )
        return refusal

    def observe_rejection(
        self, exch: Exchange, *, evidence: str, wait: float, **facts: object
    ) -> None:
        """Count a rejection, and record what it is based on.

        Parameters
        ----------
        exch : Exchange
            Rejected request.
        evidence : str
            What the prediction of its wait is based on.
        wait : float
            Predicted wait, in seconds.
        **facts : object
            Further fields of the record.
        """
        self._observe_decision("rejected", exch.priority, evidence)
        exch.record(
            "reject",
            evidence=evidence,
            customer=exch.customer.name if exch.customer is not None else None,
            priority=exch.priority,
            wait=round(wait, 3) if wait < math.inf else None,
            time_left=round(exch.deadline - self._clock(), 3),
            **facts,
        )

    # Exchange with peers

    def snapshot_consumers(
        self, peers: Iterable[str] = ()
    ) -> dict[str, dict[str, float]]:
        """Return the largest consumers on this node and the given peers.

        Parameters
        ----------
        peers : iterable of str
            Names of peers whose reports are added.

        Returns
        -------
        dict of str to dict
            Decayed work by service and customer; empty without customers' shares.
        """
        if not self.is_active:
            return {}
        now, names = self._clock(), list(peers)
        return choose_reported_consumers(
            {
                service: order.shares.snapshot_fleet(now, names)
                for service, order in self._services.items()
            }
        )

    def observe_consumers(
        self,
        peer: str,
        consumers: Mapping[str, Mapping[str, float]],
        lifetime: float,
    ) -> None:
        """Store the largest consumers on a peer or in another failure domain.

        Parameters
        ----------
        peer : str
            Name of the peer or of the failure domain.
        consumers : mapping of str to mapping
            Decayed work by service and customer.
        lifetime : float
            Time for which the report is used, in seconds.
        """
        now = self._clock()
        table = self._cluster_state.route_table
        known = table.routing_config.services if table is not None else {}
        for service in {*consumers, *self._services}:
            if service in known:
                self._get(service).shares.observe_peer(
                    peer, consumers.get(service, {}), now, lifetime=lifetime
                )


def _predict_service_time(exch: Exchange, times: ServiceTimes) -> float:
    """Return the time to the first token or answer without a wait, in seconds."""
    return times.base + exch.n_tokens * times.prefill_per_token


def count_waiting_by_customer(
    waiting: Iterable[Exchange],
) -> dict[tuple[str, str], int]:
    """Return the number of waiting requests by customer and route."""
    return Counter(
        (it.customer.name if it.customer is not None else "", it.rule.name)
        for it in waiting
    )


def compute_request_work(exch: Exchange) -> float:
    """Return the work of a request, in tokens or in calls of a plain service."""
    if exch.service.engine is None:
        return 1.0
    n_output = exch.facts.output_hint or exch.facts.max_output_tokens or 0
    return max(1.0, float(exch.n_tokens + n_output))
