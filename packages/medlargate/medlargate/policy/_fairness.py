"""Weighted fair queueing among the customers of one class, by work."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from heapq import merge
from operator import itemgetter

from sortedcontainers import SortedList

from ._demand import DecayingRate
from ._types import Job

IDLE_CLEANUP_THRESHOLD = 4096
CREDIT_JOBS = 2
ACTIVE_TIMEOUT = 60.0  # seconds
HEAVY_RATIO = 5.0
OFFERED_LOAD_WINDOW = 30.0  # seconds
HEAVY_UPDATE_INTERVAL = 1.0  # seconds


class _JobQueue:
    """Ordered jobs of one customer.

    Jobs that may run on different servers are kept apart, so that the first of each
    kind is found without a search.
    """

    def __init__(self) -> None:
        self._lanes: dict[Hashable, deque[tuple[int, Job]]] = {}
        self._n_jobs = 0
        self._n_added = 0

    def __len__(self) -> int:
        return self._n_jobs

    def __iter__(self) -> Iterator[Job]:
        for _, job in merge(*self._lanes.values(), key=itemgetter(0)):
            yield job

    def add(self, job: Job, *, first: bool = False) -> None:
        """Add a job at the end, or before all others."""
        self._n_added += 1
        self._n_jobs += 1
        kind = job.cheap_allowed, job.isolated, frozenset(job.excluded_backends)
        lane = self._lanes.setdefault(kind, deque())
        if first:
            lane.appendleft((-self._n_added, job))
        else:
            lane.append((self._n_added, job))

    def remove(self, job: Job) -> None:
        """Remove a job, which is found at once if it is one of ``list_heads``."""
        kinds = [kind for kind, lane in self._lanes.items() if lane[0][1] is job]
        for kind in kinds or self._lanes:
            lane = self._lanes[kind]
            index = next((i for i, row in enumerate(lane) if row[1] is job), None)
            if index is not None:
                del lane[index]
                self._n_jobs -= 1
                if not lane:
                    del self._lanes[kind]
                return
        raise ValueError(f"request {job.request_id} is not queued")

    def list_heads(self) -> list[Job]:
        """List the first job of each kind, in order."""
        heads = [lane[0] for lane in self._lanes.values()]
        if len(heads) > 1:
            heads.sort()
        return [job for _, job in heads]


@dataclass(slots=True)
class _CustomerQueue:
    customer: str
    weight: float = 1.0
    virtual_time: float = 0.0
    active_at: float = float("-inf")
    offered_load: DecayingRate = field(
        default_factory=lambda: DecayingRate(OFFERED_LOAD_WINDOW)
    )
    jobs: _JobQueue = field(default_factory=_JobQueue)


class FairQueue:
    """Queue of the waiting jobs of one class, ordered by weighted virtual time.

    Attributes
    ----------
    virtual_time : float
        Virtual time of the class: the largest virtual time, in work over weight, at
        which a customer's job has been dispatched.
    n_jobs : int
        Number of waiting jobs.

    Notes
    -----
    The order is start-time fair queueing: a customer's virtual time advances by the
    work of its jobs over its weight. A customer that was idle for ``ACTIVE_TIMEOUT``
    seconds resumes at the class's virtual time, so that idle time earns no credit. A
    customer whose queue is empty for a shorter time keeps its lag behind the class's
    virtual time, up to the work of ``CREDIT_JOBS`` jobs. Work done by other nodes is
    charged by ``observe_work``, so that the order is fair across nodes as well.

    Examples
    --------
    >>> queue = FairQueue()
    >>> queue.push(Job("r1", "a", "c", "m", 0, 0.0, 1.0))
    >>> queue.pop().request_id
    'r1'
    """

    def __init__(self) -> None:
        self._customer_queues: dict[str, _CustomerQueue] = {}
        self._backlogged: SortedList = SortedList()
        self.virtual_time = 0.0
        self.n_jobs = 0
        self._requeued: deque[Job] = deque()
        self._heavy_customers: frozenset[str] = frozenset()
        self._heavy_updated_at = float("-inf")

    def __len__(self) -> int:
        return self.n_jobs

    def __iter__(self) -> Iterator[Job]:
        yield from self._requeued
        for queue in self._customer_queues.values():
            yield from queue.jobs

    def _get_customer_queue(self, customer: str, weight: float) -> _CustomerQueue:
        queue = self._customer_queues.get(customer)
        if queue is None:
            if len(self._customer_queues) >= IDLE_CLEANUP_THRESHOLD:
                self._drop_idle_queues()
            queue = _CustomerQueue(customer, weight, self.virtual_time)
            self._customer_queues[customer] = queue
        return queue

    def _drop_idle_queues(self) -> None:
        idle = [
            name
            for name, queue in self._customer_queues.items()
            if not queue.jobs and queue.virtual_time <= self.virtual_time
        ]
        for name in idle:
            del self._customer_queues[name]

    def push(self, job: Job, *, first: bool = False) -> None:
        """Add a job to the queue.

        Parameters
        ----------
        job : Job
            Request to wait.
        first : bool, default=False
            Whether the job was dispatched before. Such a job precedes all jobs that
            were not, or, for a heavy customer, only that customer's other jobs.
        """
        if first and job.customer not in self._heavy_customers:
            self._requeued.append(job)
            self.n_jobs += 1
            return
        queue = self._get_customer_queue(job.customer, job.weight)
        queue.weight = job.weight
        if not queue.jobs:
            credit = 0.0
            if job.arrived_at - queue.active_at < ACTIVE_TIMEOUT:
                credit = CREDIT_JOBS * job.work / queue.weight
            floor = self.virtual_time - credit
            queue.virtual_time = max(queue.virtual_time, floor)
            self._backlogged.add((queue.virtual_time, queue.customer))
        queue.active_at = max(queue.active_at, job.arrived_at)
        queue.jobs.add(job, first=first)
        self.n_jobs += 1

    def peek(self) -> Job | None:
        """Return the job that ``pop`` would return, without removing it.

        Returns
        -------
        Job or None
            First job of the queue; None when the queue is empty.
        """
        if self._requeued:
            return self._requeued[0]
        if not self._backlogged:
            return None
        return self._customer_queues[self._backlogged[0][1]].jobs.list_heads()[0]

    def list_head_jobs(self, max_heads: int) -> list[Job]:
        """List the requeued jobs and the first jobs of each customer that is next.

        Parameters
        ----------
        max_heads : int
            Maximum number of requeued jobs, and of customers.

        Returns
        -------
        list of Job
            Requeued jobs, then for each customer, in ascending order of virtual time,
            the first job and the first of those that may run on other servers.
        """
        returned = list(self._requeued)[:max_heads]
        return returned + [
            job
            for _, customer in self._backlogged[:max_heads]
            for job in self._customer_queues[customer].jobs.list_heads()
        ]

    def pop(self, job: Job | None = None) -> Job:
        """Remove a job and charge its estimated work to the customer.

        Parameters
        ----------
        job : Job or None
            Job from ``list_head_jobs``; None removes the first job of the queue.

        Returns
        -------
        Job
            Removed job. A requeued job is not charged twice.
        """
        job = job or self.peek()
        assert job is not None
        self.n_jobs -= 1
        if job in self._requeued:
            self._requeued.remove(job)
            return job
        customer = job.customer
        queue = self._customer_queues[customer]
        self._backlogged.remove((queue.virtual_time, customer))
        queue.jobs.remove(job)
        self.virtual_time = max(self.virtual_time, queue.virtual_time)
        charge = max(0.0, job.work - job.charged_work)
        job.charged_work += charge
        queue.virtual_time += charge / queue.weight
        if queue.jobs:
            self._backlogged.add((queue.virtual_time, customer))
        return job

    def remove(self, job: Job) -> None:
        """Remove a job without a charge, for example after a client disconnect.

        Parameters
        ----------
        job : Job
            Waiting job.
        """
        self.n_jobs -= 1
        if job in self._requeued:
            self._requeued.remove(job)
            return
        queue = self._customer_queues[job.customer]
        queue.jobs.remove(job)
        if not queue.jobs:
            self._backlogged.discard((queue.virtual_time, queue.customer))

    def observe_work(self, customer: str, weight: float, work: float) -> None:
        """Charge work that exceeds the estimate or was done by another node.

        Parameters
        ----------
        customer : str
            Name of the customer.
        weight : float
            Weight of the customer within the class.
        work : float
            Work in output-token equivalents; negative to refund an estimate that was
            too high.
        """
        queue = self._get_customer_queue(customer, weight)
        if queue.jobs:
            self._backlogged.discard((queue.virtual_time, customer))
        queue.virtual_time += work / weight
        if queue.jobs:
            self._backlogged.add((queue.virtual_time, customer))

    def observe_arrival(self, job: Job, now: float) -> None:
        """Add an arriving job to the customer's offered load.

        Parameters
        ----------
        job : Job
            Arriving request, whether it is served or not.
        now : float
            Current time, in seconds.
        """
        queue = self._get_customer_queue(job.customer, job.weight)
        queue.offered_load.observe(now, job.work / queue.weight)

    def is_heavy(self, customer: str, now: float) -> bool:
        """Return whether a customer's offered load far exceeds that of the others.

        Parameters
        ----------
        customer : str
            Name of the customer.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            True when the customer's offered load over its weight exceeds
            ``HEAVY_RATIO`` times the mean of the other active customers.
        """
        return customer in self._find_heavy(now)

    def has_heavy_customers(self, now: float) -> bool:
        """Return whether any customer is heavy.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            True when ``is_heavy`` holds for at least one customer.
        """
        return bool(self._find_heavy(now))

    def _find_heavy(self, now: float) -> frozenset[str]:
        if now - self._heavy_updated_at < HEAVY_UPDATE_INTERVAL:
            return self._heavy_customers
        self._heavy_updated_at = now
        rates = {
            n: queue.offered_load.get_rate(now)
            for n, queue in self._customer_queues.items()
        }
        active = {n: rate for n, rate in rates.items() if rate > 1e-3}
        total, n_others = sum(active.values()), len(active) - 1
        self._heavy_customers = frozenset(
            name
            for name, rate in active.items()
            if n_others and rate > HEAVY_RATIO * (total - rate) / n_others
        )
        return self._heavy_customers

    def count_ahead(self, job: Job) -> float:
        """Estimate how many waiting jobs of the class precede a new job.

        Parameters
        ----------
        job : Job
            Job that is not in the queue yet.

        Returns
        -------
        float
            Estimated number of jobs. Another customer's jobs count only as far as its
            virtual time stays below the virtual finish time of the new job, each
            taken to have the work of the new job.
        """
        own = self._customer_queues.get(job.customer)
        n_own = len(own.jobs) + 1 if own else 1
        start = max(own.virtual_time if own else 0.0, self.virtual_time)
        finish = start + n_own * job.work / job.weight
        ahead = float(n_own - 1 + len(self._requeued))
        for _, customer in self._backlogged:
            if customer == job.customer:
                continue
            queue = self._customer_queues[customer]
            n_before = (finish - queue.virtual_time) * queue.weight / max(job.work, 1.0)
            ahead += min(len(queue.jobs), max(0.0, n_before))
        return ahead

    def list_in_order(self) -> list[Job]:
        """List all waiting jobs in the order in which ``pop`` would return them.

        Returns
        -------
        list of Job
            Waiting jobs, first the requeued ones.
        """
        keyed = []
        for queue in self._customer_queues.values():
            virtual_time = queue.virtual_time
            for job in queue.jobs:
                keyed.append((virtual_time, queue.customer, job))
                virtual_time += job.work / queue.weight
        keyed.sort(key=lambda item: item[:2])
        return [*self._requeued, *(job for _, _, job in keyed)]

    def snapshot(self) -> dict[str, float]:
        """Return each active customer's lead over the class's virtual time.

        Returns
        -------
        dict of str to float
            Difference of the customer's and the class's virtual time, in work over
            weight, by customer.
        """
        return {
            queue.customer: queue.virtual_time - self.virtual_time
            for queue in self._customer_queues.values()
            if queue.jobs or queue.virtual_time > self.virtual_time
        }
