"""Whether a failed dispatch may be sent again."""

from __future__ import annotations

from dataclasses import dataclass

from ._types import Job
from ._verdict import Verdict

MAX_ATTEMPTS = 3
BUDGET_FRACTION = 0.1
MAX_BUDGET = 20.0
MIN_BUDGET_RATE = 0.2  # retries per second without any success


@dataclass(slots=True)
class RetryBudget:
    """Retries allowed as a fraction of successes.

    Attributes
    ----------
    tokens : float
        Retries that may start now.
    at : float
        Time of the last refill, seconds.

    Examples
    --------
    >>> budget = RetryBudget(tokens=1.0)
    >>> budget.spend(0.0), budget.spend(0.0)
    (True, False)
    """

    tokens: float = MAX_BUDGET
    at: float = 0.0

    def observe_success(self) -> None:
        """Take in one request that ended well."""
        self.tokens = min(MAX_BUDGET, self.tokens + BUDGET_FRACTION)

    def spend(self, now: float) -> bool:
        """Take one retry out of the budget.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            False when none is left.
        """
        refill = max(0.0, now - self.at) * MIN_BUDGET_RATE
        self.tokens = min(MAX_BUDGET, self.tokens + refill)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to send a request again, and why.

    Attributes
    ----------
    again : bool
        Send it again.
    reason : str
        What decided.
    """

    should_retry: bool
    reason: str


def decide_retry(
    job: Job,
    verdict: Verdict,
    *,
    n_attempts: int,
    budget: RetryBudget,
    now: float,
    delivered: bool = False,
) -> RetryDecision:
    """Decide whether a failed dispatch may be sent again.

    Parameters
    ----------
    job : Job
        The request.
    verdict : Verdict
        Whether the failed attempt may have run.
    n_attempts : int
        Attempts so far.
    budget : RetryBudget
        The node's budget; one retry is taken out when the decision is yes.
    now : float
        Seconds.
    delivered : bool, default=False
        Part of the answer was delivered, so that only resumption is left and the
        deadline of the first token is met already.

    Returns
    -------
    RetryDecision
        The decision with its reason.
    """
    if verdict is Verdict.RAN:
        return RetryDecision(False, "already ran")
    if verdict is Verdict.MAY_HAVE_RUN and not job.repeatable:
        return RetryDecision(False, "may have run and is not idempotent")
    if n_attempts >= MAX_ATTEMPTS:
        return RetryDecision(False, f"{n_attempts} attempts made")
    if not delivered and now >= job.deadline:
        return RetryDecision(False, "deadline passed")
    if not budget.spend(now):
        return RetryDecision(False, "retry budget spent")
    return RetryDecision(True, "resumption" if delivered else "retry")
