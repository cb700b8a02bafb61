"""Spillover: how much of a failure domain's work is sent to other domains.

Load pattern: a domain's own servers are too few for its callers, or demand moves
between domains, while links between domains are slower and billed by the byte. Work
leaves before callers wait, because facts about other domains are some hundred
milliseconds old and a queue that has formed takes long to drain. Demand is counted
wherever it runs, so that it does not fall when work leaves and rise when it returns.
Each node moves the same part of its own work; the sum is then right without a
coordinator. Work is measured in slots of servers.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from ._placement import (
    AFFINITY_DISCOUNTS,
    CROSS_DOMAIN_COST_PER_BYTE,
    PREFILL_WEIGHT,
    ServerState,
    ServiceTimes,
)
from ._shares import rank_by_hash
from ._waiting import MAX_SHORT_PROMPT_BACKLOG

# The number of requests in a domain of C slots varies by chance by about sqrt(C), so
# that callers begin to wait before the mean reaches C. Work leaves when less than
# LEAVE_RESERVE * sqrt(C) slots are left free, and returns while RETURN_RESERVE *
# sqrt(C) are. Destinations are filled up to ACCEPT_RESERVE, so that they do not send
# work on.
LEAVE_RESERVE = 0.75
RETURN_RESERVE = 1.0
ACCEPT_RESERVE = 1.25
# If the domains together have too few slots for that, all are filled equally, up to
# this utilisation.
MAX_FILL = 0.97
# Time constants of the part that leaves. It falls more slowly than statuses arrive
# within the domain, and than in most fleets those of other domains do.
RISE_TIME = 0.3  # seconds
FALL_TIME = 1.5  # seconds
MIN_SHARE = 0.02  # smaller parts of the work stay
# A domain whose facts are older is no destination. Statuses of many domains arrive less
# often, so the bound is FACT_ROUNDS intervals if that is longer. Loads expire after
# 1.5 s or 4 intervals, and a domain with expired loads would look empty.
MAX_FACT_AGE = 1.2  # seconds
FACT_ROUNDS = 2.5
MAX_ROUNDS_AGE = 10.0  # seconds
# Fraction of failed connections from which a domain is no destination.
MAX_LINK_FAILURES = 0.5
# Fraction of a class's target that delay and first answer at a destination may take.
MAX_TARGET_FRACTION = 0.8
LINK_SMOOTHING = 0.2  # weight of a new time in the average of a link
# The average of a link without new times decays, so that the link is tried again.
LINK_HALF_LIFE = 30.0  # seconds
DELAY_STEP = 0.02  # seconds; delays that differ by less count as equal
MAX_PREFIXES = 500  # prefixes whose trips are counted
PREFIX_LIFETIME = 60.0  # seconds since the last trip


@dataclass(frozen=True, slots=True)
class SpillOptions:
    """Settings of the spillover.

    Attributes
    ----------
    mode : str
        ``off``, ``shared_machines`` or ``on``.
    max_share : float
        Maximum part of a domain's work that may leave it, between 0 and 1.
    min_gain : float
        Time that a request must gain by leaving, in seconds.
    """

    mode: str = "shared_machines"
    max_share: float = 0.5
    min_gain: float = 0.05


@dataclass(frozen=True, slots=True)
class DomainLoad:
    """Capacity and use of a service's servers in one failure domain.

    Attributes
    ----------
    domain : str
        Failure domain.
    capacity : float
        Slots of the usable servers, fewer for slow ones.
    used_by : mapping of str to float
        Slots in use there, by the domain whose nodes sent the requests; the key
        ``""`` stands for use that no domain reported.
    n_waiting : float
        Requests that wait at the nodes of the domain.
    surplus : float or None
        Slots of work that the domain wants to send away, as it reported; None if not
        reported.
    age : float
        Seconds since the domain reported; 0 for the own domain.
    interval : float
        Seconds between reports of the domain.
    extra_delay : float
        Time that an answer from there takes in addition, in seconds.
    link_failures : float
        Fraction of failed connections to the domain's servers, between 0 and 1.
    first_answer : float
        Predicted time to the first token or answer there, in seconds.
    """

    domain: str
    capacity: float
    used_by: Mapping[str, float]
    n_waiting: float = 0.0
    surplus: float | None = None
    age: float = 0.0
    interval: float = 0.0
    extra_delay: float = 0.0
    link_failures: float = 0.0
    first_answer: float = 0.0

    @property
    def used(self) -> float:
        """Slots in use, by requests of all domains."""
        return sum(self.used_by.values())

    @property
    def max_age(self) -> float:
        """Age from which the facts are not followed, in seconds."""
        return max(MAX_FACT_AGE, min(MAX_ROUNDS_AGE, FACT_ROUNDS * self.interval))

    @property
    def is_fresh(self) -> bool:
        """Whether the facts are recent enough to be followed."""
        return self.age < self.max_age


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Work of one class of requests at this node.

    Attributes
    ----------
    name : str
        Name of the class.
    work : float
        Number of running and waiting requests of this node.
    target : float
        Target time to the first event or answer, in seconds.
    n_bytes : float
        Mean size of a request with its answer, in bytes.
    """

    name: str
    work: float
    target: float
    n_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class SpillPlan:
    """Decision what part of a service's work leaves the domain.

    Attributes
    ----------
    shares : mapping of str to mapping of str to float
        Part of the requests that leaves, by class and destination.
    by_domain : mapping of str to float
        Part of all work that leaves, by destination.
    surplus : float
        Slots of work for which the own domain has no capacity.
    gain : float
        Time that a request gains by leaving, in seconds; 0 if none leaves.
    reason : str
        Explanation of the decision.
    open_domains : frozenset of str
        Domains whose facts are recent enough to follow a cached prefix to.
    roomy_domains : mapping of str to frozenset of str
        Domains that can bear more work than they have, by class that gains there.
    """

    shares: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    by_domain: Mapping[str, float] = field(default_factory=dict)
    surplus: float = 0.0
    gain: float = 0.0
    reason: str = "the own domain has capacity"
    open_domains: frozenset[str] = frozenset()
    roomy_domains: Mapping[str, frozenset[str]] = field(default_factory=dict)

    @property
    def total_share(self) -> float:
        """Part of all work that leaves."""
        return sum(self.by_domain.values())


def compute_use(state: ServerState) -> float:
    """Return the part of a server's capacity that is in use.

    Parameters
    ----------
    state : ServerState
        State of the server for a request.

    Returns
    -------
    float
        1 for a server that should get nothing more; above 1 if requests queue there.
    """
    use = state.n_running / max(1, state.n_slots)
    if state.n_running:
        use = max(use, min(1.0, state.backlog / MAX_SHORT_PROMPT_BACKLOG))
    return use if state.has_room else max(1.0, use)


def keep_free(capacity: float, reserve: float) -> float:
    """Return the slots that may be in use if some are kept free for random variation.

    Parameters
    ----------
    capacity : float
        Number of slots.
    reserve : float
        Slots to keep free, relative to the square root of the capacity.

    Returns
    -------
    float
        Slots; at least half of the capacity.
    """
    return max(capacity / 2, capacity - reserve * math.sqrt(capacity))


def decide_spill(
    own: DomainLoad,
    others: Sequence[DomainLoad],
    classes: Sequence[ClassLoad],
    previous: SpillPlan,
    *,
    elapsed: float,
    hold_time: float,
    options: SpillOptions,
    excluded: Collection[str] = (),
) -> SpillPlan:
    """Decide what part of a service's work leaves the own domain, and where it goes.

    Parameters
    ----------
    own : DomainLoad
        The own domain.
    others : sequence of DomainLoad
        The other domains.
    classes : sequence of ClassLoad
        Classes of this node's requests.
    previous : SpillPlan
        Last decision.
    elapsed : float
        Time since the last decision, in seconds.
    hold_time : float
        Mean time for which a request holds a slot, in seconds.
    options : SpillOptions
        Settings.
    excluded : collection of str
        Domains to which nothing may be sent, such as evacuated ones.

    Returns
    -------
    SpillPlan
        New decision.
    """
    demand = own.n_waiting + sum(
        it.used_by.get(own.domain, 0.0) for it in (own, *others)
    )
    foreign = own.used - own.used_by.get(own.domain, 0.0)
    fresh = [it for it in others if it.is_fresh and it.domain not in excluded]
    open_domains = frozenset(
        it.domain for it in fresh if it.link_failures < MAX_LINK_FAILURES
    )
    candidates = [
        it
        for it in fresh
        if it.domain in open_domains
        and any(_compute_gain(it, c, hold_time) >= options.min_gain for c in classes)
    ]
    level = _compute_level(own, candidates)
    reserve = RETURN_RESERVE if previous.by_domain else LEAVE_RESERVE
    kept = max(keep_free(own.capacity, reserve), level * own.capacity)
    surplus = max(0.0, min(demand, demand + foreign - kept))
    rooms = _compute_rooms(own, candidates, others, surplus, level)
    wanted = min(surplus, options.max_share * demand)
    targets = _fill_rooms(candidates, rooms, wanted, demand)
    usable = {it.domain for it in candidates}
    by_domain = _smooth(previous.by_domain, targets, usable, elapsed)
    shares, gain = _divide_among_classes(
        by_domain, others, classes, hold_time, options.min_gain
    )
    reason = _describe(surplus, candidates, fresh, rooms, by_domain)
    n_away = sum(it.used_by.get(own.domain, 0.0) for it in others)
    if n_away >= options.max_share * demand > 0 or not options.max_share:
        candidates, open_domains = [], frozenset()
    return SpillPlan(
        shares,
        by_domain,
        surplus,
        gain,
        reason,
        open_domains,
        {
            load.name: frozenset(
                it.domain
                for it in candidates
                if _has_room(it, level)
                and _compute_gain(it, load, hold_time) >= options.min_gain
            )
            for load in classes
        },
    )


def _has_room(there: DomainLoad, level: float) -> bool:
    return there.used + there.n_waiting < _compute_limit(there, level)


def _compute_limit(there: DomainLoad, level: float) -> float:
    """Return the slots up to which a destination is filled."""
    return max(keep_free(there.capacity, ACCEPT_RESERVE), level * there.capacity)


def _compute_level(own: DomainLoad, candidates: Sequence[DomainLoad]) -> float:
    """Return the utilisation if the domains shared their work equally."""
    domains = (own, *candidates)
    capacity = sum(it.capacity for it in domains)
    if not capacity:
        return 0.0
    work = sum(it.used + it.n_waiting for it in domains)
    return min(MAX_FILL, work / capacity)


def _compute_gain(there: DomainLoad, load: ClassLoad, hold_time: float) -> float:
    """Return what a request gains that would find no free slot in its own domain.

    It waits there until a slot becomes free, and misses its target at the latest.
    """
    if there.extra_delay + there.first_answer > MAX_TARGET_FRACTION * load.target:
        return -math.inf
    return min(load.target, hold_time) - there.extra_delay


def _compute_rooms(
    own: DomainLoad,
    candidates: Sequence[DomainLoad],
    others: Sequence[DomainLoad],
    surplus: float,
    level: float,
) -> dict[str, float]:
    """Return the slots that the own domain may use in each other domain."""
    surpluses = {it.domain: _bound_surplus(it) for it in others if it.is_fresh}
    rooms = {}
    for there in candidates:
        # Work of other domains with a surplus is part of the room that is divided.
        rivals = {
            name: it
            for name, it in surpluses.items()
            if it > 0 and name != there.domain
        }
        divided = {own.domain, *rivals}
        used = sum(n for name, n in there.used_by.items() if name not in divided)
        trust = 1.0
        if there.age > there.interval:
            trust = (there.max_age - there.age) / (there.max_age - there.interval)
        room = trust * (_compute_limit(there, level) - used - there.n_waiting)
        part = surplus / (surplus + sum(rivals.values())) if surplus else 0.0
        room *= part * (1 - there.link_failures / MAX_LINK_FAILURES)
        if room > 0:
            rooms[there.domain] = room
    return rooms


def _bound_surplus(load: DomainLoad) -> float:
    """Return the surplus of another domain, from its loads if it reports none.

    A domain has no more surplus than work, whatever it reports.
    """
    work = load.used + load.n_waiting
    if load.surplus is None:
        return max(0.0, work - keep_free(load.capacity, LEAVE_RESERVE))
    return min(max(0.0, load.surplus), work)


def _fill_rooms(
    candidates: Sequence[DomainLoad],
    rooms: Mapping[str, float],
    wanted: float,
    demand: float,
) -> dict[str, float]:
    """Return the part of the demand for each destination, short links first.

    Destinations with equal delay are filled in proportion to their rooms.
    """
    parts: dict[str, float] = {}
    by_delay: dict[int, list[str]] = {}
    for it in candidates:
        if it.domain in rooms:
            by_delay.setdefault(int(it.extra_delay / DELAY_STEP), []).append(it.domain)
    for _, names in sorted(by_delay.items()):
        room = sum(rooms[name] for name in names)
        taken = min(wanted, room)
        wanted -= taken
        for name in names:
            parts[name] = taken * rooms[name] / room / demand if demand else 0.0
    if sum(parts.values()) < MIN_SHARE:
        return {}
    return parts


def _smooth(
    previous: Mapping[str, float],
    targets: Mapping[str, float],
    usable: Collection[str],
    elapsed: float,
) -> dict[str, float]:
    parts = {}
    for name in sorted({*previous, *targets} & set(usable)):
        last, target = previous.get(name, 0.0), targets.get(name, 0.0)
        time = RISE_TIME if target > last else FALL_TIME
        part = target + (last - target) * math.exp(-elapsed / time)
        if part >= MIN_SHARE / 2 or target > 0:
            parts[name] = part
    return parts


def _divide_among_classes(
    by_domain: Mapping[str, float],
    others: Sequence[DomainLoad],
    classes: Sequence[ClassLoad],
    hold_time: float,
    min_gain: float,
) -> tuple[dict[str, dict[str, float]], float]:
    """Return the part of each class that leaves, by destination, and the mean gain.

    Classes with long targets leave first, as they bear the delay best, and among equal
    ones those with the fewest bytes.
    """
    total = sum(it.work for it in classes)
    loads = {it.domain: it for it in others}
    left = {it.name: it.work / total if total else 0.0 for it in classes}
    shares: dict[str, dict[str, float]] = {}
    gained = moved = 0.0
    for load in sorted(classes, key=lambda it: (-it.target, it.n_bytes, it.name)):
        own_part = left[load.name]
        for name, part in by_domain.items():
            gain = _compute_gain(loads[name], load, hold_time)
            if gain < min_gain:
                continue
            given = sum(it.get(name, 0.0) * left[key] for key, it in shares.items())
            used = sum(shares.get(load.name, {}).values())
            share = min(
                1.0 - used, max(0.0, part - given) / own_part if own_part else 0
            )
            if share > 0:
                shares.setdefault(load.name, {})[name] = share
                gained += gain * share * own_part
                moved += share * own_part
    return shares, gained / moved if moved else 0.0


def _describe(
    surplus: float,
    candidates: Sequence[DomainLoad],
    fresh: Sequence[DomainLoad],
    rooms: Mapping[str, float],
    by_domain: Mapping[str, float],
) -> str:
    if surplus and rooms:
        return "the own domain is full"
    if surplus and candidates:
        return "all domains are full"
    if surplus and fresh:
        return "the links to other domains cost more than a wait"
    if surplus:
        return "no recent facts about other domains"
    return "work returns" if by_domain else "the own domain has capacity"


def choose_destination(shares: Mapping[str, float], draw: float) -> str | None:
    """Return the domain that a request is sent to.

    Parameters
    ----------
    shares : mapping of str to float
        Part of the class's requests that leaves, by destination.
    draw : float
        Number between 0 and 1 that stays the same for a request and is uniformly
        distributed over requests.

    Returns
    -------
    str or None
        Destination; None if the request stays in the own domain.
    """
    limit = 0.0
    for name, share in sorted(shares.items()):
        limit += share
        if draw < limit:
            return name
    return None


def select_candidates(
    states: Sequence[ServerState],
    times: ServiceTimes,
    *,
    domain: str,
    destination: str | None,
    plan: SpillPlan,
    class_name: str,
    n_bytes: int,
    min_gain: float,
    delays: Mapping[str, float],
    prefix: str | None = None,
    trips_cost: float = 0.0,
    accept_any: bool = False,
) -> list[ServerState]:
    """Return the servers among which a request is placed.

    Parameters
    ----------
    states : sequence of ServerState
        Usable servers of all domains.
    times : ServiceTimes
        Latency parameters of the service.
    domain : str
        The own domain.
    destination : str or None
        Domain that the request is sent to; None if it stays.
    plan : SpillPlan
        Decision for the service.
    class_name : str
        Class of the request.
    n_bytes : int
        Size of the request with its answer, in bytes.
    min_gain : float
        Time that a request must gain by leaving, in seconds.
    delays : mapping of str to float
        Additional time of answers by domain, in seconds.
    prefix : str or None
        Last prompt part that other requests may share.
    trips_cost : float, default=0.0
        Cost of the trips of this prefix to other domains so far, in seconds.
    accept_any : bool, default=False
        Whether the request has waited so long that it takes any server of a domain
        that can bear it.

    Returns
    -------
    list of ServerState
        Servers of the destination if one has a free slot, otherwise servers of the own
        domain and those of other domains that have enough of the prompt cached. If the
        own domain has no free slot, those of domains that can bear more work are
        added. All servers if the own domain has none. Preferred servers of the prefix
        are those within the chosen domain.
    """
    if destination is not None:
        chosen = [it for it in states if it.domain == destination]
        if any(compute_use(it) < 1 for it in chosen):
            return _rank_homes(chosen, prefix)
    own = [it for it in states if it.domain == domain]
    if not own:
        return list(states)
    free = [it for it in own if compute_use(it) < 1]
    roomy: Collection[str] = ()
    if accept_any or not free:
        roomy = plan.roomy_domains.get(class_name, ())
    n_own_prefill = min(it.n_prefill_tokens for it in free or own)
    price = CROSS_DOMAIN_COST_PER_BYTE * n_bytes + min_gain
    kept = _rank_homes(own, prefix)
    for state in states:
        n_saved = n_own_prefill - state.n_prefill_tokens
        saved = (1 + PREFILL_WEIGHT) * times.prefill_per_token * n_saved
        is_better = (
            state.domain in plan.open_domains
            and saved > max(trips_cost, price + delays.get(state.domain, 0.0))
        ) or state.domain in roomy
        if is_better and state.domain != domain and compute_use(state) < 1:
            kept.append(replace(state, home_rank=None))
    # The cost of the bytes would otherwise keep the request waiting for a full server.
    return kept[len(own) :] if not free and len(kept) > len(own) else kept


def _rank_homes(states: Sequence[ServerState], prefix: str | None) -> list[ServerState]:
    """Choose the preferred servers of a prefix among servers of one domain."""
    if prefix is None:
        return list(states)
    ranked = rank_by_hash(prefix, sorted(it.name for it in states))
    ranks = {name: n for n, name in enumerate(ranked[: len(AFFINITY_DISCOUNTS)])}
    return [replace(it, home_rank=ranks.get(it.name)) for it in states]


@dataclass
class LinkTimes:
    """Measured delay and failures of the links to failure domains.

    Parameters
    ----------
    domain : str
        The own domain.
    """

    domain: str
    _errors: dict[str, tuple[float, float]] = field(default_factory=dict)
    _failures: dict[str, tuple[float, float]] = field(default_factory=dict)

    def observe_answer(self, domain: str, error: float, now: float) -> None:
        """Record an answer to a request that did not queue at its server.

        Parameters
        ----------
        domain : str
            Domain of the server.
        error : float
            Measured time minus the time predicted for a server of usual speed, in
            seconds.
        now : float
            Current time, in seconds.
        """
        last = self._errors.get(domain)
        mean = error if last is None else self._decay(last, now)
        self._errors[domain] = mean + LINK_SMOOTHING * (error - mean), now
        self._observe_connection(domain, 0.0, now)

    def observe_connect_failure(self, domain: str, now: float) -> None:
        """Record a failed connection to a server of a domain."""
        self._observe_connection(domain, 1.0, now)

    def _observe_connection(self, domain: str, failed: float, now: float) -> None:
        mean = self._decay(self._failures.get(domain, (0.0, now)), now)
        self._failures[domain] = mean + LINK_SMOOTHING * (failed - mean), now

    def _decay(self, value: tuple[float, float], now: float) -> float:
        return value[0] * 0.5 ** ((now - value[1]) / LINK_HALF_LIFE)

    def get_extra_delay(self, domain: str, now: float) -> float:
        """Return the time that an answer of a domain takes in addition, in seconds."""
        if domain not in self._errors:
            return 0.0
        own = self._decay(self._errors.get(self.domain, (0.0, now)), now)
        return max(0.0, self._decay(self._errors[domain], now) - own)

    def get_failure_share(self, domain: str, now: float) -> float:
        """Return the fraction of failed connections, between 0 and 1."""
        return self._decay(self._failures.get(domain, (0.0, now)), now)


@dataclass
class PrefixTrips:
    """Cost of the trips of prompt prefixes to other domains.

    Trips that together cost as much as one prefill in the own domain are enough reason
    for that prefill: the total is then at most twice that of the better choice.
    """

    _costs: OrderedDict[str, tuple[float, float]] = field(default_factory=OrderedDict)

    def observe_trip(self, prefix: str, cost: float, now: float) -> None:
        """Add the cost of a trip, in seconds."""
        total = self.get_cost(prefix, now) + cost
        self._costs[prefix] = total, now
        self._costs.move_to_end(prefix)
        while len(self._costs) > MAX_PREFIXES:
            self._costs.popitem(last=False)

    def get_cost(self, prefix: str, now: float) -> float:
        """Return the cost of the trips within ``PREFIX_LIFETIME``, in seconds."""
        cost, at = self._costs.get(prefix, (0.0, now))
        return cost if now - at < PREFIX_LIFETIME else 0.0
