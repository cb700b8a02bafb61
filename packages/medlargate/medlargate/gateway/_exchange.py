"""State of one request while this node handles it."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, field
from typing import Any

from ..fleet import RequestClass, Route
from ..policy import Job, Refusal, RequestStates, Verdict
from ..telemetry import RequestTrace
from ._caller import Caller

log = logging.getLogger("medlargate.request")


@dataclass
class Exchange:
    """State of one request between its caller and its backend servers.

    Attributes
    ----------
    request_id : str
        Unique id of the request. The id is also sent to the backend server, and
        the response must carry the same id.
    caller : Caller
        Authenticated or anonymous caller.
    route_name : str
        Name of the route, as given by the caller.
    route : Route
        Configuration of the route.
    request_class : RequestClass
        Configuration of the route's request class, including latency targets.
    job : Job
        Description of the request for the scheduler.
    trace : RequestTrace
        Decisions recorded so far.
    started_at : float
        Time of arrival, monotonic seconds.
    states : RequestStates
        State chart of the request, which determines the verdict.
    queue_wait : float or None
        Seconds from arrival to the first dispatch; None before the first dispatch.
    first_token_at, last_token_at : float or None
        Time of the first and the latest output token, monotonic seconds.
    n_tokens, prompt_tokens, cached_tokens : int
        Number of output tokens so far, of prompt tokens, and of prompt tokens that
        the engine found in its cache.
    n_attempts : int
        Number of dispatches so far.
    backend : str
        Backend server of the latest attempt; empty before the first dispatch.
    preempted, stalled : bool
        Whether this node closed the current attempt because of a preemption, or
        because the backend server sent nothing for too long.
    key_withdrawn : bool
        Whether this node closed the request because its key was withdrawn.
    finished : bool
        Whether usage, metrics and log of the request have been recorded.
    """

    request_id: str
    caller: Caller
    route_name: str
    route: Route
    request_class: RequestClass
    job: Job
    trace: RequestTrace
    started_at: float
    states: RequestStates = field(default_factory=RequestStates)
    queue_wait: float | None = None
    first_token_at: float | None = None
    last_token_at: float | None = None
    n_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    n_attempts: int = 0
    backend: str = ""
    preempted: bool = False
    stalled: bool = False
    key_withdrawn: bool = False
    finished: bool = False

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return self.states.verdict

    def elapsed(self) -> float:
        """Return the time since the request arrived.

        Returns
        -------
        float
            Elapsed seconds.
        """
        return time.monotonic() - self.started_at

    def record(self, kind: str, **details: Any) -> None:
        """Add a decision to the request's trace.

        Parameters
        ----------
        kind : str
            Kind of the decision, e.g. ``"dispatch"`` or ``"retry"``.
        **details : dict
            Values that explain the decision.
        """
        self.trace.add_step(self.elapsed(), kind, **details)

    def record_output_time(self, now: float) -> None:
        """Record the time at which output arrived.

        Parameters
        ----------
        now : float
            Current time, monotonic seconds.
        """
        if self.first_token_at is None:
            self.first_token_at = now
        self.last_token_at = now

    def compute_token_interval(self) -> float | None:
        """Compute the mean time between output tokens.

        Returns
        -------
        float or None
            Seconds per token; None with fewer than two tokens.
        """
        if self.n_tokens < 2 or self.first_token_at is None:
            return None
        assert self.last_token_at is not None
        return (self.last_token_at - self.first_token_at) / (self.n_tokens - 1)

    def meets_targets(self) -> bool:
        """Check the first-token latency and token interval against their targets.

        Returns
        -------
        bool
            Whether both targets of the request class are met. The result is only
            meaningful for a complete response.
        """
        if self.first_token_at is None:
            return False
        interval = self.compute_token_interval()
        meets_interval = (
            interval is None or interval <= self.request_class.token_interval
        )
        first_token_latency = self.first_token_at - self.started_at
        return meets_interval and first_token_latency <= self.request_class.first_token

    def finish_trace(self, outcome: str) -> None:
        """Write the outcome and the measurements of the request to its trace.

        Parameters
        ----------
        outcome : str
            ``"ok"`` or the error code of the refusal.
        """
        trace = self.trace
        trace.outcome = outcome
        trace.verdict = str(self.verdict)
        trace.met = outcome == "ok" and self.meets_targets()
        trace.n_tokens = self.n_tokens
        trace.queue_wait = self.queue_wait
        if self.first_token_at is not None:
            trace.first_token = round(self.first_token_at - self.started_at, 6)

    def make_failure(self, status: int, code: str, message: str) -> Refusal:
        """Move the request to its final state and create the refusal to send.

        Parameters
        ----------
        status : int
            HTTP status code.
        code : str
            Error code for programs.
        message : str
            Error message for people.

        Returns
        -------
        Refusal
            Refusal with the verdict of the request's state chart.
        """
        event = "refuse" if self.verdict is Verdict.NOT_RUN else "fail"
        if self.states.chart.allows(self.states.state, event):
            self.states.observe(event)
        return Refusal(status, code, message, self.verdict)

    def log_end(self, outcome: str) -> None:
        """Log the end of the request with its outcome and last decision.

        Parameters
        ----------
        outcome : str
            ``"ok"`` or the error code of the refusal.
        """
        log.info(
            "request ended",
            extra={
                "request": self.request_id,
                "customer": self.caller.customer,
                "class": self.route.request_class,
                "route": self.route_name,
                "outcome": outcome,
                "verdict": str(self.verdict),
                "backend": self.backend,
                "attempts": self.n_attempts,
                "tokens": self.n_tokens,
                "duration": round(self.elapsed(), 6),
                "decision": self.trace.steps[-1].kind if self.trace.steps else "",
                "reasons": self.trace.steps[-1].facts if self.trace.steps else {},
            },
        )
