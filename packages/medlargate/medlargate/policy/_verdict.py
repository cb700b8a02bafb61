"""Execution status of a request, and the exception for refused requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from ..charts import StateMachine, load_chart


class Verdict(enum.StrEnum):
    """Whether a backend server has executed a request.

    Notes
    -----
    ``NOT_RUN`` is a guarantee: either no byte of the request was written to a socket,
    or the backend server reported that it did not execute the request.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RequestStates(StateMachine):
    """State machine of a request, defined by the chart ``request``.

    Examples
    --------
    >>> states = RequestStates()
    >>> states.observe("enqueue")
    'queued'
    >>> states.verdict
    <Verdict.NOT_RUN: 'not_run'>
    """

    def __init__(self) -> None:
        super().__init__(load_chart("request"))

    @property
    def verdict(self) -> Verdict:
        """Execution status that the chart assigns to the current state."""
        return Verdict(self.attributes["verdict"])


@dataclass
class Refusal(Exception):
    """Raised when a request ends without an answer from a backend server.

    Parameters
    ----------
    status : int
        HTTP status code.
    code : str
        Machine-readable error code, for instance ``"queue_deadline"``.
    message : str
        Human-readable explanation.
    verdict : Verdict
        Whether the request may have run. There is no default, since ``NOT_RUN`` is a
        guarantee to the caller.
    retry_after : float or None
        Recommended delay before the caller's next attempt, in seconds; None if there
        is no recommendation.
    reasons : dict
        Values on which the decision was based, shown by ``explain``.
    """

    status: int
    code: str
    message: str
    verdict: Verdict
    retry_after: float | None = None
    reasons: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__init__(self.message)
