"""One request on its way through the node."""

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
        Also sent to the backend server, whose answer must carry it.
    caller : Caller
        Who asks.
    route_name : str
        The name that the caller used.
    route : Route
        Its configuration.
    request_class : RequestClass
        The route's class.
    job : Job
        What the policy sees.
    states : RequestStates
        The chart, from which the verdict follows.
    trace : RequestTrace
        Decisions so far.
    started_at : float
        Monotonic seconds of the arrival.
    first_token_at, last_token_at : float or None
        Monotonic seconds.
    n_tokens, prompt_tokens, cached_tokens : int
        Work so far.
    n_attempts : int
        Dispatches so far.
    preempted, stalled : bool
        Why the present attempt was broken off by this node.
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
    withdrawn: bool = False
    finished: bool = False

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return self.states.verdict

    def elapsed(self) -> float:
        """Return seconds since the arrival.

        Returns
        -------
        float
            Seconds.
        """
        return time.monotonic() - self.started_at

    def record(self, kind: str, **facts: Any) -> None:
        """Record a decision on the request's path.

        Parameters
        ----------
        kind : str
            What was decided.
        **facts : dict
            Its reasons.
        """
        self.trace.observe(self.elapsed(), kind, **facts)

    def observe_progress(self, now: float) -> None:
        """Take in that tokens arrived.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.first_token_at is None:
            self.first_token_at = now
        self.last_token_at = now

    def interval(self) -> float | None:
        """Return the mean time between tokens.

        Returns
        -------
        float or None
            Seconds; None for fewer than two tokens.
        """
        if self.n_tokens < 2 or self.first_token_at is None:
            return None
        assert self.last_token_at is not None
        return (self.last_token_at - self.first_token_at) / (self.n_tokens - 1)

    def meets_targets(self) -> bool:
        """Tell whether first token and interval are within the class's targets.

        Returns
        -------
        bool
            Only meaningful once the answer is whole.
        """
        if self.first_token_at is None:
            return False
        interval = self.interval()
        is_fast = interval is None or interval <= self.request_class.token_interval
        waited = self.first_token_at - self.started_at
        return is_fast and waited <= self.request_class.first_token

    def observe_end(self, outcome: str) -> None:
        """Close the request's trace.

        Parameters
        ----------
        outcome : str
            ``"ok"`` or a refusal's code.
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
        """Make the refusal that ends this request, with its chart's verdict.

        Parameters
        ----------
        status : int
            HTTP status.
        code, message : str
            What went wrong.

        Returns
        -------
        Refusal
            Ready to be sent.
        """
        event = "refuse" if self.verdict is Verdict.NOT_RUN else "fail"
        if self.states.chart.allows(self.states.state, event):
            self.states.observe(event)
        return Refusal(status, code, message, self.verdict)

    def log_end(self, outcome: str) -> None:
        """Log the request's end as one line.

        Parameters
        ----------
        outcome : str
            ``"ok"`` or a refusal's code.
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
