"""Facts and decisions of the policy package."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._verdict import Verdict

PROMPT_PRICE = 0.1
CACHED_PROMPT_PRICE = 0.01
OUTPUT_PRICE = 1.0


def compute_work(prompt: float, cached: float, output: float) -> float:
    """Price tokens in units of one output token.

    Parameters
    ----------
    prompt, cached, output : float
        Tokens: uncached prompt, cached prompt, output.

    Returns
    -------
    float
        Work in output-token equivalents.

    Examples
    --------
    >>> compute_work(100, 0, 10)
    20.0
    """
    return prompt * PROMPT_PRICE + cached * CACHED_PROMPT_PRICE + output * OUTPUT_PRICE


@dataclass(slots=True, eq=False)
class Job:
    """One request as the policy sees it.

    Attributes
    ----------
    request_id, customer, class_name, pool : str
        Identity; ``pool`` is the model or plain service that it needs.
    tier : int
        0 is the highest.
    weight : float
        The customer's share within the class.
    arrived_at, deadline : float
        Seconds on the policy's clock; ``deadline`` bounds the first token.
    token_interval : float
        The class's target between tokens, seconds.
    work : float
        Estimated work in output-token equivalents.
    min_share : float
        Part of the capacity that its class gets from slack.
    repeatable, cheap_allowed : bool
        May be sent again; may run on cheap backend servers.
    prefix : int
        Hash of the prompt's first block; 0 for none.
    prompt_tokens : int
        Estimated length of the prompt.
    fingerprint : str
        Identifies the same request sent again; see ``CrashTracker``.
    excluded : set of str
        Backend servers that must not get it.
    isolated : bool
        Must not share a backend server with another suspect.
    charged : float
        Work already charged to the customer.
    resumed : bool
        It may have run already; its caller may have part of the answer.
    returned_at : float
        When it last came back from a dispatch, seconds.
    n_preemptions : int
        How often it had to yield its slot.
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
    returned_at: float = 0.0
    n_preemptions: int = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """One backend server's score for one job.

    Attributes
    ----------
    backend : str
        Its name.
    expected_first_token : float
        Seconds.
    load : float
        Requests in flight over the limit.
    cached : bool
        Its prefix cache is believed to hold the prompt's start.
    """

    backend: str
    expected_first_token: float
    load: float
    cached: bool


@dataclass(frozen=True, slots=True)
class Assignment:
    """A job goes to a backend server.

    Attributes
    ----------
    job : Job
        The request.
    backend : str
        Where it goes.
    at : float
        When, on the policy's clock.
    reason : str
        ``"tier"``, ``"min_share"`` or ``"probe"``.
    candidates : tuple of Candidate
        Every backend server considered, best first.
    """

    job: Job
    backend: str
    at: float
    reason: str
    candidates: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class Shed:
    """A job is refused; it has not run unless it was resumed.

    Attributes
    ----------
    job : Job
        The request.
    code : str
        ``"deadline"``, ``"queue_full"`` or ``"no_backend"``.
    expected_wait : float
        Seconds the job would have waited.
    allowed_wait : float
        Seconds until its deadline.
    retry_after : float
        Seconds after which another attempt makes sense.
    """

    job: Job
    code: str
    expected_wait: float
    allowed_wait: float
    retry_after: float

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return Verdict.MAY_HAVE_RUN if self.job.resumed else Verdict.NOT_RUN


@dataclass(frozen=True, slots=True)
class Preemption:
    """A running lower-tier stream yields its slot and is resumed later.

    Attributes
    ----------
    victim : Job
        The stream to cancel; its ``resumed`` flag is set by the caller.
    backend : str
        Where it runs.
    beneficiary : str
        Request id of the higher-tier job that waits.
    """

    victim: Job
    backend: str
    beneficiary: str
