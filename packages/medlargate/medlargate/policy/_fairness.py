"""Fair order among the customers of one class by work done."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from ._demand import DecayingRate
from ._types import Job

MAX_IDLE_LANES = 4096
CREDIT_JOBS = 2
ACTIVE_TIMEOUT = 60.0  # seconds
HEAVY_RATIO = 5.0
OFFER_WINDOW = 30.0  # seconds
HEAVY_INTERVAL = 1.0  # seconds


@dataclass(slots=True)
class _Lane:
    customer: str
    weight: float = 1.0
    virtual_time: float = 0.0
    active_at: float = float("-inf")
    offered: DecayingRate = field(default_factory=lambda: DecayingRate(OFFER_WINDOW))
    jobs: deque[Job] = field(default_factory=deque)


class FairQueue:
    """The waiting jobs of one class, ordered by weighted virtual time.

    Notes
    -----
    Start-time fair queueing: a customer's virtual time grows by work over weight.
    A customer that was idle for ``ACTIVE_TIMEOUT`` starts at the class's virtual
    time, so that idling banks no credit; one that merely has nothing waiting at
    this moment keeps what it lacks, up to ``CREDIT_JOBS``. Work done by other nodes
    is taken in by ``observe_work``, which makes the order fair across nodes as well.

    Examples
    --------
    >>> queue = FairQueue()
    >>> queue.push(Job("r1", "a", "c", "m", 0, 0.0, 1.0))
    >>> queue.pop().request_id
    'r1'
    """

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane] = {}
        self._ready: SortedList = SortedList()
        self.virtual_time = 0.0
        self.n_jobs = 0
        self._returned: deque[Job] = deque()
        self._heavy: frozenset[str] = frozenset()
        self._heavy_at = float("-inf")

    def __len__(self) -> int:
        return self.n_jobs

    def __iter__(self) -> Iterator[Job]:
        yield from self._returned
        for lane in self._lanes.values():
            yield from lane.jobs

    def _lane(self, customer: str, weight: float) -> _Lane:
        lane = self._lanes.get(customer)
        if lane is None:
            if len(self._lanes) >= MAX_IDLE_LANES:
                self._drop_idle_lanes()
            lane = _Lane(customer, weight, self.virtual_time)
            self._lanes[customer] = lane
        return lane

    def _drop_idle_lanes(self) -> None:
        idle = [
            name
            for name, lane in self._lanes.items()
            if not lane.jobs and lane.virtual_time <= self.virtual_time
        ]
        for name in idle:
            del self._lanes[name]

    def push(self, job: Job, *, first: bool = False) -> None:
        """Add a job.

        Parameters
        ----------
        job : Job
            The request.
        first : bool, default=False
            For a job that was dispatched before: it goes before all others, or,
            for a heavy customer, before that customer's others.
        """
        if first and job.customer not in self._heavy:
            self._returned.append(job)
            self.n_jobs += 1
            return
        lane = self._lane(job.customer, job.weight)
        lane.weight = job.weight
        if not lane.jobs:
            credit = 0.0
            if job.arrived_at - lane.active_at < ACTIVE_TIMEOUT:
                credit = CREDIT_JOBS * job.work / lane.weight
            floor = self.virtual_time - credit
            lane.virtual_time = max(lane.virtual_time, floor)
            self._ready.add((lane.virtual_time, lane.customer))
        lane.active_at = max(lane.active_at, job.arrived_at)
        if first:
            lane.jobs.appendleft(job)
        else:
            lane.jobs.append(job)
        self.n_jobs += 1

    def peek(self) -> Job | None:
        """Return the job that ``pop`` would return.

        Returns
        -------
        Job or None
            None when nothing waits.
        """
        if self._returned:
            return self._returned[0]
        if not self._ready:
            return None
        return self._lanes[self._ready[0][1]].jobs[0]

    def list_head_jobs(self, max_heads: int) -> list[Job]:
        """List the first jobs of the customers that are next.

        Parameters
        ----------
        max_heads : int
            Most customers to look at.

        Returns
        -------
        list of Job
            One for each customer, furthest under its share first.
        """
        returned = list(self._returned)[:max_heads]
        return returned + [
            self._lanes[customer].jobs[0] for _, customer in self._ready[:max_heads]
        ]

    def pop(self, job: Job | None = None) -> Job:
        """Remove a job and charge its estimated work.

        Parameters
        ----------
        job : Job or None
            One of ``heads``; the first one by default.

        Returns
        -------
        Job
            The job.
        """
        job = job or self.peek()
        assert job is not None
        self.n_jobs -= 1
        if job in self._returned:
            self._returned.remove(job)
            return job
        customer = job.customer
        lane = self._lanes[customer]
        self._ready.remove((lane.virtual_time, customer))
        lane.jobs.popleft()
        self.virtual_time = max(self.virtual_time, lane.virtual_time)
        charge = max(0.0, job.work - job.charged_work)
        job.charged_work += charge
        lane.virtual_time += charge / lane.weight
        if lane.jobs:
            self._ready.add((lane.virtual_time, customer))
        return job

    def remove(self, job: Job) -> None:
        """Take a job out, for instance because its caller went away.

        Parameters
        ----------
        job : Job
            A waiting job.
        """
        self.n_jobs -= 1
        if job in self._returned:
            self._returned.remove(job)
            return
        lane = self._lanes[job.customer]
        lane.jobs.remove(job)
        if not lane.jobs:
            self._ready.discard((lane.virtual_time, lane.customer))

    def observe_work(self, customer: str, weight: float, work: float) -> None:
        """Charge work beyond the estimate, or done by another node.

        Parameters
        ----------
        customer : str
            Whose work.
        weight : float
            The customer's share.
        work : float
            Output-token equivalents; negative for an estimate that was too high.
        """
        lane = self._lane(customer, weight)
        if lane.jobs:
            self._ready.discard((lane.virtual_time, customer))
        lane.virtual_time += work / weight
        if lane.jobs:
            self._ready.add((lane.virtual_time, customer))

    def observe_arrival(self, job: Job, now: float) -> None:
        """Take in what a customer asks for, served or not.

        Parameters
        ----------
        job : Job
            An arriving request.
        now : float
            Seconds.
        """
        lane = self._lane(job.customer, job.weight)
        lane.offered.observe(now, job.work / lane.weight)

    def is_heavy(self, customer: str, now: float) -> bool:
        """Tell whether a customer offers far more than the others.

        Parameters
        ----------
        customer : str
            Its name.
        now : float
            Seconds.

        Returns
        -------
        bool
            True above ``HEAVY_RATIO`` times the mean of the other active customers.
        """
        return customer in self._find_heavy(now)

    def has_heavy(self, now: float) -> bool:
        """Tell whether any customer offers far more than the others.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            True when ``is_heavy`` holds for one of them.
        """
        return bool(self._find_heavy(now))

    def _find_heavy(self, now: float) -> frozenset[str]:
        if now - self._heavy_at < HEAVY_INTERVAL:
            return self._heavy
        self._heavy_at = now
        rates = {n: lane.offered.get_rate(now) for n, lane in self._lanes.items()}
        active = {n: rate for n, rate in rates.items() if rate > 1e-3}
        total, n_others = sum(active.values()), len(active) - 1
        self._heavy = frozenset(
            name
            for name, rate in active.items()
            if n_others and rate > HEAVY_RATIO * (total - rate) / n_others
        )
        return self._heavy

    def count_ahead(self, job: Job) -> float:
        """Estimate how many waiting jobs of the class go before a new job.

        Parameters
        ----------
        job : Job
            A job that does not wait yet.

        Returns
        -------
        float
            Number of jobs, counting for each customer no more than its weighted
            share of what this job's customer already has waiting.
        """
        own = self._lanes.get(job.customer)
        n_own = len(own.jobs) + 1 if own else 1
        start = max(own.virtual_time if own else 0.0, self.virtual_time)
        finish = start + n_own * job.work / job.weight
        ahead = float(n_own - 1 + len(self._returned))
        for _, customer in self._ready:
            if customer == job.customer:
                continue
            lane = self._lanes[customer]
            room = (finish - lane.virtual_time) * lane.weight / max(job.work, 1.0)
            ahead += min(len(lane.jobs), max(0.0, room))
        return ahead

    def list_in_order(self) -> list[Job]:
        """List the waiting jobs in the order in which they would be popped.

        Returns
        -------
        list of Job
            All waiting jobs.
        """
        keyed = []
        for lane in self._lanes.values():
            virtual_time = lane.virtual_time
            for job in lane.jobs:
                keyed.append((virtual_time, lane.customer, job))
                virtual_time += job.work / lane.weight
        keyed.sort(key=lambda item: item[:2])
        return [*self._returned, *(job for _, _, job in keyed)]

    def snapshot(self) -> dict[str, float]:
        """Report each active customer's lead over the class's virtual time.

        Returns
        -------
        dict of str to float
            Work over weight beyond the class's virtual time.
        """
        return {
            lane.customer: lane.virtual_time - self.virtual_time
            for lane in self._lanes.values()
            if lane.jobs or lane.virtual_time > self.virtual_time
        }
