"""Forwarding of requests to a node that reaches servers which this one does not.

The other node accepts the request as if the caller had sent it there, except that it
does not forward it again. The answer passes through this node.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import NoReturn

from ..platform import (
    ResponseInfo,
    decode_response,
    make_forwarded_headers,
    make_response_headers,
    parse_address,
    parse_count,
)
from ..policy import (
    ForwardPeer,
    Refusal,
    StreamOrigin,
    Verdict,
    choose_forward_peer,
)
from ..transport import (
    BackendConnection,
    ConnectFaultError,
    ConnectionPool,
    ConnectionSlots,
    ExchangeFaultError,
    IncomingRequest,
)
from ._answer_buffers import AnswerBuffers
from ._event_relay import relay_events
from ._exchange import (
    NOT_RUN_STATUSES,
    SUCCESS_STATUSES,
    UNCERTAIN_STATUSES,
    Exchange,
    Outcome,
    strip_node_headers,
)
from ._reach import RECHECK_INTERVAL, ReachMonitor
from ._sender import (
    MIN_TIME_LEFT,
    AttemptError,
    OpenAnswer,
    max_event_silence,
    max_head_silence,
)
from ._silence import SilenceLimit

FORWARDED_BY = "medlargate-forwarded-by"
N_SENT = "medlargate-n-sent"
ORIGIN_SERVICE = "medlargate-origin-service"
ORIGIN_VERSION = "medlargate-origin-version"
REFUSAL_CODE = "medlargate-refusal"
REFUSAL_VERDICT = "medlargate-verdict"

# The other node answers before this node's own deadline for the request.
DEADLINE_RESERVE = 0.05  # seconds
# The other node gives up a silent server after the usual time, and this node a silent
# node only later.
PEER_SILENCE_MARGIN = 0.5  # seconds
# Reasons for which another node would refuse the request as well, or must not send it:
# servers that refused it have used up the attempts of its route.
FINAL_REFUSALS = frozenset(
    {
        "crashes_servers",
        "not_run:misdirected",
        "not_run:refused",
        "timeout_not_run",
        "too_large",
        "too_late",
    }
)


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """What a node says of a request that it forwards.

    Attributes
    ----------
    sender : str
        Name of the node.
    n_sent : int
        Number of servers to which it has sent the request.
    origin : StreamOrigin or None
        Where the stream began of which the caller has events; None if unknown.
    """

    sender: str
    n_sent: int
    origin: StreamOrigin | None


def decode_forwarded(
    req: IncomingRequest,
) -> tuple[IncomingRequest, ForwardedRequest] | None:
    """Decode a request that another node forwards.

    Parameters
    ----------
    req : IncomingRequest
        Request on the port for messages between nodes.

    Returns
    -------
    tuple of (IncomingRequest, ForwardedRequest) or None
        Request as the caller sent it, and what the node says of it; None if it is no
        forwarded request.
    """
    sender = req.get(FORWARDED_BY)
    if not sender:
        return None
    service = req.get(ORIGIN_SERVICE)
    origin = StreamOrigin(service, req.get(ORIGIN_VERSION) or "") if service else None
    n_sent = req.get(N_SENT) or "0"
    forwarded = ForwardedRequest(sender, parse_count(n_sent) or 0, origin)
    return replace(req, headers=strip_node_headers(req.headers)), forwarded


def make_origin_headers(origin: StreamOrigin | None) -> list[tuple[bytes, bytes]]:
    """Make the headers that name where a stream began."""
    if origin is None:
        return []
    return [
        (ORIGIN_SERVICE.encode(), origin.service.encode()),
        (ORIGIN_VERSION.encode(), origin.version.encode()),
    ]


def make_refusal_notice(exc: Refusal) -> list[tuple[bytes, bytes]]:
    """Make the headers by which the forwarding node recognizes a refusal."""
    return [
        (REFUSAL_CODE.encode(), exc.code.encode()),
        (REFUSAL_VERDICT.encode(), str(exc.verdict).encode()),
    ]


class Forwarder:
    """Sender of requests to other nodes while this node reaches no server.

    Parameters
    ----------
    name, domain : str
        Name and failure domain of this node.
    reach : ReachMonitor
        Services of which this node reaches no server.
    list_peers : callable
        Returns the live nodes, given the name of a service.
    clock : callable
        Returns the node's monotonic time in seconds.
    buffers : AnswerBuffers
        Buffers of all answers of the node.
    slots : ConnectionSlots
        Limit of the requests that have a connection to a server or to another node.
    random_state : random.Random
        Source of the choice among equal nodes.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        reach: ReachMonitor,
        list_peers: Callable[[str], Sequence[ForwardPeer]],
        clock: Callable[[], float],
        buffers: AnswerBuffers,
        slots: ConnectionSlots,
        *,
        random_state: random.Random,
    ) -> None:
        self._buffers = buffers
        self._name = name
        self._domain = domain
        self._reach = reach
        self._list_peers = list_peers
        self._clock = clock
        self._random_state = random_state
        self._pool = ConnectionPool()
        self._slots = slots
        self._n_forwarded: Counter[str] = Counter()

    def close(self) -> None:
        """Close the connections to other nodes."""
        self._pool.close()

    def choose_peer(self, exch: Exchange) -> ForwardPeer | None:
        """Choose the node that serves a request instead of this one.

        Parameters
        ----------
        exch : Exchange
            Accepted request.

        Returns
        -------
        ForwardPeer or None
            None if this node has to serve the request itself: it reaches the service,
            or no other node is live.

        Raises
        ------
        Refusal
            If every node has failed to reach the service.
        """
        service = exch.service.name
        if not self._reach.is_unreachable(service):
            return None
        peer = None
        if exch.forwarded is None:
            peer = choose_forward_peer(
                [self._count_forwarded(it) for it in self._list_peers(service)],
                domain=self._domain,
                tried=exch.tried_peers,
                random_state=self._random_state,
            )
        if peer is None and (exch.tried_peers or exch.forwarded is not None):
            self._raise_cut_off(exch)
        return peer

    def _count_forwarded(self, peer: ForwardPeer) -> ForwardPeer:
        n_requests = max(peer.n_requests, self._n_forwarded[peer.name])
        return replace(peer, n_requests=n_requests)

    def _raise_cut_off(self, exch: Exchange) -> NoReturn:
        is_not_run = exch.verdict is Verdict.NOT_RUN
        raise Refusal(
            503 if is_not_run else 502,
            "cut_off",
            f"no server of service {exch.service.name} can be reached",
            exch.verdict,
            retry_after=RECHECK_INTERVAL if is_not_run else None,
        )

    async def forward(self, exch: Exchange, peer: ForwardPeer) -> Outcome:
        """Let another node serve a request, and relay its answer.

        Parameters
        ----------
        exch : Exchange
            Accepted request.
        peer : ForwardPeer
            Node that serves it.

        Returns
        -------
        Outcome
            Outcome of the request.

        Raises
        ------
        AttemptError
            If the node can't serve the request, or its answer is incomplete.
        Refusal
            If the node refused the request for a reason that holds on every node.
        """
        exch.tried_peers.add(peer.name)
        exch.n_granted = self._grant_attempts(exch)
        exch.placed_at = self._clock()
        exch.record("forward", peer=peer.name, domain=peer.domain, n_sent=exch.n_sent)
        self._n_forwarded[peer.name] += 1
        try:
            async with self._slots.hold(exch.priority):
                return await self._exchange(exch, peer)
        finally:
            self._n_forwarded[peer.name] -= 1

    async def _exchange(self, exch: Exchange, peer: ForwardPeer) -> Outcome:
        conn = await self._send(exch, peer)
        released = False
        try:
            outcome = await self._relay_answer(exch, conn)
            self._pool.release(peer.name, conn)
            released = True
            return outcome
        except ExchangeFaultError as exc:
            message = f"node {peer.name}: {exc}"
            raise AttemptError(exc.kind, message, Verdict.MAY_HAVE_RUN) from exc
        finally:
            if not released:
                conn.abort()

    async def _send(self, exch: Exchange, peer: ForwardPeer) -> BackendConnection:
        exch.observe_write()
        began_at = self._clock()
        try:
            conn = await self._connect(exch, peer)
        except ConnectFaultError as exc:
            exch.failed_connect_time += self._clock() - began_at
            exch.states.observe("connect_failure")
            raise _make_connect_error(peer, exc) from exc
        try:
            self._write(exch, conn)
        except ConnectFaultError as exc:
            raise _make_connect_error(peer, exc) from exc
        exch.n_sent += exch.n_granted
        return conn

    def _grant_attempts(self, exch: Exchange) -> int:
        """Return how many servers the other node may send a request to.

        All of them count as used, since that node may fall silent. One attempt is
        granted while a further node could make the others.
        """
        if self._has_other_peer(exch):
            return 1
        return max(1, exch.rule.max_attempts - exch.n_sent)

    async def _connect(self, exch: Exchange, peer: ForwardPeer) -> BackendConnection:
        address = parse_address(peer.address)
        if address is None:
            raise ConnectFaultError(f"{peer.address!r} is no address")
        return await self._pool.acquire(
            peer.name,
            *address,
            recent_only=not exch.rule.repeatable,
            request_id=exch.facts.request_id,
        )

    def _write(self, exch: Exchange, conn: BackendConnection) -> None:
        """Write a request; close the connection if nothing can be written."""
        req, n_requests = exch.req, conn.n_requests
        try:
            time_left = exch.deadline - self._clock()
            if time_left < MIN_TIME_LEFT:
                # The process may have been paused while the connection was opened.
                raise TimeoutError
            conn.send(
                req.method,
                req.target,
                self._make_headers(exch, time_left),
                req.body,
                request_id=exch.facts.request_id,
            )
        except Exception:
            conn.abort()
            if conn.n_requests == n_requests:
                exch.states.observe("connect_failure")
            raise

    def _make_headers(
        self, exch: Exchange, time_left: float
    ) -> list[tuple[bytes, bytes]]:
        headers = make_forwarded_headers(
            strip_node_headers(exch.req.headers),
            time_left=time_left - DEADLINE_RESERVE,
            last_event_id=exch.last_event_id if exch.rule.resumable else None,
        )
        headers.append((FORWARDED_BY.encode(), self._name.encode()))
        # The other node takes what is left of the route's attempts.
        n_sent = exch.rule.max_attempts - exch.n_granted
        headers.append((N_SENT.encode(), b"%d" % max(0, n_sent)))
        headers += make_origin_headers(exch.origin)
        return headers

    async def _relay_answer(self, exch: Exchange, conn: BackendConnection) -> Outcome:
        def may_abandon() -> bool:
            return self._may_forward_again(exch)

        async with SilenceLimit(_with_margin(max_head_silence(exch)), may_abandon):
            head = await conn.read_head()
        facts = decode_response(head.status, head.headers)
        answer = OpenAnswer(
            conn,
            replace(head, headers=strip_node_headers(head.headers)),
            facts,
            self._buffers,
        )
        if facts.request_id != exch.facts.request_id:
            raise ExchangeFaultError("invalid", "an answer to another request")
        code = head.get(REFUSAL_CODE)
        if code is not None:
            await answer.read_whole()
            self._raise_refusal(exch, code, head.get(REFUSAL_VERDICT), facts)
        if facts.status in NOT_RUN_STATUSES:
            raise ExchangeFaultError("invalid", f"a {facts.status} without a verdict")
        service = head.get(ORIGIN_SERVICE)
        if service is not None and exch.origin is None:
            exch.origin = StreamOrigin(service, head.get(ORIGIN_VERSION) or "")
        if exch.rule.streams and facts.status in SUCCESS_STATUSES:
            silence = _with_margin(max_event_silence(exch))
            async with SilenceLimit(silence, may_abandon) as limit:
                await relay_events(
                    exch,
                    answer,
                    limit,
                    on_first_event=lambda: self._observe_first_event(exch),
                    clock=self._clock,
                )
            exch.states.observe("finish")
            await exch.responder.finish()
            return Outcome(facts.status, "ok")
        whole = await answer.read_whole()
        if exch.responder.started:
            raise ExchangeFaultError("invalid", f"a {facts.status} within a stream")
        if facts.status >= 500 and self._may_forward_again(exch):
            message = f"a server of another node answered {facts.status}"
            raise AttemptError("failed", message, Verdict.RAN, whole)
        exch.states.observe("finish")
        headers = make_response_headers(answer.head.headers)
        await exch.responder.send(facts.status, headers, whole.body)
        return Outcome(
            facts.status, "ok" if facts.status in SUCCESS_STATUSES else "backend"
        )

    def _may_forward_again(self, exch: Exchange) -> bool:
        """Return whether another node may make the next attempt."""
        return (
            exch.rule.repeatable
            and exch.n_attempts < exch.rule.max_attempts
            and self._has_other_peer(exch)
        )

    def _has_other_peer(self, exch: Exchange) -> bool:
        peers = self._list_peers(exch.service.name)
        return any(
            it.reaches_service and it.name not in exch.tried_peers for it in peers
        )

    def _observe_first_event(self, exch: Exchange) -> None:
        if exch.first_event_at is None:
            exch.first_event_at = self._clock()
        exch.states.observe("first_byte")

    def _raise_refusal(
        self, exch: Exchange, code: str, verdict: str | None, facts: ResponseInfo
    ) -> NoReturn:
        """Raise what the refusal of another node means for this node's caller."""
        message = (
            f"the node that the request was forwarded to answered {facts.status}"
            f" {code}, {verdict or 'without a verdict'}"
        )
        # Builds without the verdict of a timeout state "not run" with a 504.
        if verdict != Verdict.NOT_RUN or facts.status in UNCERTAIN_STATUSES:
            if facts.status == 502 and self._may_forward_again(exch):
                raise AttemptError("failed", message, Verdict.MAY_HAVE_RUN)
            raise Refusal(facts.status, code, message, Verdict.MAY_HAVE_RUN)
        exch.n_sent -= exch.n_granted
        exch.states.observe("backend_refusal")
        if code not in FINAL_REFUSALS:
            raise AttemptError("connect", message, Verdict.NOT_RUN)
        raise Refusal(
            facts.status, code, message, exch.verdict, retry_after=facts.retry_after
        )


def _make_connect_error(peer: ForwardPeer, exc: ConnectFaultError) -> AttemptError:
    return AttemptError("connect", f"node {peer.name}: {exc}", Verdict.NOT_RUN)


def _with_margin(silence: float | None) -> float | None:
    return silence + PEER_SILENCE_MARGIN if silence is not None else None
