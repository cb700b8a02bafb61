"""What may be said of a request's execution, and refusals that say it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from ..charts import Subject, load_chart


class Verdict(enum.StrEnum):
    """Whether a request was executed by a backend server.

    Notes
    -----
    ``NOT_RUN`` is a promise: no byte of the request was handed to a socket, or the
    backend server itself said that it did not execute it.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RequestStates(Subject):
    """The state chart of one request.

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
        """The verdict that the chart's file gives for the current state."""
        return Verdict(self.attributes["verdict"])


@dataclass
class Refusal(Exception):
    """A request that ends without an answer.

    Parameters
    ----------
    status : int
        HTTP status code.
    code : str
        Short identifier for programs, for instance ``"queue_deadline"``.
    message : str
        Explanation for people.
    verdict : Verdict
        Whether the request may have run.
    retry_after : float or None
        Seconds after which another attempt makes sense.
    reasons : dict
        The facts behind the decision, for ``explain``.
    """

    status: int
    code: str
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after: float | None = None
    reasons: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__init__(self.message)
