"""One attempt of a request at one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ..platform import AnswerFacts, decode_answer, make_forward_headers
from ..policy import Verdict
from ..routing import Repeat
from ..transport import (
    AnswerHead,
    BackendConnection,
    ConnectFaultError,
    ConnectionPool,
    ExchangeFaultError,
)
from ._exchange import Exchange
from ._load_tracker import LoadTracker
from ._request_queue import ServerAssignment

# Silence after which a request that may be repeated is given up at a server: a
# connection can go silent for good while new ones work.
PLAIN_SILENCE = 1.0  # seconds, at least
PLAIN_SILENCE_TARGETS = 3.0  # times the route's target
FIRST_EVENT_SILENCE = 2.0  # seconds, at least
FIRST_EVENT_SILENCE_TARGETS = 2.5  # times the route's target
PAUSE_SILENCE = 1.0  # seconds, at least
PAUSE_SILENCE_TARGETS = 2.0  # times the route's longest pause
MAX_STRANGE_ANSWERS = 3  # answers of other requests before one of this
MAX_PLAIN_BYTES = 16_777_216


class AttemptFault(Exception):
    """An attempt that brought no usable answer.

    Parameters
    ----------
    kind : str
        ``"connect"``, ``"refused"``, ``"misdirected"``, ``"failed"``, or the kind
        of an ``ExchangeFaultError``.
    message : str
        What was seen.
    verdict : Verdict
        Whether the server may have run the request.
    answer : Answer or None
        The server's own failure, whole.
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
    """A server's whole answer.

    Attributes
    ----------
    head : AnswerHead
        Status and headers.
    facts : AnswerFacts
        What they say.
    body : bytes
        The whole body.
    """

    head: AnswerHead
    facts: AnswerFacts
    body: bytes


def make_priority(exch: Exchange) -> int | None:
    """Return the rank that an engine is told."""
    return exch.priority if exch.service.engine is not None else None


class OpenAnswer:
    """An answer whose head has come.

    Parameters
    ----------
    conn : BackendConnection
        Where it comes from.
    head : AnswerHead
        Status and headers.
    facts : AnswerFacts
        What they say.
    """

    def __init__(
        self, conn: BackendConnection, head: AnswerHead, facts: AnswerFacts
    ) -> None:
        self.conn = conn
        self.head = head
        self.facts = facts

    async def read_whole(self) -> Answer:
        """Read the rest of the answer.

        Returns
        -------
        Answer
            The whole answer.

        Raises
        ------
        ExchangeFaultError
            It ended early.
        """
        body = bytearray()
        async for data in self.conn.read_body():
            body += data
            if len(body) > MAX_PLAIN_BYTES:
                raise ExchangeFaultError("invalid", "the answer is too large")
        return Answer(self.head, self.facts, bytes(body))


class Sender:
    """Sends requests to backend servers.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to them.
    loads : LoadTracker
        Told what is seen of them.
    """

    def __init__(self, pool: ConnectionPool, loads: LoadTracker) -> None:
        self._pool = pool
        self._loads = loads

    @asynccontextmanager
    async def open(
        self, exch: Exchange, assigned: ServerAssignment, *, time_left: float
    ) -> AsyncIterator[OpenAnswer]:
        """Send a request and wait for its answer's head.

        Parameters
        ----------
        exch : Exchange
            The request.
        assigned : Assigned
            The server.
        time_left : float
            Seconds until the answer is of no use.

        Yields
        ------
        OpenAnswer
            An answer to this request from the expected server; the connection is
            kept for others if it is read to its end.

        Raises
        ------
        AttemptFault
            No usable answer; the verdict says whether it may have run.
        """
        server = assigned.server
        conn = await self._connect(exch, assigned)
        kept = False
        try:
            self._write(exch, conn, assigned, time_left)
            answer = await self._read_head(exch, conn)
            if answer.facts.load is not None:
                self._loads.observe_report(server.server_id, answer.facts.load)
            await self._check_run(answer)
            yield answer
            self._pool.release(server.server_id, conn)
            kept = True
        except ExchangeFaultError as exc:
            self._loads.view(server.server_id).observe_result(True, _now())
            raise AttemptFault(exc.kind, str(exc), Verdict.MAY_HAVE_RUN) from exc
        except AttemptFault as exc:
            if exc.kind in ("refused", "misdirected"):
                self._pool.release(server.server_id, conn)
                kept = True
            raise
        finally:
            if not kept:
                conn.abort()

    async def _connect(
        self, exch: Exchange, assigned: ServerAssignment
    ) -> BackendConnection:
        server = assigned.server
        if exch.states.state == "queued":
            exch.states.observe("assign")
        exch.states.observe("write")
        fresh = exch.rule.repeat is Repeat.ONCE or (
            exch.rule.streams and not exch.rule.resumable
        )
        try:
            return await self._pool.acquire(
                server.server_id, server.host, server.port, fresh=fresh
            )
        except ConnectFaultError as exc:
            exch.states.observe("connect_failure")
            raise AttemptFault("connect", str(exc), Verdict.NOT_RUN) from exc

    def _write(
        self,
        exch: Exchange,
        conn: BackendConnection,
        assigned: ServerAssignment,
        time_left: float,
    ) -> None:
        server_id = assigned.server.server_id
        headers = make_forward_headers(
            exch.req.headers,
            customer=exch.customer.name if exch.customer else None,
            server_id=server_id,
            time_left=time_left,
            priority=make_priority(exch),
            last_event_id=exch.last_event_id if exch.rule.resumable else None,
            fetch_from=assigned.fetch_from,
        )
        try:
            conn.send(exch.req.method, exch.req.target, headers, exch.req.body)
        except ConnectFaultError as exc:
            exch.states.observe("connect_failure")
            raise AttemptFault("connect", str(exc), Verdict.NOT_RUN) from exc
        exch.n_sent += 1
        exch.tried.add(server_id)

    async def _read_head(self, exch: Exchange, conn: BackendConnection) -> OpenAnswer:
        for _ in range(MAX_STRANGE_ANSWERS):
            async with silence(_max_head_silence(exch)):
                head = await conn.read_head()
            facts = decode_answer(head.status, head.headers)
            if not facts.request_id or facts.request_id == exch.facts.request_id:
                return OpenAnswer(conn, head, facts)
            exch.record("strange_answer", answers=facts.request_id)
            await OpenAnswer(conn, head, facts).read_whole()
            conn.skip_answer()
        raise ExchangeFaultError("invalid", "only answers of other requests came")

    async def _check_run(self, answer: OpenAnswer) -> None:
        if not answer.facts.not_run:
            return
        await answer.read_whole()
        kind = "misdirected" if answer.facts.misdirected else "refused"
        message = f"the server answered {answer.facts.status}, not run"
        raise AttemptFault(kind, message, Verdict.NOT_RUN)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _max_head_silence(exch: Exchange) -> float | None:
    if not exch.rule.repeatable:
        return None
    if exch.rule.streams:
        return max(FIRST_EVENT_SILENCE, FIRST_EVENT_SILENCE_TARGETS * exch.rule.target)
    return max(PLAIN_SILENCE, PLAIN_SILENCE_TARGETS * exch.rule.target)


def max_pause_silence(exch: Exchange) -> float | None:
    """Return the silence between events after which a stream is resumed elsewhere."""
    if not exch.rule.resumable:
        return None
    return max(PAUSE_SILENCE, PAUSE_SILENCE_TARGETS * exch.rule.max_pause)


@asynccontextmanager
async def silence(seconds: float | None) -> AsyncIterator[None]:
    """Turn too long a wait into an ``ExchangeFaultError``."""
    timer = asyncio.timeout(seconds)
    try:
        async with timer:
            yield
    except TimeoutError as exc:
        if not timer.expired():
            raise
        raise ExchangeFaultError("silent", f"nothing came for {seconds} s") from exc
