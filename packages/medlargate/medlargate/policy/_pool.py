"""Options and state of a pool's scheduler."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ._backends import BackendView
from ._choice import rank_backends
from ._demand import TierDemand
from ._fairness import FairQueue
from ._types import Candidate, Job

MAX_QUEUE_LENGTH = 10_000


@dataclass(frozen=True, slots=True)
class PoolOptions:
    """Scheduling options of a pool.

    Attributes
    ----------
    domain : str
        Failure domain of this node, whose servers are preferred.
    max_queue_length : int
        Maximum number of waiting requests; further requests are refused.
    fair : bool
        Whether to apply tiers, fair queueing and early refusal. False serves requests
        in order of arrival, as a baseline for comparison.
    preempt : bool
        Whether running streams may be preempted for urgent requests.
    overflow : bool
        Whether urgent requests may exceed this node's share of an engine's slots.
    ranking : callable
        Function that ranks the backend servers for a job; see ``rank_backends``.
    """

    domain: str = ""
    max_queue_length: int = MAX_QUEUE_LENGTH
    fair: bool = True
    preempt: bool = True
    overflow: bool = True
    ranking: Callable[..., tuple[Candidate, ...]] = rank_backends


@dataclass(slots=True)
class ClassQueue:
    """Waiting requests and work counters of a request class.

    Attributes
    ----------
    tier : int
        Priority tier of the class; 0 is the highest.
    min_share : float
        Fraction of the work of other classes that is credited to this class while it
        has waiting requests.
    requests : FairQueue
        Waiting requests in fair order among customers.
    credit : float
        Work that the class may dispatch out of turn when no higher tier is delayed,
        in output-token equivalents.
    served : float
        Work dispatched so far, in output-token equivalents. Within a tier, the class
        with the least served work is dispatched first.
    """

    tier: int
    min_share: float
    requests: FairQueue = field(default_factory=FairQueue)
    credit: float = 0.0
    served: float = 0.0


@dataclass(slots=True)
class RunningJob:
    """Request that is running on a backend server.

    Attributes
    ----------
    job : Job
        Running request.
    backend : str
        Name of the backend server.
    started_at : float
        Time of the dispatch, in seconds.
    has_first_token : bool
        Whether the first token has arrived.
    preempted : bool
        Whether preemption was requested; the dispatch may not have ended yet.
    """

    job: Job
    backend: str
    started_at: float
    has_first_token: bool = False
    preempted: bool = False


@dataclass(slots=True)
class PoolState:
    """State of a pool on which scheduling decisions are based.

    Attributes
    ----------
    options : PoolOptions
        Scheduling options.
    views : dict of str to BackendView
        Backend servers of the pool, by name.
    class_queues : dict of str to ClassQueue
        Queues of waiting requests, by class name.
    demand_by_tier : dict of int to TierDemand
        Demand statistics, by tier.
    running : dict of str to RunningJob
        Requests that this node has dispatched, by request id.
    remote_waiting : dict of int to int
        Numbers of requests that wait on other nodes, by tier.
    """

    options: PoolOptions
    views: dict[str, BackendView] = field(default_factory=dict)
    class_queues: dict[str, ClassQueue] = field(default_factory=dict)
    demand_by_tier: dict[int, TierDemand] = field(
        default_factory=lambda: defaultdict(TierDemand)
    )
    running: dict[str, RunningJob] = field(default_factory=dict)
    remote_waiting: dict[int, int] = field(default_factory=dict)

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait on this node."""
        return sum(
            len(class_queue.requests) for class_queue in self.class_queues.values()
        )

    def get_class_queue(self, job: Job) -> ClassQueue:
        """Return the queue of a job's class, which is created if necessary.

        Parameters
        ----------
        job : Job
            Request whose class is looked up. Its tier and ``min_share`` are copied to
            the queue.

        Returns
        -------
        ClassQueue
            Queue of the class.
        """
        class_queue = self.class_queues.get(job.class_name)
        if class_queue is None:
            class_queue = self.class_queues[job.class_name] = ClassQueue(
                job.tier, job.min_share
            )
        class_queue.tier = job.tier
        class_queue.min_share = job.min_share
        return class_queue

    def enqueue(self, job: Job, now: float, *, first: bool = False) -> None:
        """Add a job to the queue of its class.

        Parameters
        ----------
        job : Job
            Request to add.
        now : float
            Current time in seconds.
        first : bool, default=False
            Whether to put the job before the other requests of its customer.
        """
        self.get_class_queue(job).requests.push(job, first=first)
        self.adjust_waiting(job, 1, now)

    def remove(self, job: Job, now: float) -> None:
        """Remove a waiting job from the queue of its class.

        Parameters
        ----------
        job : Job
            Request to remove.
        now : float
            Current time in seconds.
        """
        self.class_queues[job.class_name].requests.remove(job)
        self.adjust_waiting(job, -1, now)

    def adjust_waiting(self, job: Job, change: int, now: float) -> None:
        """Adjust the number of waiting requests of a job's tier.

        Parameters
        ----------
        job : Job
            Request that starts or stops waiting.
        change : int
            1 if the request starts waiting, -1 if it stops.
        now : float
            Current time in seconds.
        """
        demand = self.demand_by_tier[job.tier]
        demand.smooth_n_requests(now)
        demand.n_waiting += change

    def ordered_class_queues(self) -> list[ClassQueue]:
        """Return the queues with waiting requests in order of service.

        Returns
        -------
        list of ClassQueue
            Queues sorted by tier and then by served work, or by their oldest arrival
            if the option ``fair`` is off.
        """
        waiting = [
            class_queue
            for class_queue in self.class_queues.values()
            if len(class_queue.requests)
        ]
        if not self.options.fair:
            return sorted(waiting, key=_oldest_arrival)
        return sorted(waiting, key=lambda lane: (lane.tier, lane.served))

    def has_waiting_below(self, tier: int) -> bool:
        """Return whether a request of a lower tier waits on any node.

        Parameters
        ----------
        tier : int
            Tier to compare with; lower tiers have greater numbers.

        Returns
        -------
        bool
            True if such a request waits on this node, or on another one according to
            its last report.
        """
        if any(other > tier and n for other, n in self.remote_waiting.items()):
            return True
        return any(
            class_queue.tier > tier and len(class_queue.requests)
            for class_queue in self.class_queues.values()
        )

    def has_backend(self, job: Job) -> bool:
        """Return whether any backend server of the pool may run a job.

        Parameters
        ----------
        job : Job
            Request to run.

        Returns
        -------
        bool
            False if every server is leaving, gone, or cheap while the job does not
            allow cheap servers. Current load is not considered.
        """
        return any(
            view.state not in ("leaving", "gone")
            and (job.cheap_allowed or not view.cheap)
            for view in self.views.values()
        )


def _oldest_arrival(class_queue: ClassQueue) -> float:
    return min(job.arrived_at for job in class_queue.requests)
