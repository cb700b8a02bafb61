"""State of a caller's request while the node handles it."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Any

from ..platform import RequestInfo
from ..policy import (
    HeldRequest,
    RequestStates,
    StreamOrigin,
    Verdict,
    make_request_digest,
)
from ..routing import (
    CustomerSpec,
    Registration,
    RequestType,
    RouteRule,
    ServiceSpec,
)
from ..transport import Headers, IncomingRequest, Responder

if TYPE_CHECKING:
    from ._forwarding import ForwardedRequest

RecordWriter = Callable[..., None]

SUCCESS_STATUSES = range(200, 300)
# By the API's contract these statuses tell the caller that the request did not run. A
# server states that with a header instead, so its own answers with these statuses are
# not relayed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses of the router's own that leave open whether the request has run.
UNCERTAIN_STATUSES = frozenset({502, 504})

# Headers between nodes; they reach neither callers nor servers.
NODE_HEADER_PREFIX = b"medlargate-"

_numbers = itertools.count(1)


def strip_node_headers(headers: Headers) -> tuple[tuple[bytes, bytes], ...]:
    """Return headers without those by which nodes tell each other of a request."""
    return tuple(it for it in headers if not it[0].startswith(NODE_HEADER_PREFIX))


@dataclass
class Outcome:
    """Outcome of a request.

    Attributes
    ----------
    status : int
        HTTP status of the answer; 499 if the caller has gone, 0 if a started answer
        was broken off.
    code : str
        Reason in the records and metrics.
    """

    status: int
    code: str


@dataclass(slots=True)
class AttemptProgress:
    """Progress of the answer to one attempt.

    Attributes
    ----------
    began_at : float
        Time on the node's clock at which the attempt began, in seconds.
    has_head : bool
        Whether the head of an answer arrived that says that the request is run.
    n_events : int
        Number of complete stream events that arrived.
    heard_at : float
        Time on the node's clock at which the head or the last event arrived, in
        seconds; the begin of the attempt before.
    is_sent : bool
        Whether the request was written to the server.
    """

    began_at: float = 0.0
    has_head: bool = False
    n_events: int = 0
    heard_at: float = 0.0
    is_sent: bool = False


@dataclass(frozen=True, slots=True)
class RequestFeatures:
    """What a request may share with others that crash servers, without its body.

    Attributes
    ----------
    exchange_id : int
        Identifier of the request, unique within the process.
    request_id : str
        Identity of the caller's attempt.
    request_digest : str
        Digest that is equal for repetitions of the request.
    part_ids : tuple of str
        Ids of all prompt parts.
    write_record : callable
        Writes a decision record.
    """

    exchange_id: int
    request_id: str
    request_digest: str
    part_ids: tuple[str, ...]
    write_record: RecordWriter

    def record(self, kind: str, **facts: Any) -> None:
        """Write a decision record for the request; see ``Exchange.record``."""
        self.write_record(kind, request=self.request_id, **facts)


@dataclass
class Exchange:
    """Accepted request with its routing decisions and the progress of its answer.

    Attributes
    ----------
    req : IncomingRequest
        Request as the caller sent it.
    responder : Responder
        Sends the answer to the caller.
    facts : RequestInfo
        Decoded headers of the request.
    rule : RouteRule
        Route that matches the request.
    service : ServiceSpec
        Service that runs the request.
    customer : CustomerSpec or None
        Customer of the request's key; None without a known key.
    config_version : int
        Version of the configuration that determined route and customer.
    arrived_at : float
        Arrival time on the node's clock, in seconds.
    deadline : float
        Time on the node's clock, in seconds, after which an answer is useless.
    write_record : callable
        Writes a decision record.
    states : RequestStates
        State machine that tracks whether the request may have run.
    tried_servers : set of str
        Ids of the servers that the request was sent to or that were unreachable.
    misdirected_servers : set of str
        Ids at whose addresses other servers answered. They get the request never again.
    failed_connect_time : float
        Time spent on connections that were not established, in seconds.
    n_sent : int
        Number of times that the request was written to a server.
    exchange_id : int
        Identifier of the request, unique within the process.
    last_event_id : int or None
        Id of the last stream event that the caller has.
    n_events : int
        Number of stream events passed on to the caller.
    placed_at : float or None
        Time of the last server assignment on the node's clock, in seconds.
    first_event_at, last_event_at : float or None
        Times of the first and last stream event on the node's clock, in seconds.
    longest_pause : float
        Longest time between two stream events, in seconds.
    attempt : AttemptProgress
        Progress of the answer to the current attempt.
    origin : StreamOrigin or None
        Where the stream began that the caller has; None if it has no event, or if
        any server may go on.
    forwarded : ForwardedRequest or None
        What the node says that forwarded the request; None if a caller sent it.
    tried_peers : set of str
        Names of the nodes that the request was forwarded to.
    n_granted : int
        Number of attempts that the last node to which it was forwarded may make.
    held : HeldRequest or None
        Tokens that the current attempt occupies at a server; None if not bounded.
    queued_as_of : float or None
        Time of arrival by which the request is ordered in its queue, in seconds; None
        for ``arrived_at``.
    """

    req: IncomingRequest
    responder: Responder
    facts: RequestInfo
    rule: RouteRule
    service: ServiceSpec
    customer: CustomerSpec | None
    config_version: int
    arrived_at: float
    deadline: float
    write_record: RecordWriter
    states: RequestStates = field(default_factory=RequestStates)
    tried_servers: set[str] = field(default_factory=set)
    misdirected_servers: set[str] = field(default_factory=set)
    failed_connect_time: float = 0.0
    n_sent: int = 0
    exchange_id: int = field(default_factory=lambda: next(_numbers))
    last_event_id: int | None = None
    n_events: int = 0
    placed_at: float | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause: float = 0.0
    attempt: AttemptProgress = field(default_factory=AttemptProgress)
    origin: StreamOrigin | None = None
    forwarded: ForwardedRequest | None = None
    tried_peers: set[str] = field(default_factory=set)
    n_granted: int = 0
    held: HeldRequest | None = None
    queued_as_of: float | None = None

    @property
    def priority(self) -> int:
        """Priority among the requests of the service; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.rule.priority

    @property
    def verdict(self) -> Verdict:
        """Whether a server has run, may have run or has not run the request."""
        return self.states.verdict

    @cached_property
    def request_digest(self) -> str:
        """Digest that is equal for repetitions of the request."""
        customer = self.customer.name if self.customer is not None else ""
        return make_request_digest(
            self.rule.name, customer, self.req.target, self.req.body
        )

    @cached_property
    def part_ids(self) -> tuple[str, ...]:
        """Ids of all prompt parts; the last is that of the request or its session."""
        return tuple(part.part_id for part in self.facts.parts)

    @cached_property
    def features(self) -> RequestFeatures:
        """What the request may share with others that crash servers."""
        return RequestFeatures(
            self.exchange_id,
            self.facts.request_id,
            self.request_digest,
            self.part_ids,
            self.write_record,
        )

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt parts that other requests may have too."""
        return self.part_ids[:-1]

    @property
    def is_resumed(self) -> bool:
        """Whether the caller takes up a stream of which it has events."""
        return self.rule.resumable and bool(
            self.facts.last_event_id or self.facts.resumed_id
        )

    @property
    def needs_recent_connection(self) -> bool:
        """Whether only a connection in use recently may be reused.

        A server may close an idle connection while the request is on its way, and a
        request that may not be sent twice is lost then.
        """
        return self.rule.request_type is RequestType.ONCE or (
            self.rule.streams and not self.rule.resumable
        )

    def can_run_at(self, server: Registration) -> bool:
        """Return whether a server may get the request, or go on with its stream."""
        if server.server_id in self.misdirected_servers:
            return False
        origin = self.origin
        return (
            origin is None
            or origin.service != server.service
            or origin.version == server.software_version
        )

    @property
    def n_tokens(self) -> int:
        """Length of the prompt in tokens."""
        declared = self.facts.n_prompt_tokens
        return declared or sum(part.n_tokens for part in self.facts.parts)

    @property
    def n_attempts(self) -> int:
        """Number of times that the request reached the server it was meant for."""
        return self.n_sent - len(self.misdirected_servers)

    @property
    def may_repeat(self) -> bool:
        """Whether the route allows another attempt after one that may have run."""
        return self.rule.repeatable and self.n_attempts < self.rule.max_attempts

    @property
    def target_at(self) -> float:
        """Target time of the answer or first event on the node's clock, in seconds."""
        return self.arrived_at + self.rule.target

    def observe_write(self) -> None:
        """Record that the request is about to be written to a server or a node."""
        if self.states.state == "received":
            self.states.observe("enqueue")
        if self.states.state == "queued":
            self.states.observe("assign")
        self.states.observe("write")

    def observe_event(self, now: float) -> None:
        """Count a stream event that was passed on to the caller.

        Parameters
        ----------
        now : float
            Time on the node's clock, in seconds.
        """
        self.n_events += 1
        if self.last_event_at is not None:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now

    def record(self, kind: str, **facts: Any) -> None:
        """Write a decision record for this request.

        Parameters
        ----------
        kind : str
            Kind of the decision or observation.
        **facts : dict
            Fields of the record.
        """
        self.write_record(kind, request=self.facts.request_id, **facts)
