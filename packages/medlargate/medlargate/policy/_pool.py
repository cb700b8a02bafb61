"""State of one pool's scheduler, and what it counts."""

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
    """How a pool is scheduled.

    Attributes
    ----------
    domain : str
        This node's failure domain, which is preferred.
    max_queue_length : int
        Waiting requests; more are refused.
    fair : bool
        False serves first come, first served, as a baseline.
    preempt : bool
        Lower-tier streams may yield their slots to urgent higher-tier requests.
    overflow : bool
        Urgent requests may go beyond this node's share of an engine.
    choose : callable
        Ranks the backend servers for a job.
    """

    domain: str = ""
    max_queue_length: int = MAX_QUEUE_LENGTH
    fair: bool = True
    preempt: bool = True
    overflow: bool = True
    ranking: Callable[..., tuple[Candidate, ...]] = rank_backends


@dataclass(slots=True)
class ClassLane:
    """The waiting requests of one class.

    Attributes
    ----------
    tier : int
        0 is the highest.
    min_share : float
        Part of the capacity that the class gets from slack.
    queue : FairQueue
        The requests.
    credit : float
        Work that the class may dispatch from slack.
    served : float
        Work dispatched, for turns among the classes of one tier.
    """

    tier: int
    min_share: float
    queue: FairQueue = field(default_factory=FairQueue)
    credit: float = 0.0
    served: float = 0.0


@dataclass(slots=True)
class Running:
    """A dispatched request.

    Attributes
    ----------
    job : Job
        The request.
    backend : str
        Where it runs.
    started_at : float
        Seconds.
    delivering : bool
        Its first token has come.
    preempted : bool
        It was told to yield and has not ended yet.
    """

    job: Job
    backend: str
    started_at: float
    delivering: bool = False
    preempted: bool = False


@dataclass(slots=True)
class PoolState:
    """Everything that the decisions about one pool look at.

    Attributes
    ----------
    options : PoolOptions
        How the pool is scheduled.
    views : dict of str to BackendView
        Its backend servers.
    lanes : dict of str to ClassLane
        Waiting requests by class.
    tiers : dict of int to TierDemand
        Demand by tier.
    running : dict of str to Running
        This node's dispatched requests.
    remote_waiting : dict of int to int
        Requests that wait on other nodes, by tier.
    """

    options: PoolOptions
    views: dict[str, BackendView] = field(default_factory=dict)
    lanes: dict[str, ClassLane] = field(default_factory=dict)
    tiers: dict[int, TierDemand] = field(
        default_factory=lambda: defaultdict(TierDemand)
    )
    running: dict[str, Running] = field(default_factory=dict)
    remote_waiting: dict[int, int] = field(default_factory=dict)

    @property
    def n_waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(lane.queue) for lane in self.lanes.values())

    def find_lane(self, job: Job) -> ClassLane:
        """Find the lane of a job's class, or make it.

        Parameters
        ----------
        job : Job
            The request, whose tier and share are taken over.

        Returns
        -------
        ClassLane
            The lane.
        """
        lane = self.lanes.get(job.class_name)
        if lane is None:
            lane = self.lanes[job.class_name] = ClassLane(job.tier, job.min_share)
        lane.tier = job.tier
        lane.min_share = job.min_share
        return lane

    def enqueue(self, job: Job, now: float, *, first: bool = False) -> None:
        """Let a job wait.

        Parameters
        ----------
        job : Job
            The request.
        now : float
            Seconds.
        first : bool, default=False
            Before the customer's other requests.
        """
        self.find_lane(job).queue.push(job, first=first)
        self.count_waiting(job, 1, now)

    def remove(self, job: Job, now: float) -> None:
        """Take a waiting job out.

        Parameters
        ----------
        job : Job
            The request.
        now : float
            Seconds.
        """
        self.lanes[job.class_name].queue.remove(job)
        self.count_waiting(job, -1, now)

    def count_waiting(self, job: Job, change: int, now: float) -> None:
        """Count a job in or out of its tier's waiting ones.

        Parameters
        ----------
        job : Job
            The request.
        change : int
            1 or -1.
        now : float
            Seconds.
        """
        demand = self.tiers[job.tier]
        demand.smooth_n_requests(now)
        demand.n_waiting += change

    def ordered_lanes(self) -> list[ClassLane]:
        """List the lanes with waiting requests in the order of service.

        Returns
        -------
        list of ClassLane
            By tier, then by work served; by age without fairness.
        """
        waiting = [lane for lane in self.lanes.values() if len(lane.queue)]
        if not self.options.fair:
            return sorted(waiting, key=_oldest_arrival)
        return sorted(waiting, key=lambda lane: (lane.tier, lane.served))

    def has_waiting_below(self, tier: int) -> bool:
        """Tell whether a request of a lower tier waits, here or elsewhere.

        Parameters
        ----------
        tier : int
            A tier.

        Returns
        -------
        bool
            As far as this node knows.
        """
        if any(other > tier and n for other, n in self.remote_waiting.items()):
            return True
        return any(lane.tier > tier and len(lane.queue) for lane in self.lanes.values())

    def has_backend(self, job: Job) -> bool:
        """Tell whether any backend server could ever take a job.

        Parameters
        ----------
        job : Job
            The request.

        Returns
        -------
        bool
            False when all are leaving, gone or forbidden.
        """
        return any(
            view.state not in ("leaving", "gone")
            and (job.cheap_allowed or not view.cheap)
            for view in self.views.values()
        )


def _oldest_arrival(lane: ClassLane) -> float:
    return min(job.arrived_at for job in lane.queue)
