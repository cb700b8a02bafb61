"""Admission, queue, shedding and dispatch for one pool of backend servers."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ._backends import BackendView, decide_ejections
from ._choice import decide_backend, decide_probe
from ._demand import TierDemand
from ._fairness import FairQueue
from ._types import Assignment, Candidate, Job, Preemption, Shed

MAX_QUEUE_LENGTH = 10_000
SWEEP_INTERVAL = 0.05  # seconds
HEALTH_INTERVAL = 1.0  # seconds
SHED_MARGIN = 1.3
RESERVE_FRACTION = 0.0
MAX_CREDIT_JOBS = 4.0
URGENT_FRACTION = 0.5
MAX_PREEMPTIONS = 3
OVERFLOW_URGENCY = 0.95
MIN_DEMAND = 0.01  # requests
MIN_RETRY_AFTER = 0.5  # seconds
MAX_RETRY_AFTER = 30.0  # seconds


@dataclass(slots=True)
class _ClassLane:
    tier: int
    min_share: float
    queue: FairQueue = field(default_factory=FairQueue)
    credit: float = 0.0
    served: float = 0.0


@dataclass(slots=True)
class _Running:
    job: Job
    backend: str
    started_at: float
    preempted: bool = False


class PoolScheduler:
    """Decides which request runs next, where, and which one is refused.

    Parameters
    ----------
    pool : str
        Model or plain service.
    domain : str, default=""
        This node's failure domain.
    max_queue_length : int, default=10000
        Waiting requests; more are refused.
    fair : bool, default=True
        False serves first come, first served, as a baseline.
    preempt : bool, default=True
        Lower-tier streams may yield their slots to urgent higher-tier requests.
    overflow : bool, default=True
        Urgent requests may go beyond this node's share of an engine.
    reserve_fraction : float, default=0.0
        Most slots that lower tiers leave free for the recent peak of higher ones.
    choose : callable, default=decide_backend
        Ranks the backend servers for a job.
    random_state : int, default=0
        Seed for ties.

    Notes
    -----
    The order is strict by tier. A lower class gets its ``min_share`` from slack
    only: when no waiting request of a higher tier would miss its deadline by it.
    See docs/design/0002-decisions.md for the guarantee.
    """

    def __init__(
        self,
        pool: str,
        *,
        domain: str = "",
        max_queue_length: int = MAX_QUEUE_LENGTH,
        fair: bool = True,
        preempt: bool = True,
        overflow: bool = True,
        reserve_fraction: float = RESERVE_FRACTION,
        choose: Callable[..., tuple[Candidate, ...]] = decide_backend,
        random_state: int = 0,
    ) -> None:
        self.pool = pool
        self.domain = domain
        self.views: dict[str, BackendView] = {}
        self.running: dict[str, _Running] = {}
        self._lanes: dict[str, _ClassLane] = {}
        self._tiers: dict[int, TierDemand] = defaultdict(TierDemand)
        self._max_queue_length = max_queue_length
        self._fair = fair
        self._preempt = preempt
        self._overflow = overflow
        self._choose = choose
        self._reserve_fraction = reserve_fraction
        self._random = random.Random(random_state)
        self._swept_at = float("-inf")
        self._health_at = float("-inf")
        self.remote_waiting: dict[int, int] = {}

    @property
    def n_waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(lane.queue) for lane in self._lanes.values())

    # Facts

    def observe_arrival(self, job: Job, now: float) -> Shed | None:
        """Take in a request: queue it, or refuse it at once.

        Parameters
        ----------
        job : Job
            The request.
        now : float
            Seconds.

        Returns
        -------
        Shed or None
            The refusal, or None when the request waits.
        """
        demand = self._tiers[job.tier]
        demand.arrivals.observe(now)
        lane = self._lane(job)
        lane.queue.observe_offer(job, now)
        wait = self._expected_wait(job, lane, now)
        allowed = self._latest_start(job) - now
        if not self._has_backend(job):
            return self._shed(job, "no_backend", wait, now)
        if self.n_waiting >= self._max_queue_length and not self._displace(job):
            return self._shed(job, "queue_full", wait, now)
        if self._fair and wait > allowed:
            return self._shed(job, "deadline", wait, now)
        self._enqueue(job, now)
        return None

    def observe_return(self, job: Job, now: float) -> None:
        """Take back a dispatched request that has to be sent elsewhere.

        Parameters
        ----------
        job : Job
            A request whose dispatch has ended by ``observe_end``.
        now : float
            Seconds.
        """
        self._enqueue(job, now, first=True)

    def observe_cancel(self, job: Job, now: float) -> None:
        """Drop a waiting request whose caller went away.

        Parameters
        ----------
        job : Job
            A waiting request.
        now : float
            Seconds.
        """
        self._lanes[job.class_name].queue.remove(job)
        self._count_waiting(job, -1, now)

    def observe_end(
        self, job: Job, now: float, *, work: float | None = None, done: bool = True
    ) -> None:
        """Take in the end of a dispatch and free its slot.

        Parameters
        ----------
        job : Job
            The request.
        now : float
            Seconds.
        work : float or None
            Measured work; None leaves the estimate charged.
        done : bool, default=True
            False for dispatches that were broken off.
        """
        run = self.running.pop(job.request_id)
        view = self.views.get(run.backend)
        if view is not None:
            view.in_flight -= 1
            view.n_suspects -= job.isolated
        demand = self._tiers[job.tier]
        demand.n_in_flight -= 1
        if done:
            demand.observe_duration(now - run.started_at)
        if work is not None:
            self.observe_work(job, work)

    def observe_work(self, job: Job, work: float) -> None:
        """Settle the work charged for a request.

        Parameters
        ----------
        job : Job
            The request.
        work : float
            Its measured work so far, output-token equivalents.
        """
        lane = self._lane(job)
        lane.queue.observe_work(job.customer, job.weight, work - job.charged)
        job.charged = work

    def observe_remote_work(self, cls: str, customer: str, work: float) -> None:
        """Charge work that other nodes did for a customer.

        Parameters
        ----------
        cls, customer : str
            Class and customer.
        work : float
            Output-token equivalents.
        """
        lane = self._lanes.get(cls)
        if lane is not None:
            lane.queue.observe_work(customer, 1.0, work)

    def observe_failure(self, backend: str, now: float) -> None:
        """Take in a failed connection to a backend server.

        Parameters
        ----------
        backend : str
            Its name.
        now : float
            Seconds.
        """
        view = self.views.get(backend)
        if view is not None:
            view.observe_failure(now)

    # Decisions

    def decide(self, now: float) -> list[Assignment | Shed | Preemption]:
        """Dispatch, refuse and preempt whatever the facts call for.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        list of Assignment, Shed or Preemption
            In the order in which they were decided; the scheduler has already
            counted them.
        """
        decisions: list[Assignment | Shed | Preemption] = []
        if now - self._health_at >= HEALTH_INTERVAL:
            self._check_health(now)
        while (assignment := self._next_assignment(now)) is not None:
            decisions.append(assignment)
        if now - self._swept_at >= SWEEP_INTERVAL:
            self._swept_at = now
            decisions.extend(self._sweep(now))
            decisions.extend(self._preemptions(now))
        return decisions

    def snapshot(self) -> dict[str, object]:
        """Report the pool.

        Returns
        -------
        dict
            Waiting and running requests by class, backend servers.
        """
        waiting = {name: len(lane.queue) for name, lane in self._lanes.items()}
        return {
            "pool": self.pool,
            "waiting": waiting,
            "running": len(self.running),
            "backends": [view.snapshot() for view in self.views.values()],
        }

    def snapshot_demand(self, now: float) -> dict[int, float]:
        """Report waiting and running requests by tier, smoothed over seconds.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        dict of int to float
            Requests by tier.
        """
        levels = {t: d.smooth_level(now) for t, d in self._tiers.items()}
        return {t: level for t, level in levels.items() if level > MIN_DEMAND}

    def n_slots(self, now: float) -> int:
        """Count the slots of the backend servers that take work.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        int
            Sum of their limits.
        """
        return sum(
            view.limit.decide()
            for view in self.views.values()
            if view.is_available(now)
        )

    def snapshot_waiting(self) -> dict[int, int]:
        """Report waiting requests by tier.

        Returns
        -------
        dict of int to int
            Requests by tier; tiers with none are left out.
        """
        return {t: d.n_waiting for t, d in self._tiers.items() if d.n_waiting}

    # Internals: counting

    def _lane(self, job: Job) -> _ClassLane:
        lane = self._lanes.get(job.class_name)
        if lane is None:
            lane = _ClassLane(job.tier, job.min_share)
            self._lanes[job.class_name] = lane
        lane.tier = job.tier
        lane.min_share = job.min_share
        return lane

    def _enqueue(self, job: Job, now: float, *, first: bool = False) -> None:
        self._lane(job).queue.push(job, first=first)
        self._count_waiting(job, 1, now)

    def _count_waiting(self, job: Job, change: int, now: float) -> None:
        demand = self._tiers[job.tier]
        demand.n_waiting += change
        demand.observe_level(now)

    def _has_backend(self, job: Job) -> bool:
        return any(
            view.state not in ("leaving", "gone")
            and (job.cheap_allowed or not view.cheap)
            for view in self.views.values()
        )

    # Internals: looking ahead

    def _latest_start(self, job: Job) -> float:
        """Return when a job must be dispatched to meet its first-token target."""
        if not self._fair:
            return job.deadline
        expected = [
            view.expect_first_token(job.prompt_tokens, job.prefix)
            for view in self.views.values()
            if view.states.attributes["accepts"]
        ]
        return job.deadline - min(expected, default=0.0)

    def _n_own_slots(self, now: float) -> int:
        return sum(
            view.limit.decide() if view.share is None else view.share
            for view in self.views.values()
            if view.is_available(now)
        )

    def _drain_rate(self, tier: int, now: float) -> float:
        """Estimate dispatches per second that a tier can count on; inf: unknown."""
        measured = [d for d in self._tiers.values() if d.duration]
        n_running = sum(demand.n_in_flight for demand in measured)
        if not measured:
            return float("inf")
        if n_running:
            ends = sum(d.n_in_flight / d.duration for d in measured)
            rate = ends * self._n_own_slots(now) / n_running
        else:
            rate = self._n_own_slots(now) / max(d.duration for d in measured)
        higher = sum(
            demand.arrivals.decide(now)
            for other, demand in self._tiers.items()
            if other < tier
        )
        return max(rate - higher, rate * 0.02, 1e-9)

    def _expected_wait(self, job: Job, lane: _ClassLane, now: float) -> float:
        n_free = self._count_free(job, now)
        ahead = lane.queue.count_ahead(job)
        ahead += sum(
            len(other.queue)
            for other in self._lanes.values()
            if other is not lane and other.tier <= job.tier
        )
        n_free += self._count_relief(job, now)
        if ahead < n_free:
            return 0.0
        return (ahead - n_free + 1) / self._drain_rate(job.tier, now)

    def _count_free(self, job: Job, now: float) -> int:
        free = sum(max(0, view.count_free(now)) for view in self.views.values())
        return max(0, free - self._reserve(job.tier, now))

    def _reserve(self, tier: int, now: float) -> int:
        """Slots kept free for the recent peak of the higher tiers."""
        if not self._reserve_fraction:
            return 0
        missing = 0.0
        for other, demand in self._tiers.items():
            if other < tier:
                missing += max(0.0, demand.peak.decide(now) - demand.n_in_flight)
        return int(min(missing, self._n_own_slots(now) * self._reserve_fraction))

    # Internals: dispatch

    def _next_assignment(self, now: float) -> Assignment | None:
        lane = self._starved_lane(now)
        if lane is not None:
            return self._assign(lane, now, "min_share")
        lanes = self._ordered_lanes()
        for lane in lanes:
            assignment = self._assign(lane, now, "tier")
            if assignment is not None:
                return assignment
        return self._assign_overflow(lanes[0], now) if lanes else None

    def _assign_overflow(self, lane: _ClassLane, now: float) -> Assignment | None:
        """Send an urgent job beyond this node's share, into the engine's queue."""
        job = lane.queue.peek()
        if job is None or not self._may_overflow(job, now):
            return None
        if not self._is_urgent(job, now, OVERFLOW_URGENCY):
            return None
        ranked = self._rank(job, now, overflow=True)
        if not ranked:
            return None
        return self._dispatch(lane, ranked[0].backend, now, "overflow", ranked)

    def _may_overflow(self, job: Job, now: float) -> bool:
        """Tell whether others' running work is less urgent than a job."""
        if not (self._fair and self._overflow):
            return False
        present = [
            tier for tier, d in self._tiers.items() if d.arrivals.decide(now) > 0.1
        ]
        if any(tier < job.tier for tier in present):
            return False
        if any(tier > job.tier for tier in present):
            return True
        queue = self._lanes[job.class_name].queue
        return not queue.is_heavy(job.customer, now) and queue.has_heavy(now)

    def _ordered_lanes(self) -> list[_ClassLane]:
        waiting = [lane for lane in self._lanes.values() if len(lane.queue)]
        if not self._fair:
            return sorted(waiting, key=lambda lane: _oldest(lane.queue))
        return sorted(waiting, key=lambda lane: (lane.tier, lane.served))

    def _starved_lane(self, now: float) -> _ClassLane | None:
        if not self._fair:
            return None
        for lane in self._lanes.values():
            head = lane.queue.peek()
            if head is None or lane.credit < head.work:
                continue
            if self._has_slack(lane.tier, now) and self._can_place(head, now):
                return lane
        return None

    def _can_place(self, job: Job, now: float) -> bool:
        return bool(self._rank(job, now))

    def _has_slack(self, tier: int, now: float) -> bool:
        """Tell whether one more dispatch delays no higher tier past a deadline."""
        if any(n for other, n in self.remote_waiting.items() if other < tier):
            return False
        higher = [
            job
            for lane in self._lanes.values()
            if lane.tier < tier
            for job in lane.queue
        ]
        if not higher:
            return True
        rate = self._drain_rate(tier=min(job.tier for job in higher), now=now)
        if rate == float("inf"):
            return False
        higher.sort(key=lambda job: job.deadline)
        return all(
            now + (rank + 2) / rate <= self._latest_start(job)
            for rank, job in enumerate(higher)
        )

    def _rank(
        self, job: Job, now: float, *, overflow: bool = False
    ) -> tuple[Candidate, ...]:
        return self._choose(
            job,
            self.views.values(),
            now=now,
            domain=self.domain,
            overflow=overflow,
            random_state=self._random,
        )

    def _assign(self, lane: _ClassLane, now: float, reason: str) -> Assignment | None:
        job = lane.queue.peek()
        if job is None:
            return None
        probe = decide_probe(job, self.views.values(), now) if self._fair else None
        if probe is not None:
            self.views[probe].probed_at = now
            return self._dispatch(lane, probe, now, "probe", ())
        if reason == "tier" and not self._count_free(job, now):
            return None
        ranked = self._rank(job, now)
        if not ranked:
            return None
        return self._dispatch(lane, ranked[0].backend, now, reason, ranked)

    def _dispatch(
        self,
        lane: _ClassLane,
        backend: str,
        now: float,
        reason: str,
        ranked: tuple[Candidate, ...],
    ) -> Assignment:
        job = lane.queue.pop()
        view = self.views[backend]
        view.in_flight += 1
        view.n_suspects += job.isolated
        self.running[job.request_id] = _Running(job, backend, now)
        demand = self._tiers[job.tier]
        demand.n_in_flight += 1
        self._count_waiting(job, -1, now)
        self._credit(lane, job)
        return Assignment(job, backend, now, reason, ranked)

    def _credit(self, lane: _ClassLane, job: Job) -> None:
        lane.served += job.work
        lane.credit = max(0.0, lane.credit - job.work)
        for other in self._lanes.values():
            head = other.queue.peek()
            if other is lane or head is None:
                continue
            cap = head.work * MAX_CREDIT_JOBS
            other.credit = min(cap, other.credit + other.min_share * job.work)

    # Internals: refusal and preemption

    def _displace(self, job: Job) -> bool:
        """Tell whether a full queue has room after lower tiers are swept."""
        return any(
            lane.tier > job.tier and len(lane.queue) for lane in self._lanes.values()
        )

    def _sweep(self, now: float) -> list[Shed]:
        """Refuse the waiting jobs that can't meet their deadlines any more."""
        sheds = []
        excess = self.n_waiting - self._max_queue_length
        lanes = sorted(self._lanes.values(), key=lambda lane: -lane.tier)
        for lane in lanes:
            if len(lane.queue):
                sheds.extend(self._sweep_lane(lane, now, excess - len(sheds)))
        return sheds

    def _sweep_lane(self, lane: _ClassLane, now: float, excess: int) -> list[Shed]:
        rate = self._drain_rate(lane.tier, now)
        rank = sum(
            len(other.queue)
            for other in self._lanes.values()
            if other is not lane and other.tier <= lane.tier
        )
        doomed = []
        order = lane.queue.order()
        relief = self._count_relief(order[0], now)
        for job in order:
            wait = max(0, rank - relief) / rate
            if not job.resumed and self._is_late(job, wait, now):
                doomed.append((job, wait, "deadline"))
            else:
                rank += 1
        for job in reversed(order):
            if len(doomed) >= excess:
                break
            if not job.resumed and all(job is not late for late, _, _ in doomed):
                doomed.append((job, rank / rate, "queue_full"))
        sheds = []
        for job, wait, code in doomed:
            lane.queue.remove(job)
            self._count_waiting(job, -1, now)
            sheds.append(self._shed(job, code, wait, now))
        return sheds

    def _is_late(self, job: Job, wait: float, now: float) -> bool:
        allowed = self._latest_start(job) - now
        if allowed <= 0:
            return True
        return self._fair and wait > allowed * SHED_MARGIN

    def _preemptions(self, now: float) -> list[Preemption]:
        if not (self._preempt and self._fair):
            return []
        yielding: dict[int, int] = defaultdict(int)
        for run in self.running.values():
            yielding[run.job.tier] += run.preempted
        pending = sum(yielding.values())
        decisions = []
        for lane in self._ordered_lanes():
            for job in lane.queue.order():
                if not self._is_urgent(job, now, URGENT_FRACTION):
                    continue
                if pending > 0:
                    pending -= 1
                    continue
                victim = self._find_victim(job, now)
                if victim is None:
                    return decisions
                victim.preempted = True
                victim.job.n_preemptions += 1
                decisions.append(Preemption(victim.job, victim.backend, job.request_id))
        return decisions

    def _is_urgent(self, job: Job, now: float, fraction: float) -> bool:
        latest = self._latest_start(job)
        return latest - now < (latest - job.arrived_at) * fraction

    def _count_relief(self, job: Job, now: float) -> int:
        """Count the places that a job could get beyond the free slots."""
        relief = self._count_victims(job, now)
        if self._may_overflow(job, now):
            relief += sum(view.count_overflow(now) for view in self.views.values())
        return relief

    def _count_victims(self, job: Job, now: float) -> int:
        if not (self._preempt and self._fair):
            return 0
        return sum(self._may_yield(run, job, now) for run in self.running.values())

    def _find_victim(self, job: Job, now: float) -> _Running | None:
        """Find the latest started stream of the lowest tier that may yield."""
        eligible = [
            run for run in self.running.values() if self._may_yield(run, job, now)
        ]
        return max(eligible, key=_yield_order, default=None)

    def _may_yield(self, run: _Running, job: Job, now: float) -> bool:
        """Tell whether a running stream may yield its slot to a waiting job.

        Only a lower tier yields, or, within a class, a customer that offers far
        more than the others to one that does not.
        """
        victim = run.job
        if run.preempted or victim.n_preemptions >= MAX_PREEMPTIONS:
            return False
        if not victim.repeatable or victim.isolated or run.backend in job.excluded:
            return False
        view = self.views.get(run.backend)
        if view is None or (view.cheap and not job.cheap_allowed):
            return False
        if victim.tier != job.tier:
            return victim.tier > job.tier
        if victim.class_name != job.class_name or victim.customer == job.customer:
            return False
        queue = self._lanes[job.class_name].queue
        return queue.is_heavy(victim.customer, now) and not queue.is_heavy(
            job.customer, now
        )

    def _check_health(self, now: float) -> None:
        self._health_at = now
        if not self._fair:
            return
        for name, event in decide_ejections(list(self.views.values())):
            self.views[name].observe(event)

    def _shed(self, job: Job, code: str, wait: float, now: float) -> Shed:
        rate = self._drain_rate(job.tier, now)
        clear = self.n_waiting / rate
        retry_after = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, clear))
        return Shed(job, code, wait, self._latest_start(job) - now, retry_after)


def _yield_order(run: _Running) -> tuple[int, int, float]:
    return (run.job.tier, -run.job.n_preemptions, run.started_at)


def _oldest(queue: FairQueue) -> float:
    return min(job.arrived_at for job in queue)
