"""Single attempt to send a request to a backend server."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from .._tasks import call_logged
from ..platform import ResponseInfo, decode_response, make_forward_headers
from ..policy import OpenAttempt, ReachEvidence, Verdict, is_abandoned
from ..transport import (
    BackendConnection,
    ConnectFaultError,
    ConnectionPool,
    ConnectionSlots,
    ExchangeFaultError,
    ResponseHead,
)
from ._answer_buffers import AnswerBuffers
from ._cold_servers import ColdServers
from ._exchange import Exchange, strip_node_headers
from ._load_tracker import LoadTracker
from ._request_queue import ServerAssignment
from ._server_limits import ServerLimits
from ._silence import SilenceLimit

log = logging.getLogger(__name__)

# Time without data after which an attempt of a repeatable request is abandoned: an open
# connection can stop delivering data permanently while new connections work. The limit
# is the larger of the minimum and the factor times the route's target or maximum pause.
# A sound server may be silent for about a second and go on; callers leave a stream
# after a gap of two seconds at the earliest.
MIN_PLAIN_SILENCE = 1.5  # seconds
PLAIN_SILENCE_FACTOR = 3.0  # relative to the route's target
MIN_FIRST_EVENT_SILENCE = 2.0  # seconds
FIRST_EVENT_SILENCE_FACTOR = 2.5  # relative to the route's target
MIN_PAUSE_SILENCE = 1.5  # seconds
PAUSE_SILENCE_FACTOR = 2.0  # relative to the route's maximum pause
# An attempt with less time than this cannot return an answer before the deadline.
MIN_TIME_LEFT = 0.01  # seconds
MAX_MISMATCHED_ANSWERS = 3  # answers read per attempt, those to other requests included
# A server in trouble can send bytes without end.
MAX_PLAIN_BYTES = 4_194_304
MAX_REFUSAL_BYTES = 65_536
MAX_REFUSAL_TIME = 0.5  # seconds for the body of a refusal


class AttemptError(Exception):
    """Exception raised when an attempt returns no usable answer.

    Parameters
    ----------
    kind : str
        ``"connect"``; ``"left"`` for a server that has left since the placement;
        ``"refused"``, ``"misdirected"``, ``"failed"``, or the kind of an
        ``ExchangeFaultError``.
    message : str
        Description of the failure.
    verdict : Verdict
        Whether the server may have run the request.
    answer : Answer or None
        Complete failure answer of the server, if there is one.
    """

    def __init__(
        self,
        kind: str,
        message: str,
        verdict: Verdict,
        answer: Answer | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.verdict = verdict
        self.answer = answer


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer of a server.

    Attributes
    ----------
    head : ResponseHead
        Status and headers as received.
    facts : ResponseInfo
        Decoded status and headers.
    body : bytes
        Complete body.
    """

    head: ResponseHead
    facts: ResponseInfo
    body: bytes


def make_priority(exch: Exchange) -> int | None:
    """Return the priority sent to an engine, or None for a plain service."""
    return exch.priority if exch.service.engine is not None else None


class OpenAnswer:
    """Answer whose head has been received and whose body has not.

    Parameters
    ----------
    conn : BackendConnection
        Connection that delivers the body.
    head : ResponseHead
        Status and headers as received.
    facts : ResponseInfo
        Decoded status and headers.
    buffers : AnswerBuffers
        Buffers of all answers of the node.
    """

    def __init__(
        self,
        conn: BackendConnection,
        head: ResponseHead,
        facts: ResponseInfo,
        buffers: AnswerBuffers,
    ) -> None:
        self.conn = conn
        self.head = head
        self.facts = facts
        self.buffers = buffers

    async def read_whole(self, *, max_bytes: int = MAX_PLAIN_BYTES) -> Answer:
        """Read the body of the answer.

        Parameters
        ----------
        max_bytes : int, default=4194304
            Maximum size of the body.

        Returns
        -------
        Answer
            Complete answer.

        Raises
        ------
        ExchangeFaultError
            If the answer ends early, is too large, or does not fit into the memory
            beside the other answers.
        """
        body = bytearray()
        with self.buffers.open() as buffer:
            async for data in self.conn.read_body():
                body += data
                if len(body) > max_bytes:
                    message = "the body exceeds the size limit"
                    raise ExchangeFaultError("invalid", message)
                buffer.resize(len(body))
            return Answer(self.head, self.facts, bytes(body))


class Sender:
    """Sender of requests to backend servers.

    Parameters
    ----------
    pool : ConnectionPool
        Pool of connections to backend servers.
    slots : ConnectionSlots
        Limit of the requests that have one of these connections.
    loads : LoadTracker
        Load estimates, updated with reported loads and failures.
    limits : ServerLimits
        Limits of the servers, updated with those stated in answers.
    cold : ColdServers
        Cold servers, updated with what they state in answers.
    observe_leaving : callable
        Called with the id of a server that announces that it leaves.
    observe_rejection : callable
        Called with the id of a brittle server that has rejected a request, and the
        number of rejections a second that it bears.
    buffers : AnswerBuffers
        Buffers of all answers of the node.
    has_left : callable
        Returns whether a server, given by its id, may get no more requests.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        slots: ConnectionSlots,
        loads: LoadTracker,
        limits: ServerLimits,
        cold: ColdServers,
        observe_leaving: Callable[[str], None],
        observe_rejection: Callable[[str, float], None],
        buffers: AnswerBuffers,
        has_left: Callable[[str], bool],
    ) -> None:
        self._buffers = buffers
        self._has_left = has_left
        self._pool = pool
        self._slots = slots
        self._loads = loads
        self._limits = limits
        self._cold = cold
        self._observe_leaving = observe_leaving
        self._observe_rejection = observe_rejection
        self._open: dict[int, tuple[Exchange, BackendConnection, ServerAssignment]] = {}

    def list_attempts(self, now: float) -> list[OpenAttempt]:
        """Return the attempts whose answers are not complete.

        Parameters
        ----------
        now : float
            Current time on the node's clock, in seconds.
        """
        # Connections use the event loop's clock, which stands still during suspension.
        offset = now - _now()
        return [
            _make_attempt(exch, conn, assignment, offset)
            for exch, conn, assignment in self._open.values()
        ]

    def abandon_silent(self, service: str, evidence: ReachEvidence, now: float) -> None:
        """Abandon silent attempts at a service of which no server can be reached.

        Requests that may not be repeated wait on.

        Parameters
        ----------
        service : str
            Name of the service.
        evidence : ReachEvidence
            What this node has heard from the service.
        now : float
            Current time on the node's clock, in seconds.
        """
        offset = now - _now()
        for exch, conn, assignment in list(self._open.values()):
            attempt = _make_attempt(exch, conn, assignment, offset)
            if (
                attempt.service == service
                and exch.rule.repeatable
                and is_abandoned(attempt, evidence, now=now)
            ):
                conn.abandon("no server of the service can be reached")

    def abandon_blocked(self, is_blocked: Callable[[Exchange], bool]) -> None:
        """Abandon the attempts of requests that have become blocked.

        A server that goes on with one of them may crash, and break off all others.

        Parameters
        ----------
        is_blocked : callable
            Returns whether a request must not be run.
        """
        for exch, conn, _ in list(self._open.values()):
            if is_blocked(exch):
                conn.abandon("such requests have crashed several servers")

    @asynccontextmanager
    async def open(
        self,
        exch: Exchange,
        assignment: ServerAssignment,
        *,
        get_time_left: Callable[[], float],
        may_abandon: Callable[[], bool],
    ) -> AsyncIterator[OpenAnswer]:
        """Send a request and wait for the head of its answer.

        Parameters
        ----------
        exch : Exchange
            Request to send.
        assignment : ServerAssignment
            Server assigned to the request.
        get_time_left : callable
            Returns the time until the request's deadline, in seconds.
        may_abandon : callable
            Returns whether a silent attempt may be abandoned.

        Yields
        ------
        OpenAnswer
            Answer of the assigned server to this request. The connection returns to
            the pool if the answer is read to its end.

        Raises
        ------
        AttemptError
            If there is no usable answer; ``verdict`` states whether the request may
            have run.
        TimeoutError
            If too little time is left when the connection is open. The process may have
            been paused meanwhile, and the request would run after its deadline.
        """
        server = assignment.server
        async with self._slots.hold(exch.priority):
            conn = await self._connect(exch, assignment)
            self._open[exch.exchange_id] = exch, conn, assignment
            released = False
            try:
                time_left = get_time_left()
                if time_left < MIN_TIME_LEFT:
                    exch.states.observe("connect_failure")
                    raise TimeoutError
                if self._has_left(server.server_id):
                    exch.states.observe("connect_failure")
                    message = "the server left before the request was sent"
                    raise AttemptError("left", message, Verdict.NOT_RUN)
                self._write(exch, conn, assignment, time_left)
                answer = await self._read_head(exch, conn, may_abandon)
                # What the headers say beside the answer must not cost the answer.
                call_logged(self._observe_headers, exch, server.server_id, answer.facts)
                await self._raise_if_not_run(answer)
                yield answer
                self._pool.release(server.server_id, conn)
                released = True
            except ExchangeFaultError as exc:
                self._loads.get_view(server.server_id).observe_result(True, _now())
                raise AttemptError(exc.kind, str(exc), Verdict.MAY_HAVE_RUN) from exc
            except AttemptError as exc:
                if exc.kind in ("refused", "misdirected"):
                    self._pool.release(server.server_id, conn)
                    released = True
                raise
            finally:
                self._open.pop(exch.exchange_id, None)
                if not released:
                    conn.abort()

    def _observe_headers(
        self, exch: Exchange, server_id: str, facts: ResponseInfo
    ) -> None:
        if facts.misdirected:
            self._cold.observe_misdirected(server_id)
            if facts.server_id and facts.server_id != server_id:
                self._loads.observe_replaced(server_id, facts.server_id)
            return
        self._cold.observe_answer(server_id, facts.cold_time)
        if facts.load is not None:
            self._loads.observe_report(server_id, facts.load)
        self._loads.observe_answer(server_id, exch.service.name, facts.max_rejections)
        if facts.not_run and facts.max_rejections is not None:
            self._observe_rejection(server_id, facts.max_rejections)
        if facts.leaving:
            self._observe_leaving(server_id)
        if facts.retry_after is not None:
            self._loads.observe_retry_after(server_id, facts.retry_after)
        assert exch.placed_at is not None
        self._limits.observe_answer(
            server_id, facts.max_request_rate, sent_at=exch.placed_at
        )

    async def _connect(
        self, exch: Exchange, assignment: ServerAssignment
    ) -> BackendConnection:
        server = assignment.server
        exch.observe_write()
        began_at = _now()
        try:
            return await self._pool.acquire(
                server.server_id,
                server.host,
                server.port,
                recent_only=exch.needs_recent_connection,
                request_id=exch.facts.request_id,
            )
        except ConnectFaultError as exc:
            exch.failed_connect_time += _now() - began_at
            exch.states.observe("connect_failure")
            raise AttemptError("connect", str(exc), Verdict.NOT_RUN) from exc

    def _write(
        self,
        exch: Exchange,
        conn: BackendConnection,
        assignment: ServerAssignment,
        time_left: float,
    ) -> None:
        server_id = assignment.server.server_id
        req, request_id = exch.req, exch.facts.request_id
        headers = make_forward_headers(
            req.headers,
            customer=exch.customer.name if exch.customer else None,
            server_id=server_id,
            time_left=time_left,
            priority=make_priority(exch),
            last_event_id=exch.last_event_id if exch.rule.resumable else None,
            fetch_from=assignment.fetch_from,
        )
        n_requests = conn.n_requests
        try:
            conn.send(req.method, req.target, headers, req.body, request_id=request_id)
        except ConnectFaultError as exc:
            exch.states.observe("connect_failure")
            raise AttemptError("connect", str(exc), Verdict.NOT_RUN) from exc
        except Exception:
            if conn.n_requests == n_requests:
                # The request could not be encoded, so no byte of it was written.
                exch.states.observe("connect_failure")
            raise
        exch.n_sent += 1
        exch.attempt.is_sent = True
        exch.tried_servers.add(server_id)

    async def _read_head(
        self, exch: Exchange, conn: BackendConnection, may_abandon: Callable[[], bool]
    ) -> OpenAnswer:
        for _ in range(MAX_MISMATCHED_ANSWERS):
            async with SilenceLimit(max_head_silence(exch), may_abandon):
                head = await conn.read_head()
                facts = _decode_head(head)
                if facts.request_id == exch.facts.request_id:
                    # A node that forwarded the request would take them for this node's.
                    headers = strip_node_headers(head.headers)
                    head = replace(head, headers=headers)
                    return OpenAnswer(conn, head, facts, self._buffers)
                if not facts.request_id:
                    # It may be a copy of an earlier answer, also on a new connection.
                    message = "an answer that names no request, or several"
                    raise ExchangeFaultError("invalid", message)
                exch.record("strange_answer", answers=facts.request_id)
                await OpenAnswer(conn, head, facts, self._buffers).read_whole()
                conn.skip_stale_response()
        raise ExchangeFaultError("invalid", "received only answers to other requests")

    async def _raise_if_not_run(self, answer: OpenAnswer) -> None:
        if not answer.facts.not_run:
            return
        try:
            async with asyncio.timeout(MAX_REFUSAL_TIME):
                await answer.read_whole(max_bytes=MAX_REFUSAL_BYTES)
        except (ExchangeFaultError, TimeoutError) as exc:
            # The head already states that the request was not run.
            log.info("body of a refusal not readable", extra={"fault": repr(exc)})
            answer.conn.abort()
        kind = "misdirected" if answer.facts.misdirected else "refused"
        message = (
            f"the server answered {answer.facts.status} without running the request"
        )
        raise AttemptError(kind, message, Verdict.NOT_RUN)


def _decode_head(head: ResponseHead) -> ResponseInfo:
    try:
        return decode_response(head.status, head.headers)
    except Exception as exc:
        log.exception("unexpected error while headers were decoded")
        raise ExchangeFaultError("invalid", repr(exc)) from exc


def _make_attempt(
    exch: Exchange,
    conn: BackendConnection,
    assignment: ServerAssignment,
    clock_offset: float,
) -> OpenAttempt:
    return OpenAttempt(
        service=exch.service.name,
        server_id=assignment.server.server_id,
        active_at=conn.active_at + clock_offset,
        predicted=assignment.placement.predicted,
        max_pause=exch.rule.max_pause,
        has_events=exch.attempt.n_events > 0,
        is_new_connection=conn.n_requests == 1,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()


def max_head_silence(exch: Exchange) -> float | None:
    """Return the time without an answer after which an attempt may be abandoned.

    Parameters
    ----------
    exch : Exchange
        Request that was sent.

    Returns
    -------
    float or None
        Time in seconds; None if the request may not be repeated.
    """
    if not exch.rule.repeatable:
        return None
    if exch.rule.streams:
        return max(
            MIN_FIRST_EVENT_SILENCE, FIRST_EVENT_SILENCE_FACTOR * exch.rule.target
        )
    return max(MIN_PLAIN_SILENCE, PLAIN_SILENCE_FACTOR * exch.rule.target)


def max_event_silence(exch: Exchange) -> float | None:
    """Return the time without an event after which a stream is resumed elsewhere.

    Parameters
    ----------
    exch : Exchange
        Request whose answer is streamed.

    Returns
    -------
    float or None
        Time in seconds; None if the stream is not resumable.
    """
    if not exch.rule.resumable:
        return None
    return max(MIN_PAUSE_SILENCE, PAUSE_SILENCE_FACTOR * exch.rule.max_pause)
