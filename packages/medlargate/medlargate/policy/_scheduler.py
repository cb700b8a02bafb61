"""Admission, queueing, load shedding and dispatch for a pool of backend servers."""

from __future__ import annotations

import random
from typing import Any

from ._backends import BackendView, decide_ejections
from ._choice import choose_probe_target
from ._lookahead import (
    compute_drain_rate,
    compute_latest_start,
    compute_wait,
    count_free_slots,
    count_urgent_slots,
    has_slack,
    may_displace_others,
)
from ._pool import ClassQueue, PoolOptions, PoolState, RunningJob
from ._preemption import find_victim
from ._types import Assignment, Candidate, Job, Preemption, Shed

REFUSAL_AND_PREEMPTION_INTERVAL = 0.05  # seconds
EJECTION_INTERVAL = 1.0  # seconds
# A queued request is refused early if its predicted wait exceeds the allowed wait by
# this factor.
SHED_MARGIN = 1.3
# Upper limit of a class's credit, as a multiple of the work of its next request.
MAX_CREDIT_JOBS = 4.0
# Number of customers of a class whose next requests are tried for a dispatch.
MAX_CUSTOMERS_TRIED = 64
MAX_RESUME_WAIT = 120.0  # seconds
# A request is urgent enough for preemption, while a stream of a lower tier runs, once
# less than this fraction of the time between its arrival and its latest start is left.
LOWER_TIER_URGENT_FRACTION = 0.8
# A request is urgent enough for preemption, while no stream of a lower tier runs, once
# less than this fraction of the time between its arrival and its latest start is left.
# Only streams of heavy customers of the same class can be preempted then.
SAME_TIER_URGENT_FRACTION = 0.8
# A request is urgent enough to exceed this node's share of an engine's slots once less
# than this fraction of the time between its arrival and its latest start is left.
OVERFLOW_URGENT_FRACTION = 0.8
MIN_DEMAND = 0.01  # requests
MIN_RETRY_AFTER = 0.5  # seconds
MAX_RETRY_AFTER = 30.0  # seconds

Decision = Assignment | Shed | Preemption


class PoolScheduler:
    """Scheduler that dispatches, refuses and preempts the requests of a pool.

    Parameters
    ----------
    pool : str
        Name of the model or plain service.
    options : PoolOptions, optional
        Scheduling options; the defaults if omitted.
    random_state : int, default=0
        Seed for breaking ties between backend servers.

    Notes
    -----
    Tiers have strict priority. A class of a lower tier is dispatched out of turn, up
    to its ``min_share``, only if no waiting request of a higher tier would miss its
    deadline as a result. A request is refused early because of its predicted wait only
    while no request of a lower tier waits on any node, according to the last reports
    of the other nodes. See docs/design/0002-decisions.md for the guarantees.
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
        self._refusals_decided_at = float("-inf")
        self._ejections_decided_at = float("-inf")

    @property
    def views(self) -> dict[str, BackendView]:
        """Backend servers of the pool, by name."""
        return self.state.views

    @property
    def running(self) -> dict[str, RunningJob]:
        """Requests that this node has dispatched, by request id."""
        return self.state.running

    # Events

    def observe_arrival(self, job: Job, now: float) -> Shed | None:
        """Queue an arriving request, or refuse it at once.

        Parameters
        ----------
        job : Job
            Request that arrives.
        now : float
            Current time in seconds.

        Returns
        -------
        Shed or None
            Refusal; None if the request was queued.
        """
        state = self.state
        state.demand_by_tier[job.tier].arrival_rate.observe(now)
        class_queue = state.get_class_queue(job)
        class_queue.requests.observe_arrival(job, now)
        wait = compute_wait(state, job, class_queue, now)
        if not state.has_backend(job):
            return self._make_shed(job, "no_backend", wait, now)
        is_full = state.n_waiting >= state.options.max_queue_length
        if is_full and not state.has_waiting_below(job.tier):
            return self._make_shed(job, "queue_full", wait, now)
        allowed = compute_latest_start(state, job) - now
        if state.options.fair and wait > allowed and self._may_refuse_early(job):
            return self._make_shed(job, "deadline", wait, now)
        state.enqueue(job, now)
        return None

    def observe_requeue(self, job: Job, now: float) -> None:
        """Queue a request again whose dispatch ended before its answer was complete.

        Parameters
        ----------
        job : Job
            Request whose dispatch was ended by ``observe_dispatch_end``.
        now : float
            Current time in seconds.
        """
        usable = {
            name
            for name, view in self.views.items()
            if job.cheap_allowed or not view.cheap
        }
        if usable <= job.excluded_backends:
            # Every server of the pool that the request's settings allow is excluded:
            # allow all of them again.
            job.excluded_backends.clear()
        job.requeued_at = now
        self.state.enqueue(job, now, first=True)

    def observe_cancel(self, job: Job, now: float) -> None:
        """Remove a waiting request whose caller has disconnected.

        Parameters
        ----------
        job : Job
            Waiting request.
        now : float
            Current time in seconds.
        """
        self.state.remove(job, now)

    def observe_dispatch_end(
        self, job: Job, now: float, *, work: float | None = None, completed: bool = True
    ) -> None:
        """Record the end of a dispatch and free its slot.

        Parameters
        ----------
        job : Job
            Request whose dispatch ended.
        now : float
            Current time in seconds.
        work : float or None
            Measured work in output-token equivalents. None keeps the estimate that
            was charged.
        completed : bool, default=True
            Whether the request was completed. The durations of interrupted dispatches
            are not measured.
        """
        run = self.running.pop(job.request_id)
        view = self.views.get(run.backend)
        if view is not None:
            view.in_flight -= 1
            view.n_suspects -= job.isolated
        demand = self.state.demand_by_tier[job.tier]
        demand.smooth_n_requests(now)
        demand.n_in_flight -= 1
        if completed:
            demand.observe_duration(now - run.started_at)
        if work is not None:
            self.observe_work(job, work)

    def observe_first_token(self, job: Job, elapsed: float) -> None:
        """Record the arrival of a request's first token.

        Parameters
        ----------
        job : Job
            Dispatched request.
        elapsed : float
            Time since the dispatch, in seconds.
        """
        run = self.running.get(job.request_id)
        view = self.views.get(run.backend) if run else None
        if run is None or view is None:
            return
        run.has_first_token = True
        view.observe_first_token(
            elapsed, prompt_tokens=job.prompt_tokens, prefix=job.prefix_hash
        )

    def observe_work(self, job: Job, work: float) -> None:
        """Replace the work charged for a request by its measured work.

        Parameters
        ----------
        job : Job
            Request whose work was measured.
        work : float
            Measured work so far, in output-token equivalents.
        """
        queue = self.state.get_class_queue(job).requests
        queue.observe_work(job.customer, job.weight, work - job.charged_work)
        job.charged_work = work

    def observe_remote_work(self, class_name: str, customer: str, work: float) -> None:
        """Charge a customer for work that other nodes dispatched.

        Parameters
        ----------
        class_name, customer : str
            Names of the request class and of the customer.
        work : float
            Work in output-token equivalents, divided by the customer's weight.
        """
        class_queue = self.state.class_queues.get(class_name)
        if class_queue is not None:
            class_queue.requests.observe_work(customer, 1.0, work)

    def observe_remote_waiting(self, waiting: dict[int, int]) -> None:
        """Set the numbers of requests that wait on other nodes.

        Parameters
        ----------
        waiting : dict of int to int
            Numbers of waiting requests, by tier.
        """
        self.state.remote_waiting = waiting

    def observe_failure(self, backend: str, now: float) -> None:
        """Record a failed connection to a backend server.

        Parameters
        ----------
        backend : str
            Name of the backend server.
        now : float
            Current time in seconds.
        """
        view = self.views.get(backend)
        if view is not None:
            view.observe_failure(now)

    # Decisions

    def decide(self, now: float) -> list[Decision]:
        """Decide which requests to dispatch, to refuse and to preempt now.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list of Assignment, Shed or Preemption
            Decisions in the order in which they were made. The state of the scheduler
            already includes them.

        Notes
        -----
        Waiting requests are refused, and streams preempted, at most every
        ``REFUSAL_AND_PREEMPTION_INTERVAL`` seconds. Slow servers are ejected at most
        every ``EJECTION_INTERVAL`` seconds. A preempted stream keeps its slot until
        ``observe_dispatch_end``.
        """
        decisions: list[Decision] = []
        if now - self._ejections_decided_at >= EJECTION_INTERVAL:
            self._eject_slow_servers(now)
        is_due = now - self._refusals_decided_at >= REFUSAL_AND_PREEMPTION_INTERVAL
        if is_due:
            self._refusals_decided_at = now
            decisions.extend(self._shed_waiting(now))
        while (assignment := self._decide_next_assignment(now)) is not None:
            decisions.append(assignment)
        if is_due:
            decisions.extend(self._preempt(now))
        return decisions

    def count_slots(self, now: float) -> int:
        """Count the slots of the available backend servers, for all nodes.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Sum of the servers' concurrency limits.
        """
        return sum(
            view.limit.get_limit()
            for view in self.views.values()
            if view.is_available(now)
        )

    def snapshot(self) -> dict[str, Any]:
        """Return the current state of the pool.

        Returns
        -------
        dict
            Waiting requests by class, number of running requests, and the state of
            each backend server.
        """
        waiting = {
            name: len(class_queue.requests)
            for name, class_queue in self.state.class_queues.items()
        }
        return {
            "pool": self.pool,
            "waiting": waiting,
            "running": len(self.running),
            "backends": [view.snapshot() for view in self.views.values()],
        }

    def snapshot_demand(self, now: float) -> dict[int, float]:
        """Return the smoothed demand of each tier.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        dict of int to float
            Smoothed numbers of waiting and running requests, by tier; tiers with no
            more than ``MIN_DEMAND`` are omitted.
        """
        levels = {
            t: d.smooth_n_requests(now) for t, d in self.state.demand_by_tier.items()
        }
        return {t: level for t, level in levels.items() if level > MIN_DEMAND}

    def snapshot_waiting(self) -> dict[int, int]:
        """Return the number of waiting requests of each tier.

        Returns
        -------
        dict of int to int
            Numbers of waiting requests, by tier; tiers without any are omitted.
        """
        return {
            t: d.n_waiting for t, d in self.state.demand_by_tier.items() if d.n_waiting
        }

    # Dispatch

    def _decide_next_assignment(self, now: float) -> Assignment | None:
        with_credit = self._find_class_with_credit(now)
        if with_credit is not None:
            return self._assign_from_class(with_credit, now, "min_share")
        class_queues = self.state.ordered_class_queues()
        for class_queue in class_queues:
            assignment = self._assign_from_class(class_queue, now, "tier")
            if assignment is not None:
                return assignment
        return self._assign_overflow(class_queues[0], now) if class_queues else None

    def _find_class_with_credit(self, now: float) -> ClassQueue | None:
        """Find a class with enough credit to be dispatched out of turn."""
        if not self.state.options.fair:
            return None
        for class_queue in self.state.class_queues.values():
            head = class_queue.requests.peek()
            if head is None or class_queue.credit < head.work:
                continue
            if has_slack(self.state, class_queue.tier, now) and self._rank_backends(
                head, now
            ):
                return class_queue
        return None

    def _assign_from_class(
        self, class_queue: ClassQueue, now: float, reason: str
    ) -> Assignment | None:
        """Dispatch the first job that can probe an ejected server or run on another.

        The jobs are the requeued ones, followed by the next jobs of each customer. A
        job that can probe an ejected server is sent there even if another server is
        eligible.
        """
        for job in class_queue.requests.list_head_jobs(MAX_CUSTOMERS_TRIED):
            probe = self._start_probe(job, now)
            if probe is not None:
                return self._dispatch(class_queue, job, probe, now, "probe", ())
            ranked = self._rank_backends(job, now)
            if ranked:
                backend = ranked[0].backend
                return self._dispatch(class_queue, job, backend, now, reason, ranked)
        return None

    def _start_probe(self, job: Job, now: float) -> str | None:
        if not self.state.options.fair:
            return None
        probe = choose_probe_target(job, self.views.values(), now)
        if probe is not None:
            self.views[probe].probed_at = now
        return probe

    def _assign_overflow(
        self, class_queue: ClassQueue, now: float
    ) -> Assignment | None:
        """Dispatch an urgent job beyond this node's share of an engine's slots."""
        job = class_queue.requests.peek()
        if job is None or not self.state.options.overflow:
            return None
        if not may_displace_others(self.state, job, now):
            return None
        if not self._is_urgent(job, now, OVERFLOW_URGENT_FRACTION):
            return None
        ranked = self._rank_backends(job, now, overflow=True)
        if not ranked:
            return None
        backend = ranked[0].backend
        return self._dispatch(class_queue, job, backend, now, "overflow", ranked)

    def _rank_backends(
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
        class_queue: ClassQueue,
        job: Job,
        backend: str,
        now: float,
        reason: str,
        ranked: tuple[Candidate, ...],
    ) -> Assignment:
        class_queue.requests.pop(job)
        self._account_dispatch(class_queue, job)
        return self._record_dispatch(job, backend, now, reason, ranked)

    def _record_dispatch(
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
        self.running[job.request_id] = RunningJob(job, backend, now)
        self.state.adjust_waiting(job, -1, now)
        self.state.demand_by_tier[job.tier].n_in_flight += 1
        return Assignment(job, backend, now, reason, ranked)

    def _account_dispatch(self, class_queue: ClassQueue, job: Job) -> None:
        """Charge a dispatch to its class and credit the other waiting classes.

        Each other class with waiting requests is credited with its ``min_share`` of
        the work. Its credit is limited to ``MAX_CREDIT_JOBS`` times the work of its
        next request.
        """
        class_queue.served += job.work
        class_queue.credit = max(0.0, class_queue.credit - job.work)
        for other in self.state.class_queues.values():
            head = other.requests.peek()
            if other is class_queue or head is None:
                continue
            cap = head.work * MAX_CREDIT_JOBS
            other.credit = min(cap, other.credit + other.min_share * job.work)

    # Refusal

    def _may_refuse_early(self, job: Job) -> bool:
        return not self.state.has_waiting_below(job.tier)

    def _shed_waiting(self, now: float) -> list[Shed]:
        """Refuse waiting jobs that would miss their deadlines or exceed the queue."""
        sheds: list[Shed] = []
        class_queues = sorted(
            self.state.class_queues.values(), key=lambda class_queue: -class_queue.tier
        )
        for class_queue in class_queues:
            excess = self.state.n_waiting - self.state.options.max_queue_length
            to_shed = self._find_late(class_queue, now)
            to_shed += self._find_excess(class_queue, excess - len(to_shed), to_shed)
            for job, wait, code in to_shed:
                self.state.remove(job, now)
                sheds.append(self._make_shed(job, code, wait, now))
        return sheds

    def _find_late(
        self, class_queue: ClassQueue, now: float
    ) -> list[tuple[Job, float, str]]:
        n_ahead = sum(
            len(other.requests)
            for other in self.state.class_queues.values()
            if other is not class_queue and other.tier <= class_queue.tier
        )
        if not len(class_queue.requests):
            return []
        late = []
        n_free = count_free_slots(
            self.state, now, stop_above=n_ahead + len(class_queue.requests)
        )
        rate = compute_drain_rate(self.state, class_queue.tier, now)
        urgent_slots: dict[bool, int] = {}
        for job in class_queue.requests.list_in_order():
            heavy = class_queue.requests.is_heavy(job.customer, now)
            if heavy not in urgent_slots:
                urgent_slots[heavy] = count_urgent_slots(self.state, job, now)
            wait = max(0, n_ahead - n_free - urgent_slots[heavy]) / rate
            if self._is_late(job, wait, now):
                late.append((job, wait, "deadline"))
            else:
                n_ahead += 1
        return late

    def _is_late(self, job: Job, wait: float, now: float) -> bool:
        if job.resumed:
            return now - job.requeued_at > MAX_RESUME_WAIT
        allowed = compute_latest_start(self.state, job) - now
        if allowed <= 0:
            return True
        if not self.state.options.fair or not self._may_refuse_early(job):
            return False
        return wait > allowed * SHED_MARGIN

    def _find_excess(
        self,
        class_queue: ClassQueue,
        excess: int,
        to_shed: list[tuple[Job, float, str]],
    ) -> list[tuple[Job, float, str]]:
        """Find the last jobs of a class by which the pool's queue is too long."""
        if excess <= 0:
            return []
        shed_ids = {id(job) for job, _, _ in to_shed}
        kept = [
            job
            for job in reversed(class_queue.requests.list_in_order())
            if not job.resumed and id(job) not in shed_ids
        ]
        return [(job, 0.0, "queue_full") for job in kept[:excess]]

    def _make_shed(self, job: Job, code: str, wait: float, now: float) -> Shed:
        rate = compute_drain_rate(self.state, job.tier, now)
        drain_time = self.state.n_waiting / rate
        retry_after = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, drain_time))
        allowed = compute_latest_start(self.state, job) - now
        return Shed(job, code, wait, allowed, retry_after)

    # Preemption

    def _preempt(self, now: float) -> list[Preemption]:
        options = self.state.options
        if not (options.preempt and options.fair):
            return []
        pending = sum(run.preempted for run in self.running.values())
        decisions = []
        for class_queue in self.state.ordered_class_queues():
            for job in class_queue.requests.list_in_order():
                if not may_displace_others(self.state, job, now):
                    continue
                if not self._is_urgent(job, now, self._find_urgent_fraction(job)):
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

    def _find_urgent_fraction(self, job: Job) -> float:
        has_lower = any(run.job.tier > job.tier for run in self.running.values())
        return LOWER_TIER_URGENT_FRACTION if has_lower else SAME_TIER_URGENT_FRACTION

    def _is_urgent(self, job: Job, now: float, fraction: float) -> bool:
        latest = compute_latest_start(self.state, job)
        return latest - now < (latest - job.arrived_at) * fraction

    def _eject_slow_servers(self, now: float) -> None:
        self._ejections_decided_at = now
        if not self.state.options.fair:
            return
        for name, event in decide_ejections(list(self.views.values())):
            self.views[name].observe(event)
