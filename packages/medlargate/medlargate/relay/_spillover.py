"""Spillover of this node's requests to other failure domains.

Collects the facts for the decision of each service (``policy/_domain_spill.py``) and
applies it to the requests.
"""

from __future__ import annotations

import hashlib
import logging
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from statistics import median

from ..policy import (
    CROSS_DOMAIN_COST_PER_BYTE,
    ClassLoad,
    DomainLoad,
    PrefixTrips,
    ServerState,
    ServiceTimes,
    SpillOptions,
    SpillPlan,
    choose_destination,
    compute_use,
    decide_spill,
    predict_first_token,
    select_candidates,
)
from ..routing import Registration, ServiceSpec
from ._exchange import Exchange
from ._load_tracker import LoadTracker

log = logging.getLogger(__name__)

PLAN_INTERVAL = 0.25  # seconds between decisions for a service
TYPICAL_ANSWER_BYTES = 3000  # size of a typical answer with its headers
SMOOTHING = 0.05  # weight of a new request in moving averages
INITIAL_HOLD_TIME = 1.0  # seconds
MIN_LOGGED_CHANGE = 0.05  # of the share that leaves
MIN_LOG_INTERVAL = 1.0  # seconds between log lines of a service
# A node that has sent nothing for this time reports no surplus.
SURPLUS_LIFETIME = 2.0  # seconds


@dataclass(frozen=True, slots=True)
class DomainReport:
    """What another failure domain reported of a service.

    Attributes
    ----------
    domain : str
        Failure domain.
    age, interval : float
        Seconds since the report, and between reports.
    n_waiting : int
        Requests that wait at the nodes of the domain; 0 if not reported.
    surplus : float or None
        Slots of work for which the domain has no capacity; None if not reported.
    """

    domain: str
    age: float
    interval: float
    n_waiting: int
    surplus: float | None


@dataclass(frozen=True, slots=True)
class _SentRequest:
    service: str
    class_name: str
    sent_at: float


@dataclass
class _ClassFacts:
    target: float
    n_bytes: float = 0.0


@dataclass
class _ServiceSpill:
    spec: ServiceSpec
    plan: SpillPlan = field(default_factory=SpillPlan)
    planned_at: float = float("-inf")
    classes: dict[str, _ClassFacts] = field(default_factory=dict)
    hold_time: float = INITIAL_HOLD_TIME
    n_tokens: float = 0.0
    logged: tuple[float, str] = (0.0, SpillPlan().reason)
    logged_at: float = float("-inf")


class Spillover:
    """Decides which requests of this node are sent to other failure domains.

    Parameters
    ----------
    loads : LoadTracker
        Load estimates of the servers.
    list_usable_servers : callable
        Returns the servers of a service that are not leaving.
    list_waiting : callable
        Returns the requests that wait at this node for a service.
    options : SpillOptions
        Settings.
    clock : callable
        Returns the node's monotonic time in seconds.

    Attributes
    ----------
    list_reports : callable
        Returns what other domains last reported of a service.
    count_domain_waiting : callable
        Returns the requests that wait at the nodes of this domain, by service.
    get_excluded : callable
        Returns the domains to which nothing may be sent.
    is_cold : callable
        Returns whether a server is cold, so that it is no destination.
    count_domain_nodes : callable
        Returns the number of nodes of this domain.
    observe_plan : callable
        Called with the service, the share that leaves and the gain in seconds after
        each decision.
    """

    def __init__(
        self,
        loads: LoadTracker,
        list_usable_servers: Callable[[str], list[Registration]],
        list_waiting: Callable[[str], Iterable[Exchange]],
        options: SpillOptions,
        clock: Callable[[], float],
    ) -> None:
        self.options = options
        self.list_reports: Callable[[str], list[DomainReport]] = lambda service: []
        self.count_domain_waiting: Callable[[], Mapping[str, int]] = dict
        self.get_excluded: Callable[[], Collection[str]] = frozenset
        self.is_cold: Callable[[str], bool] = lambda server_id: False
        self.count_domain_nodes: Callable[[], int] = lambda: 1
        self.observe_plan: Callable[[str, float, float], None] = _ignore_plan
        self._loads = loads
        self._list_usable_servers = list_usable_servers
        self._list_waiting = list_waiting
        self._clock = clock
        self._services: dict[str, _ServiceSpill] = {}
        self._sharing: set[str] = set()
        self._sent: dict[int, _SentRequest] = {}
        self._trips = PrefixTrips()

    def applies_to(self, service: str) -> bool:
        """Return whether the spillover decides for a service.

        Otherwise requests to other domains have a constant cost for each byte.
        """
        if self.options.mode == "on":
            return True
        return self.options.mode == "shared_machines" and service in self._sharing

    def _observe_servers(self, service: str, states: Iterable[ServerState]) -> None:
        """Record whether a server of a service reports the speed of its machine."""
        if service in self._sharing or self.options.mode != "shared_machines":
            return
        if any(self._loads.reports_speed(it.name) for it in states):
            self._sharing.add(service)

    def get_plan(self, service: str) -> SpillPlan:
        """Return the last decision for a service."""
        spill = self._services.get(service)
        return spill.plan if spill is not None else SpillPlan()

    def get_surpluses(self) -> dict[str, float]:
        """Return the slots of work without capacity in this domain, by service."""
        now = self._clock()
        return {
            name: round(it.plan.surplus, 1)
            for name, it in self._services.items()
            if now - it.planned_at < SURPLUS_LIFETIME
        }

    def choose_destination(self, exch: Exchange) -> str | None:
        """Return the domain that the request is sent to; None if it stays."""
        shares = self.get_plan(exch.service.name).shares.get(exch.rule.name, {})
        # Requests of a session stay together, so that its cached prefix is used.
        parts = exch.facts.parts
        subject = parts[-1].part_id if parts else exch.facts.request_id
        digest = hashlib.blake2b(f"spill {subject}".encode(), digest_size=4).digest()
        return choose_destination(shares, int.from_bytes(digest) / 2**32)

    def select(
        self,
        exch: Exchange,
        states: list[ServerState],
        times: ServiceTimes,
        *,
        accept_any: bool = False,
        dry_run: bool = False,
    ) -> list[ServerState]:
        """Return the servers among which a request is placed.

        Parameters
        ----------
        exch : Exchange
            Request to place.
        states : list of ServerState
            Usable servers of all domains.
        times : ServiceTimes
            Latency parameters of the service.
        accept_any : bool, default=False
            Whether the request has waited long enough for the best server.
        dry_run : bool, default=False
            Whether to keep the last decision instead of making a new one.

        Returns
        -------
        list of ServerState
            Candidates; all servers in services that the spillover does not apply to.
        """
        domain = self._loads.domain
        if all(it.domain == domain for it in states):
            return states
        if not dry_run:
            self._observe_servers(exch.service.name, states)
        if not self.applies_to(exch.service.name):
            return states
        if not dry_run:
            self._update(exch, times)
        prefix = _get_prefix(exch)
        now = self._clock()
        # The other nodes of the domain make about as many trips.
        trips_cost = self._trips.get_cost(prefix, now) if prefix else 0.0
        return select_candidates(
            states,
            times,
            domain=domain,
            destination=self.choose_destination(exch),
            plan=self.get_plan(exch.service.name),
            class_name=exch.rule.name,
            n_bytes=_count_bytes(exch),
            min_gain=self.options.min_gain,
            delays={
                name: self._loads.links.get_extra_delay(name, now)
                for name in {it.domain for it in states}
            },
            prefix=prefix,
            trips_cost=trips_cost * self.count_domain_nodes(),
            accept_any=accept_any,
        )

    def observe_send(self, exch: Exchange, state: ServerState) -> None:
        """Record a request that is sent to a server."""
        spec = exch.service
        now = self._clock()
        self._sent[exch.exchange_id] = _SentRequest(spec.name, exch.rule.name, now)
        if state.domain == self._loads.domain or not self.applies_to(spec.name):
            return
        prefix = _get_prefix(exch)
        destination = self.choose_destination(exch)
        if prefix and destination != state.domain:
            cost = CROSS_DOMAIN_COST_PER_BYTE * _count_bytes(exch)
            self._trips.observe_trip(prefix, cost, now)
        plan = self.get_plan(spec.name)
        exch.record(
            "spill",
            domain=state.domain,
            reason=plan.reason if destination == state.domain else "cached or full",
            share=round(plan.total_share, 3),
            gain=round(plan.gain, 3),
        )

    def observe_end(self, exchange_id: int) -> None:
        """Record the end of an attempt."""
        sent = self._sent.pop(exchange_id, None)
        if sent is not None and sent.service in self._services:
            spill = self._services[sent.service]
            held = self._clock() - sent.sent_at
            spill.hold_time += SMOOTHING * (held - spill.hold_time)

    def _update(self, exch: Exchange, times: ServiceTimes) -> None:
        now = self._clock()
        spec = exch.service
        spill = self._services.get(spec.name)
        if spill is None:
            spill = self._services[spec.name] = _ServiceSpill(spec, planned_at=now)
        facts = spill.classes.get(exch.rule.name)
        n_bytes = _count_bytes(exch)
        if facts is None:
            facts = spill.classes[exch.rule.name] = _ClassFacts(0.0, n_bytes)
        facts.target = exch.rule.target
        facts.n_bytes += SMOOTHING * (n_bytes - facts.n_bytes)
        spill.n_tokens += SMOOTHING * (exch.n_tokens - spill.n_tokens)
        elapsed = now - spill.planned_at
        if elapsed < PLAN_INTERVAL:
            return
        spill.spec, spill.planned_at = spec, now
        self._decide(spill, times, elapsed)

    def _decide(
        self, spill: _ServiceSpill, times: ServiceTimes, elapsed: float
    ) -> None:
        name = spill.spec.name
        own, others = self._make_domain_loads(spill, times)
        work = Counter(
            it.class_name for it in self._sent.values() if it.service == name
        )
        work.update(exch.rule.name for exch in self._list_waiting(name))
        classes = [
            ClassLoad(key, work[key], it.target, it.n_bytes)
            for key, it in spill.classes.items()
            if work[key]
        ]
        spill.plan = decide_spill(
            own,
            others,
            classes,
            spill.plan,
            elapsed=elapsed,
            hold_time=spill.hold_time,
            options=self.options,
            excluded=self.get_excluded(),
        )
        self.observe_plan(name, spill.plan.total_share, spill.plan.gain)
        self._log_change(spill)

    def _make_domain_loads(
        self, spill: _ServiceSpill, times: ServiceTimes
    ) -> tuple[DomainLoad, list[DomainLoad]]:
        """Return the loads of the own domain and of the others."""
        now = self._clock()
        domain = self._loads.domain
        name = spill.spec.name
        servers = self._list_usable_servers(name)
        states = self._loads.make_states(spill.spec, servers, (), round(spill.n_tokens))
        by_domain: dict[str, list[ServerState]] = defaultdict(list)
        for state in states:
            if not self.is_cold(state.name):
                by_domain[state.domain].append(state)
        reports = {it.domain: it for it in self.list_reports(name)}
        known = {domain, *reports}
        rows = []
        for zone in sorted({domain, *by_domain}):
            there = by_domain.get(zone, [])
            report = reports.get(zone)
            usual = median([_get_slowness(it) for it in there]) if there else 1.0
            used: dict[str, float] = defaultdict(float)
            for state in there:
                self._add_use(used, state, known, domain)
            row = DomainLoad(
                zone,
                sum(it.n_slots * min(1.0, usual / _get_slowness(it)) for it in there),
                used,
                extra_delay=self._loads.links.get_extra_delay(zone, now),
                link_failures=self._loads.links.get_failure_share(zone, now),
                first_answer=min(
                    predict_first_token(replace(it, slowness=1.0), times)
                    for it in there
                )
                if there
                else 0.0,
            )
            if zone == domain:
                row = replace(row, n_waiting=self.count_domain_waiting().get(name, 0))
            elif report is None:
                row = replace(row, age=float("inf"))
            else:
                row = replace(
                    row,
                    n_waiting=report.n_waiting,
                    surplus=report.surplus,
                    age=report.age,
                    interval=report.interval,
                )
            rows.append(row)
        own = next(it for it in rows if it.domain == domain)
        return own, [it for it in rows if it is not own]

    def _add_use(
        self,
        used: dict[str, float],
        state: ServerState,
        domains: Collection[str],
        own_domain: str,
    ) -> None:
        """Add the use of a server by the domains that sent the requests to it."""
        use = compute_use(state) * state.n_slots
        counts = self._loads.count_by_source(state.name)
        n_known = sum(counts.values())
        scale = use / max(n_known, state.n_running, 1)
        for source, n_running in counts.items():
            used[source if source in domains else own_domain] += n_running * scale
        used[""] += use - n_known * scale

    def _log_change(self, spill: _ServiceSpill) -> None:
        plan, now = spill.plan, self._clock()
        share, reason = spill.logged
        is_changed = (
            abs(plan.total_share - share) >= MIN_LOGGED_CHANGE
            or bool(plan.total_share) != bool(share)
            or (plan.reason != reason and (plan.surplus > 0 or share > 0))
        )
        if not is_changed or now - spill.logged_at < MIN_LOG_INTERVAL:
            return
        spill.logged, spill.logged_at = (plan.total_share, plan.reason), now
        log.info(
            "spillover changed",
            extra={
                "service": spill.spec.name,
                "share": round(plan.total_share, 3),
                "by_domain": {k: round(v, 3) for k, v in plan.by_domain.items()},
                "by_class": {
                    name: round(sum(it.values()), 3) for name, it in plan.shares.items()
                },
                "surplus": round(plan.surplus, 1),
                "gain": round(plan.gain, 3),
                "reason": plan.reason,
            },
        )


def _ignore_plan(service: str, share: float, gain: float) -> None:
    del service, share, gain


def _count_bytes(exch: Exchange) -> int:
    return len(exch.req.body) + TYPICAL_ANSWER_BYTES


def _get_prefix(exch: Exchange) -> str | None:
    """Return the last prompt part that other requests may share."""
    shared = exch.shared_parts
    return shared[-1] if shared else None


def _get_slowness(state: ServerState) -> float:
    """Return how much longer work takes on a server now than on an average one."""
    return state.slowness * state.machine_slowness
