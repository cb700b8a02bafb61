"""Admission, queue, shedding and dispatch for one pool of backend servers."""

from __future__ import annotations

import random
from typing import Any

from ._backends import BackendView, decide_ejections
from ._choice import choose_probe_target
from ._lookahead import (
    compute_drain_rate,
    compute_latest_start,
    compute_wait,
    count_free,
    count_relief,
    has_slack,
    is_privileged,
)
from ._pool import ClassLane, PoolOptions, PoolState, Running
from ._preemption import find_victim
from ._types import Assignment, Candidate, Job, Preemption, Shed

SWEEP_INTERVAL = 0.05  # seconds
HEALTH_INTERVAL = 1.0  # seconds
SHED_MARGIN = 1.3
MAX_CREDIT_JOBS = 4.0
MAX_HEADS = 64
MAX_RESUME_WAIT = 120.0  # seconds
URGENT_FRACTION = 0.8
HEAVY_URGENT_FRACTION = 0.8
OVERFLOW_URGENCY = 0.8
MIN_DEMAND = 0.01  # requests
MIN_RETRY_AFTER = 0.5  # seconds
MAX_RETRY_AFTER = 30.0  # seconds

Decision = Assignment | Shed | Preemption


class PoolScheduler:
    """Decides which request runs next, where, and which one is refused.

    Parameters
    ----------
    pool : str
        Model or plain service.
    options : PoolOptions, optional
        How the pool is scheduled.
    random_state : int, default=0
        Seed for ties.

    Notes
    -----
    The order is strict by tier. A lower class gets its ``min_share`` from slack
    only: when no waiting request of a higher tier would miss its deadline by it.
    A request is refused before its latest start only while no request of a lower
    tier waits. See docs/design/0002-decisions.md for the guarantees.
    """

    def __init__(
        self,
        pool: str,
        *,
        options: PoolOptions | None = None,
        random_state: int = 0,
    ) -> None:
        self.pool = pool
        self.state = PoolState(options or PoolOptions())
        self._random = random.Random(random_state)
        self._swept_at = float("-inf")
        self._health_at = float("-inf")

    @property
    def views(self) -> dict[str, BackendView]:
        """Backend servers by name."""
        return self.state.views

    @property
    def running(self) -> dict[str, Running]:
        """Dispatched requests by id."""
        return self.state.running

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
        state = self.state
        state.tiers[job.tier].arrival_rate.observe(now)
        lane = state.find_lane(job)
        lane.queue.observe_arrival(job, now)
        wait = compute_wait(state, job, lane, now)
        if not state.has_backend(job):
            return self._shed(job, "no_backend", wait, now)
        is_full = state.n_waiting >= state.options.max_queue_length
        if is_full and not state.has_waiting_below(job.tier):
            return self._shed(job, "queue_full", wait, now)
        allowed = compute_latest_start(state, job) - now
        if state.options.fair and wait > allowed and self._may_refuse_early(job):
            return self._shed(job, "deadline", wait, now)
        state.enqueue(job, now)
        return None

    def observe_requeue(self, job: Job, now: float) -> None:
        """Take back a dispatched request that has to be sent elsewhere.

        Parameters
        ----------
        job : Job
            A request whose dispatch has ended by ``observe_end``.
        now : float
            Seconds.
        """
        usable = {
            name
            for name, view in self.views.items()
            if job.cheap_allowed or not view.cheap
        }
        if usable <= job.excluded_backends:
            # Every server has failed it once; any of them may try again.
            job.excluded_backends.clear()
        job.returned_at = now
        self.state.enqueue(job, now, first=True)

    def observe_cancel(self, job: Job, now: float) -> None:
        """Drop a waiting request whose caller went away.

        Parameters
        ----------
        job : Job
            A waiting request.
        now : float
            Seconds.
        """
        self.state.remove(job, now)

    def observe_dispatch_end(
        self, job: Job, now: float, *, work: float | None = None, completed: bool = True
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
        demand = self.state.tiers[job.tier]
        demand.smooth_n_requests(now)
        demand.n_in_flight -= 1
        if completed:
            demand.observe_duration(now - run.started_at)
        if work is not None:
            self.observe_work(job, work)

    def observe_first_token(self, job: Job, elapsed: float) -> None:
        """Take in a measured time to the first token.

        Parameters
        ----------
        job : Job
            A dispatched request.
        elapsed : float
            Seconds since its dispatch.
        """
        run = self.running.get(job.request_id)
        view = self.views.get(run.backend) if run else None
        if run is None or view is None:
            return
        run.delivering = True
        view.observe_first_token(
            elapsed, prompt_tokens=job.prompt_tokens, prefix=job.prefix_hash
        )

    def observe_work(self, job: Job, work: float) -> None:
        """Settle the work charged for a request.

        Parameters
        ----------
        job : Job
            The request.
        work : float
            Its measured work so far, output-token equivalents.
        """
        queue = self.state.find_lane(job).queue
        queue.observe_work(job.customer, job.weight, work - job.charged_work)
        job.charged_work = work

    def observe_remote_work(self, cls: str, customer: str, work: float) -> None:
        """Charge work that other nodes did for a customer.

        Parameters
        ----------
        cls, customer : str
            Class and customer.
        work : float
            Output-token equivalents over the customer's weight.
        """
        lane = self.state.lanes.get(cls)
        if lane is not None:
            lane.queue.observe_work(customer, 1.0, work)

    def observe_remote_waiting(self, waiting: dict[int, int]) -> None:
        """Take in how many requests wait on other nodes.

        Parameters
        ----------
        waiting : dict of int to int
            Requests by tier.
        """
        self.state.remote_waiting = waiting

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

    def decide(self, now: float) -> list[Decision]:
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
        decisions: list[Decision] = []
        if now - self._health_at >= HEALTH_INTERVAL:
            self._check_health(now)
        is_due = now - self._swept_at >= SWEEP_INTERVAL
        if is_due:
            self._swept_at = now
            decisions.extend(self._sweep(now))
        while (assignment := self._next_assignment(now)) is not None:
            decisions.append(assignment)
        if is_due:
            decisions.extend(self._preempt(now))
        return decisions

    def count_slots(self, now: float) -> int:
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
            view.limit.get_limit()
            for view in self.views.values()
            if view.is_available(now)
        )

    def snapshot(self) -> dict[str, Any]:
        """Report the pool.

        Returns
        -------
        dict
            Waiting and running requests by class, backend servers.
        """
        waiting = {name: len(lane.queue) for name, lane in self.state.lanes.items()}
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
        levels = {t: d.smooth_n_requests(now) for t, d in self.state.tiers.items()}
        return {t: level for t, level in levels.items() if level > MIN_DEMAND}

    def snapshot_waiting(self) -> dict[int, int]:
        """Report waiting requests by tier.

        Returns
        -------
        dict of int to int
            Requests by tier; tiers with none are left out.
        """
        return {t: d.n_waiting for t, d in self.state.tiers.items() if d.n_waiting}

    # Dispatch

    def _next_assignment(self, now: float) -> Assignment | None:
        starved = self._starved_lane(now)
        if starved is not None:
            return self._assign(starved, now, "min_share")
        lanes = self.state.ordered_lanes()
        for lane in lanes:
            assignment = self._assign(lane, now, "tier")
            if assignment is not None:
                return assignment
        return self._assign_overflow(lanes[0], now) if lanes else None

    def _starved_lane(self, now: float) -> ClassLane | None:
        """Find a class with credit that can be served from slack."""
        if not self.state.options.fair:
            return None
        for lane in self.state.lanes.values():
            head = lane.queue.peek()
            if head is None or lane.credit < head.work:
                continue
            if has_slack(self.state, lane.tier, now) and self._rank(head, now):
                return lane
        return None

    def _assign(self, lane: ClassLane, now: float, reason: str) -> Assignment | None:
        """Dispatch the first of the lane's customers' heads that finds a place."""
        for job in lane.queue.list_head_jobs(MAX_HEADS):
            probe = self._find_probe(job, now)
            if probe is not None:
                return self._dispatch(lane, job, probe, now, "probe", ())
            ranked = self._rank(job, now)
            if ranked:
                backend = ranked[0].backend
                return self._dispatch(lane, job, backend, now, reason, ranked)
        return None

    def _find_probe(self, job: Job, now: float) -> str | None:
        if not self.state.options.fair:
            return None
        probe = choose_probe_target(job, self.views.values(), now)
        if probe is not None:
            self.views[probe].probed_at = now
        return probe

    def _assign_overflow(self, lane: ClassLane, now: float) -> Assignment | None:
        """Send an urgent job beyond this node's share, into the engine's queue."""
        job = lane.queue.peek()
        if job is None or not self.state.options.overflow:
            return None
        if not is_privileged(self.state, job, now):
            return None
        if not self._is_urgent(job, now, OVERFLOW_URGENCY):
            return None
        ranked = self._rank(job, now, overflow=True)
        if not ranked:
            return None
        backend = ranked[0].backend
        return self._dispatch(lane, job, backend, now, "overflow", ranked)

    def _rank(
        self, job: Job, now: float, *, overflow: bool = False
    ) -> tuple[Candidate, ...]:
        return self.state.options.ranking(
            job,
            self.views.values(),
            now=now,
            domain=self.state.options.domain,
            overflow=overflow,
            random_state=self._random,
        )

    def _dispatch(
        self,
        lane: ClassLane,
        job: Job,
        backend: str,
        now: float,
        reason: str,
        ranked: tuple[Candidate, ...],
    ) -> Assignment:
        lane.queue.pop(job)
        self._credit(lane, job)
        return self._count_in(job, backend, now, reason, ranked)

    def _count_in(
        self,
        job: Job,
        backend: str,
        now: float,
        reason: str,
        ranked: tuple[Candidate, ...],
    ) -> Assignment:
        view = self.views[backend]
        view.in_flight += 1
        view.n_suspects += job.isolated
        self.running[job.request_id] = Running(job, backend, now)
        self.state.count_waiting(job, -1, now)
        self.state.tiers[job.tier].n_in_flight += 1
        return Assignment(job, backend, now, reason, ranked)

    def _credit(self, lane: ClassLane, job: Job) -> None:
        """Credit the waiting classes with their parts of a dispatch's work."""
        lane.served += job.work
        lane.credit = max(0.0, lane.credit - job.work)
        for other in self.state.lanes.values():
            head = other.queue.peek()
            if other is lane or head is None:
                continue
            cap = head.work * MAX_CREDIT_JOBS
            other.credit = min(cap, other.credit + other.min_share * job.work)

    # Refusal

    def _may_refuse_early(self, job: Job) -> bool:
        return not self.state.has_waiting_below(job.tier)

    def _sweep(self, now: float) -> list[Shed]:
        """Refuse the waiting jobs that can't meet their deadlines any more."""
        sheds: list[Shed] = []
        lanes = sorted(self.state.lanes.values(), key=lambda lane: -lane.tier)
        for lane in lanes:
            excess = self.state.n_waiting - self.state.options.max_queue_length
            doomed = self._find_late(lane, now)
            doomed += self._find_excess(lane, excess - len(doomed), doomed)
            for job, wait, code in doomed:
                self.state.remove(job, now)
                sheds.append(self._shed(job, code, wait, now))
        return sheds

    def _find_late(self, lane: ClassLane, now: float) -> list[tuple[Job, float, str]]:
        rank = sum(
            len(other.queue)
            for other in self.state.lanes.values()
            if other is not lane and other.tier <= lane.tier
        )
        if not len(lane.queue):
            return []
        late = []
        n_free = count_free(self.state, now, enough=rank + len(lane.queue))
        rate = compute_drain_rate(self.state, lane.tier, now)
        relief: dict[bool, int] = {}
        for job in lane.queue.list_in_order():
            heavy = lane.queue.is_heavy(job.customer, now)
            if heavy not in relief:
                relief[heavy] = count_relief(self.state, job, now)
            wait = max(0, rank - n_free - relief[heavy]) / rate
            if self._is_late(job, wait, now):
                late.append((job, wait, "deadline"))
            else:
                rank += 1
        return late

    def _is_late(self, job: Job, wait: float, now: float) -> bool:
        if job.resumed:
            return now - job.returned_at > MAX_RESUME_WAIT
        allowed = compute_latest_start(self.state, job) - now
        if allowed <= 0:
            return True
        if not self.state.options.fair or not self._may_refuse_early(job):
            return False
        return wait > allowed * SHED_MARGIN

    def _find_excess(
        self, lane: ClassLane, excess: int, doomed: list[tuple[Job, float, str]]
    ) -> list[tuple[Job, float, str]]:
        """Find the last jobs of a lane that a full queue has no room for."""
        if excess <= 0:
            return []
        taken = {id(job) for job, _, _ in doomed}
        kept = [
            job
            for job in reversed(lane.queue.list_in_order())
            if not job.resumed and id(job) not in taken
        ]
        return [(job, 0.0, "queue_full") for job in kept[:excess]]

    def _shed(self, job: Job, code: str, wait: float, now: float) -> Shed:
        rate = compute_drain_rate(self.state, job.tier, now)
        clear = self.state.n_waiting / rate
        retry_after = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, clear))
        allowed = compute_latest_start(self.state, job) - now
        return Shed(job, code, wait, allowed, retry_after)

    # Preemption

    def _preempt(self, now: float) -> list[Preemption]:
        options = self.state.options
        if not (options.preempt and options.fair):
            return []
        pending = sum(run.preempted for run in self.running.values())
        decisions = []
        for lane in self.state.ordered_lanes():
            for job in lane.queue.list_in_order():
                if not is_privileged(self.state, job, now):
                    continue
                if not self._is_urgent(job, now, self._urgency(job)):
                    continue
                if pending > 0:
                    pending -= 1
                    continue
                victim = find_victim(self.state, job, now)
                if victim is None:
                    break
                victim.preempted = True
                victim.job.n_preemptions += 1
                decisions.append(Preemption(victim.job, victim.backend, job.request_id))
        return decisions

    def _urgency(self, job: Job) -> float:
        has_lower = any(run.job.tier > job.tier for run in self.running.values())
        return URGENT_FRACTION if has_lower else HEAVY_URGENT_FRACTION

    def _is_urgent(self, job: Job, now: float, fraction: float) -> bool:
        latest = compute_latest_start(self.state, job)
        return latest - now < (latest - job.arrived_at) * fraction

    def _check_health(self, now: float) -> None:
        self._health_at = now
        if not self.state.options.fair:
            return
        for name, event in decide_ejections(list(self.views.values())):
            self.views[name].observe(event)
