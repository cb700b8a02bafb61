"""Retry policy for failed dispatches."""

from __future__ import annotations

from dataclasses import dataclass

from ._types import Job
from ._verdict import Verdict

MAX_ATTEMPTS = 3
BUDGET_FRACTION = 0.1
MAX_BUDGET = 20.0
MIN_BUDGET_RATE = 0.2  # retries per second, added regardless of successes


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a fraction of successful requests.

    Attributes
    ----------
    tokens : float
        Number of retries that may start now.
    refilled_at : float
        Time of the last refill, in seconds.

    Examples
    --------
    >>> budget = RetryBudget(tokens=1.0)
    >>> budget.spend(0.0), budget.spend(0.0)
    (True, False)
    """

    tokens: float = MAX_BUDGET
    refilled_at: float = 0.0

    def observe_success(self) -> None:
        """Add ``BUDGET_FRACTION`` of a retry for a successful request."""
        self.tokens = min(MAX_BUDGET, self.tokens + BUDGET_FRACTION)

    def spend(self, now: float) -> bool:
        """Take one retry from the budget.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False if the budget does not allow a retry now.
        """
        refill = max(0.0, now - self.refilled_at) * MIN_BUDGET_RATE
        self.tokens = min(MAX_BUDGET, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Decision whether to retry a failed dispatch.

    Attributes
    ----------
    should_retry : bool
        Whether to send the request again.
    reason : str
        Rule that led to the decision.
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
    """Decide whether to retry a failed dispatch.

    Parameters
    ----------
    job : Job
        Request whose dispatch failed.
    verdict : Verdict
        Whether the failed attempt may have run.
    n_attempts : int
        Number of attempts so far, including the failed one.
    budget : RetryBudget
        Retry budget of the node, from which one retry is taken if it is granted.
    now : float
        Current time in seconds.
    delivered : bool, default=False
        Whether the caller already has part of the answer. The request can then only
        be resumed, and the deadline of the first token no longer applies.

    Returns
    -------
    RetryDecision
        Whether to send the request again, with the reason.
    """
    if verdict is Verdict.RAN:
        return RetryDecision(False, "already ran")
    if verdict is Verdict.MAY_HAVE_RUN and not job.repeatable:
        return RetryDecision(False, "may have run and is not idempotent")
    if n_attempts >= MAX_ATTEMPTS:
        return RetryDecision(False, f"all {n_attempts} attempts failed")
    if not delivered and now >= job.deadline:
        return RetryDecision(False, "deadline has passed")
    if not budget.spend(now):
        return RetryDecision(False, "retry budget exhausted")
    return RetryDecision(True, "resumption" if delivered else "retry")
