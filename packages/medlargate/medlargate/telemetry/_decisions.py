"""Bounded record of decisions and events, the source of ``explain``."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field, is_dataclass
from typing import Any

MAX_EVENTS = 2_000
MAX_STEPS = 64


@dataclass(frozen=True, slots=True)
class Step:
    """One decision on a request's path.

    Attributes
    ----------
    at : float
        Seconds since the request arrived.
    kind : str
        For instance ``"admission"`` or ``"dispatch"``.
    facts : dict
        The decision's reasons.
    """

    at: float
    kind: str
    facts: dict[str, Any]


@dataclass(slots=True)
class RequestTrace:
    """The recorded path of one request.

    Attributes
    ----------
    request_id, customer, request_class, route : str
        Identity.
    arrived_at : float
        Seconds since the epoch.
    steps : list of Step
        Decisions, oldest first.
    outcome, verdict : str
        How it ended; empty while it runs.
    met : bool
        It was answered whole within its class's targets.
    n_tokens : int
        Output tokens.
    queue_wait, first_token : float or None
        Seconds since its arrival.
    """

    request_id: str
    customer: str
    request_class: str
    route: str
    arrived_at: float
    steps: list[Step] = field(default_factory=list)
    outcome: str = ""
    verdict: str = ""
    met: bool = False
    n_tokens: int = 0
    queue_wait: float | None = None
    first_token: float | None = None

    def observe(self, at: float, kind: str, **facts: Any) -> None:
        """Record a decision.

        Parameters
        ----------
        at : float
            Seconds since the request arrived.
        kind : str
            What was decided.
        **facts : dict
            Its reasons.
        """
        if len(self.steps) < MAX_STEPS:
            self.steps.append(Step(round(at, 6), kind, facts))

    def snapshot(self) -> dict[str, Any]:
        """Report the path.

        Returns
        -------
        dict
            Ready for JSON.
        """
        return {
            "request": self.request_id,
            "customer": self.customer,
            "class": self.request_class,
            "route": self.route,
            "arrived_at": self.arrived_at,
            "outcome": self.outcome or "running",
            "met": self.met,
            "tokens": self.n_tokens,
            "queue_wait": self.queue_wait,
            "first_token": self.first_token,
            "verdict": self.verdict,
            "steps": [
                {
                    "at": s.at,
                    "kind": s.kind,
                    **{k: _plain(v) for k, v in s.facts.items()},
                }
                for s in self.steps
            ],
        }


def _plain(value: Any) -> Any:
    if is_dataclass(value) and not isinstance(value, type):
        return asdict(value)
    if isinstance(value, tuple | list):
        return [_plain(item) for item in value]
    return value


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened to the fleet.

    Attributes
    ----------
    at : float
        Seconds since the epoch.
    kind, subject, reason : str
        What, to whom and why.
    """

    at: float
    kind: str
    subject: str
    reason: str


class DecisionLog:
    """The last requests' paths and the last events of a node.

    Parameters
    ----------
    max_requests : int, default=20000
        Paths kept.
    """

    def __init__(self, *, max_requests: int = 20_000) -> None:
        self._max_requests = max_requests
        self._traces: OrderedDict[str, RequestTrace] = OrderedDict()
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def observe_request(self, trace: RequestTrace) -> None:
        """Keep a request's path.

        Parameters
        ----------
        trace : RequestTrace
            The path, which may still grow.
        """
        self._traces[trace.request_id] = trace
        while len(self._traces) > self._max_requests:
            self._traces.popitem(last=False)

    def observe_event(self, at: float, kind: str, subject: str, reason: str) -> None:
        """Keep an event.

        Parameters
        ----------
        at : float
            Seconds since the epoch.
        kind, subject, reason : str
            What, to whom and why.
        """
        self.events.append(Event(at, kind, subject, reason))

    def find(self, request_id: str) -> RequestTrace | None:
        """Find a request's path.

        Parameters
        ----------
        request_id : str
            As in the header ``Medlargate-Request``.

        Returns
        -------
        RequestTrace or None
            None when it is not kept any more.
        """
        return self._traces.get(request_id)

    def snapshot(self) -> list[RequestTrace]:
        """List the kept paths.

        Returns
        -------
        list of RequestTrace
            Oldest first.
        """
        return list(self._traces.values())
