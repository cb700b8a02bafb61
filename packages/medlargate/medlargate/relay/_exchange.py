"""One caller's request on its way through the node."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from ..platform import RequestFacts
from ..policy import RequestStates, Verdict, make_request_digest
from ..routing import CustomerSpec, RouteRule, ServiceSpec
from ..transport import IncomingRequest, Responder

Record = Callable[..., None]

_numbers = itertools.count(1)


@dataclass
class Exchange:
    """A request, what was decided of it, and what its caller has got so far.

    Attributes
    ----------
    req : IncomingRequest
        As the caller sent it.
    responder : Responder
        The way back to the caller.
    facts : RequestFacts
        What its headers say.
    rule : RouteRule
        Its route.
    service : ServiceSpec
        The service that is to run it.
    customer : CustomerSpec or None
        None on public routes.
    config_version : int
        The configuration that decided route and customer.
    arrived_at, deadline : float
        Seconds on the node's clock; no final answer is of use after the deadline.
    tried : set of str
        Servers to which it was sent, or that could not be reached.
    n_sent : int
        Times that it was written to a server.
    last_event_id : int or None
        The last event that the caller has.
    """

    req: IncomingRequest
    responder: Responder
    facts: RequestFacts
    rule: RouteRule
    service: ServiceSpec
    customer: CustomerSpec | None
    config_version: int
    arrived_at: float
    deadline: float
    record_line: Record
    states: RequestStates = field(default_factory=RequestStates)
    tried: set[str] = field(default_factory=set)
    n_sent: int = 0
    number: int = field(default_factory=lambda: next(_numbers))
    last_event_id: int | None = None
    n_events: int = 0
    placed_at: float | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause: float = 0.0

    @property
    def priority(self) -> int:
        """Rank among requests of its service; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.rule.priority

    @property
    def verdict(self) -> Verdict:
        """What may be said of its execution."""
        return self.states.verdict

    @cached_property
    def mark(self) -> str:
        """What stays the same when the request comes again."""
        customer = self.customer.name if self.customer is not None else ""
        return make_request_digest(
            self.rule.name, customer, self.req.target, self.req.body
        )

    @property
    def n_tokens(self) -> int:
        """Length of its prompt."""
        declared = self.facts.n_prompt_tokens
        return declared or sum(part.n_tokens for part in self.facts.parts)

    @property
    def target_at(self) -> float:
        """When its answer or first event is wanted, on the node's clock."""
        return self.arrived_at + self.rule.target

    def observe_event(self, now: float) -> None:
        """Take in that an event of its stream was passed on.

        Parameters
        ----------
        now : float
            Seconds on the node's clock.
        """
        self.n_events += 1
        if self.last_event_at is not None:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now

    def record(self, kind: str, **facts: Any) -> None:
        """Write one line on a decision.

        Parameters
        ----------
        kind : str
            What was decided or seen.
        **facts : dict
            What decided it.
        """
        self.record_line(kind, request=self.facts.request_id, **facts)
