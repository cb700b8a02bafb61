"""Requests, candidate scores and decisions of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._verdict import Verdict

PROMPT_TOKEN_WORK = 0.1
CACHED_PROMPT_TOKEN_WORK = 0.01
OUTPUT_TOKEN_WORK = 1.0


def compute_work(prompt: float, cached: float, output: float) -> float:
    """Compute the work of a request, where an output token counts as 1.

    Parameters
    ----------
    prompt, cached, output : float
        Numbers of uncached prompt tokens, cached prompt tokens and output tokens.

    Returns
    -------
    float
        Work in output-token equivalents.

    Examples
    --------
    >>> compute_work(100, 0, 10)
    20.0
    """
    return (
        prompt * PROMPT_TOKEN_WORK
        + cached * CACHED_PROMPT_TOKEN_WORK
        + output * OUTPUT_TOKEN_WORK
    )


@dataclass(slots=True, eq=False)
class Job:
    """A request as the scheduler sees it.

    Attributes
    ----------
    request_id, customer, class_name, pool : str
        Names of the request, its customer, its request class, and the model or plain
        service that serves it.
    tier : int
        Priority tier; 0 is the highest.
    weight : float
        Weight of the customer among the customers of the class.
    arrived_at, deadline : float
        Time of arrival and latest time of the first token, in seconds on the
        scheduler's clock.
    token_interval : float
        Target time between two output tokens, in seconds.
    work : float
        Estimated work in output-token equivalents.
    min_share : float
        Fraction of the dispatched work that the request's class may dispatch out of
        turn when no higher tier is delayed.
    repeatable, cheap_allowed : bool
        Whether the request may be sent again after it may have run, and whether it
        may run on cheap backend servers.
    prefix_hash : int
        Hash of the first block of the prompt; 0 if there is none.
    prompt_tokens : int
        Estimated length of the prompt in tokens.
    fingerprint : str
        Identifier that repeated submissions of a request share; see
        ``CrashTracker``.
    excluded_backends : set of str
        Names of backend servers to which the request must not be sent.
    isolated : bool
        Whether the request is suspected of crashing servers and must not share a
        backend server with another suspect.
    charged_work : float
        Work already charged to the customer, in output-token equivalents.
    resumed : bool
        Whether an earlier attempt may have run, so that the caller may already have
        part of the answer.
    requeued_at : float
        Time of the last return to the queue after a dispatch, in seconds.
    n_preemptions : int
        Number of times that the request was preempted.
    """

    request_id: str
    customer: str
    class_name: str
    pool: str
    tier: int
    arrived_at: float
    deadline: float
    weight: float = 1.0
    token_interval: float = 0.026
    work: float = 100.0
    min_share: float = 0.05
    repeatable: bool = True
    cheap_allowed: bool = True
    prefix_hash: int = 0
    prompt_tokens: int = 0
    fingerprint: str = ""
    excluded_backends: set[str] = field(default_factory=set)
    isolated: bool = False
    charged_work: float = 0.0
    resumed: bool = False
    requeued_at: float = 0.0
    n_preemptions: int = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Score of a backend server for a job.

    Attributes
    ----------
    backend : str
        Name of the backend server.
    expected_first_token : float
        Expected time to the first token in seconds, with penalties; lower is better.
    load : float
        Requests in flight divided by the concurrency limit.
    cached : bool
        Whether the server's prefix cache is expected to hold the start of the prompt.
    """

    backend: str
    expected_first_token: float
    load: float
    cached: bool


@dataclass(frozen=True, slots=True)
class Assignment:
    """Decision to dispatch a job to a backend server.

    Attributes
    ----------
    job : Job
        Dispatched request.
    backend : str
        Name of the backend server.
    at : float
        Time of the decision, in seconds on the scheduler's clock.
    reason : str
        Rule that chose the job: ``"tier"``, ``"min_share"``, ``"probe"`` or
        ``"overflow"``.
    candidates : tuple of Candidate
        Backend servers that were considered, best first; empty for a probe.
    """

    job: Job
    backend: str
    at: float
    reason: str
    candidates: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class Shed:
    """Decision to refuse a job, which has not run unless it was resumed.

    Attributes
    ----------
    job : Job
        Refused request.
    code : str
        Reason: ``"deadline"``, ``"queue_full"`` or ``"no_backend"``.
    expected_wait : float
        Predicted waiting time, in seconds.
    allowed_wait : float
        Time until the latest start that meets the deadline, in seconds.
    retry_after : float
        Recommended delay before the caller's next attempt, in seconds.
    """

    job: Job
    code: str
    expected_wait: float
    allowed_wait: float
    retry_after: float

    @property
    def verdict(self) -> Verdict:
        """Whether the refused request may have run."""
        return Verdict.MAY_HAVE_RUN if self.job.resumed else Verdict.NOT_RUN


@dataclass(frozen=True, slots=True)
class Preemption:
    """Decision to cancel a running stream in favour of an urgent job.

    Attributes
    ----------
    victim : Job
        Stream to cancel and to resume later. Whoever carries out the decision sets
        its ``resumed`` flag.
    backend : str
        Name of the backend server that runs the stream.
    beneficiary : str
        Request id of the waiting job that gets the slot.
    """

    victim: Job
    backend: str
    beneficiary: str
