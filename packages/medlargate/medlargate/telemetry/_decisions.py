"""Bounded in-memory log of decisions and events, which ``explain`` reads."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field, is_dataclass
from typing import Any

MAX_EVENTS = 2_000
MAX_STEPS = 64


@dataclass(frozen=True, slots=True)
class Step:
    """One decision made while a request was processed.

    Attributes
    ----------
    at : float
        Seconds since the request arrived.
    kind : str
        Kind of the decision, for instance ``"admission"`` or ``"dispatch"``.
    facts : dict
        Inputs and reasons of the decision.
    """

    at: float
    kind: str
    facts: dict[str, Any]


@dataclass(slots=True)
class RequestTrace:
    """The recorded processing steps of one request.

    Attributes
    ----------
    request_id, customer, request_class, route : str
        Id of the request and the names of its customer, class and route.
    arrived_at : float
        Arrival time, in seconds since the epoch.
    steps : list of Step
        Decisions, oldest first; at most ``MAX_STEPS``.
    outcome, verdict : str
        Result of the request and its execution verdict; empty while the request runs.
    met : bool
        True when the request was answered completely within the targets of its class.
    n_tokens : int
        Number of output tokens.
    queue_wait, first_token : float or None
        Time from arrival to dispatch and to the first token, in seconds.
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

    def add_step(self, at: float, kind: str, **facts: Any) -> None:
        """Append a decision, unless ``MAX_STEPS`` are recorded already.

        Parameters
        ----------
        at : float
            Seconds since the request arrived.
        kind : str
            Kind of the decision.
        **facts : dict
            Inputs and reasons of the decision.
        """
        if len(self.steps) < MAX_STEPS:
            self.steps.append(Step(round(at, 6), kind, facts))

    def snapshot(self) -> dict[str, Any]:
        """Return the trace as plain values.

        Returns
        -------
        dict
            Values that can be encoded as JSON.
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
                    **{k: _to_json_value(v) for k, v in s.facts.items()},
                }
                for s in self.steps
            ],
        }


def _to_json_value(value: Any) -> Any:
    if is_dataclass(value) and not isinstance(value, type):
        return asdict(value)
    if isinstance(value, tuple | list):
        return [_to_json_value(item) for item in value]
    return value


@dataclass(frozen=True, slots=True)
class Event:
    """A change in the fleet, for instance a lost lease.

    Attributes
    ----------
    at : float
        Time of the event, in seconds since the epoch.
    kind, subject, reason : str
        Kind of the event, name of the affected entity, and the cause.
    """

    at: float
    kind: str
    subject: str
    reason: str


class DecisionLog:
    """The most recent request traces and fleet events of a node.

    Parameters
    ----------
    max_requests : int, default=20000
        Maximum number of stored traces; the oldest are dropped first.
    """

    def __init__(self, *, max_requests: int = 20_000) -> None:
        self._max_requests = max_requests
        self._traces: OrderedDict[str, RequestTrace] = OrderedDict()
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def observe_request(self, trace: RequestTrace) -> None:
        """Store the trace of a request.

        Parameters
        ----------
        trace : RequestTrace
            The trace; steps may still be added to it.
        """
        self._traces[trace.request_id] = trace
        while len(self._traces) > self._max_requests:
            self._traces.popitem(last=False)

    def observe_event(self, at: float, kind: str, subject: str, reason: str) -> None:
        """Store an event; the oldest is dropped beyond ``MAX_EVENTS``.

        Parameters
        ----------
        at : float
            Time of the event, in seconds since the epoch.
        kind, subject, reason : str
            Kind of the event, name of the affected entity, and the cause.
        """
        self.events.append(Event(at, kind, subject, reason))

    def find(self, request_id: str) -> RequestTrace | None:
        """Return the trace of a request.

        Parameters
        ----------
        request_id : str
            Value of the response header ``Medlargate-Request``.

        Returns
        -------
        RequestTrace or None
            None when no trace with this id is stored.
        """
        return self._traces.get(request_id)

    def snapshot(self) -> list[RequestTrace]:
        """Return all stored traces.

        Returns
        -------
        list of RequestTrace
            Traces in the order in which they were stored.
        """
        return list(self._traces.values())
