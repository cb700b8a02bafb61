"""Request handling from acceptance through placement and retries to the answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

import orjson

from .._tasks import call_logged
from ..platform import decode_request, make_refusal_headers, make_response_headers
from ..policy import (
    FleetRetryBudget,
    ForwardPeer,
    Refusal,
    StopSchedule,
    StreamOrigin,
    Verdict,
)
from ..routing import Registration
from ..transport import IncomingRequest, Responder
from ._accept import Acceptor
from ._crash_guard import CrashGuard
from ._crash_watch import CrashWatch
from ._event_relay import relay_events
from ._exchange import (
    NOT_RUN_STATUSES,
    SUCCESS_STATUSES,
    UNCERTAIN_STATUSES,
    AttemptProgress,
    Exchange,
    Outcome,
)
from ._forwarding import (
    ForwardedRequest,
    Forwarder,
    make_origin_headers,
    make_refusal_notice,
)
from ._load_tracker import SLOW_MACHINE, LoadTracker
from ._reach import ReachMonitor
from ._request_queue import RequestQueue, ServerAssignment
from ._request_recorder import RequestRecorder
from ._sender import (
    MIN_TIME_LEFT,
    Answer,
    AttemptError,
    OpenAnswer,
    Sender,
    max_event_silence,
    max_head_silence,
)
from ._silence import SilenceLimit
from ._stream_origins import StreamOrigins

log = logging.getLogger(__name__)

# Unreachable servers per request. If connections fail at once, all are tried.
MAX_CONNECT_TRIES = 4
MAX_CONNECT_TIME = 1.0  # seconds spent on connections that failed
# Retries of one request after answers 421, each of which costs a round trip.
MAX_MISDIRECTED_RETRIES = 3
NOT_RUN_RETRY_AFTER = 0.3  # seconds; sent when a request was not run
# The connection is closed, and the load balancer chooses another node.
STOPPING_RETRY_AFTER = 0.05  # seconds
CRASHING_RETRY_AFTER = 30.0  # seconds; the request is not run before that
CONNECTION_LOSSES = ("reset", "closed")
# Requests are not repeated from this share of the evidence that would block them.
MAX_REPEATED_SUSPICION = 0.5
SUSPECT_RETRY_DELAY = 0.25  # seconds
CRASH_SIGNS = (*CONNECTION_LOSSES, "silent")
INTERNAL_ERROR = "internal_error"


class RequestHandler:
    """Handler of requests from the listener to their final answers.

    Parameters
    ----------
    acceptor : Acceptor
        Determines the route, customer and deadline of a request.
    queue : RequestQueue
        Assigns a server to a request.
    sender : Sender
        Sends a request to the assigned server.
    loads : LoadTracker
        Load estimates, updated with the measured times and results.
    recorder : RequestRecorder
        Records usage, outcomes and metrics.
    crash_guard : CrashGuard
        Requests and prompt parts that crash servers.
    crash_watch : CrashWatch
        Gets the begin and the end of each attempt.
    origins : StreamOrigins
        Software versions at which streams began.
    reach : ReachMonitor
        Services of which this node reaches no server.
    forwarder : Forwarder
        Forwards requests to other nodes while this node reaches no server.
    get_budget : callable
        Returns the retry budget of a service.
    count_nodes : callable
        Returns the number of nodes that share the retry budgets.
    clock : callable
        Returns the node's monotonic time in seconds.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        queue: RequestQueue,
        sender: Sender,
        loads: LoadTracker,
        recorder: RequestRecorder,
        *,
        crash_guard: CrashGuard,
        crash_watch: CrashWatch,
        origins: StreamOrigins,
        reach: ReachMonitor,
        forwarder: Forwarder,
        get_budget: Callable[[str], FleetRetryBudget],
        count_nodes: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._acceptor = acceptor
        self._queue = queue
        self._sender = sender
        self._loads = loads
        self._recorder = recorder
        self._crash_guard = crash_guard
        self._crash_watch = crash_watch
        self._origins = origins
        self._reach = reach
        self._forwarder = forwarder
        self._get_budget = get_budget
        self._count_nodes = count_nodes
        self._clock = clock
        self._stop: StopSchedule | None = None
        self._timers: dict[int, tuple[Exchange, asyncio.Timeout]] = {}
        self.n_active = 0

    def begin_stop(self, stop: StopSchedule) -> None:
        """Let each request end before the node does.

        Parameters
        ----------
        stop : StopSchedule
            Times of the planned stop.
        """
        self._stop = stop
        for exch, timer in self._timers.values():
            if not timer.expired():
                timer.reschedule(_now() + self._get_time_left(exch))

    def end_admission(self) -> None:
        """Refuse the waiting requests that could not end before the node does."""
        self._queue.refuse_waiting(self._find_stop_refusal)

    def _find_stop_refusal(self, exch: Exchange) -> Refusal | None:
        """Return the refusal of a request that may not be sent during a stop."""
        if (
            self._stop is None
            # A retry may still complete what has begun.
            or exch.verdict is not Verdict.NOT_RUN
            or exch.responder.started
            or self._stop.may_send(deadline=exch.deadline, now=self._clock())
        ):
            return None
        return Refusal(
            503,
            "stopping",
            "not run: the node stops",
            Verdict.NOT_RUN,
            retry_after=STOPPING_RETRY_AFTER,
        )

    async def handle(
        self,
        req: IncomingRequest,
        responder: Responder,
        *,
        forwarded: ForwardedRequest | None = None,
    ) -> None:
        """Answer one request.

        Parameters
        ----------
        req : IncomingRequest
            Request with its complete body.
        responder : Responder
            Sends the answer to the caller.
        forwarded : ForwardedRequest or None
            What the node says that forwarded the request; None if a caller sent it.
        """
        self.n_active += 1
        try:
            await self._handle(req, responder, forwarded)
        finally:
            self.n_active -= 1

    async def _handle(
        self,
        req: IncomingRequest,
        responder: Responder,
        forwarded: ForwardedRequest | None,
    ) -> None:
        try:
            exch = await self._accept(req, responder, forwarded)
        except Refusal as exc:
            request_id = decode_request(req.headers).request_id
            call_logged(self._recorder.observe_rejected, request_id, exc)
            await _send_refusal(responder, request_id, exc, forwarded)
            return
        task = asyncio.current_task()
        assert task is not None

        def cancel() -> None:
            # A call that may have run, and may not be repeated, is completed.
            if (
                exch.rule.streams
                or exch.rule.repeatable
                or exch.verdict is Verdict.NOT_RUN
            ):
                task.cancel()

        responder.on_disconnect = cancel
        try:
            outcome = await self._serve_in_time(exch)
        except asyncio.CancelledError:
            outcome = Outcome(499, "caller_gone")
            call_logged(self._recorder.observe_end, exch, outcome)
            if responder.gone:
                return
            raise
        call_logged(self._recorder.observe_end, exch, outcome)

    async def _accept(
        self,
        req: IncomingRequest,
        responder: Responder,
        forwarded: ForwardedRequest | None,
    ) -> Exchange:
        try:
            exch = await self._acceptor.accept(req, responder)
            if forwarded is not None:
                _apply_forwarded(exch, forwarded)
        except Refusal:
            raise
        except Exception as exc:
            raise self._make_internal_error(exc, Verdict.NOT_RUN) from exc
        call_logged(self._recorder.observe_arrival, exch)
        return exch

    def _make_internal_error(
        self, exc: Exception, verdict: Verdict, request_id: str | None = None
    ) -> Refusal:
        """Log an error that nothing expects, and return the answer to the caller."""
        log.error(
            "unexpected error in a request",
            extra={"request": request_id, "verdict": str(verdict)},
            exc_info=exc,
        )
        call_logged(self._recorder.observe_event, INTERNAL_ERROR)
        message = f"unexpected error: {type(exc).__name__}"
        if verdict is Verdict.NOT_RUN:
            return Refusal(
                503, INTERNAL_ERROR, message, verdict, retry_after=NOT_RUN_RETRY_AFTER
            )
        return Refusal(502, INTERNAL_ERROR, message, verdict)

    async def _serve_in_time(self, exch: Exchange) -> Outcome:
        timer = asyncio.timeout(max(0.0, self._get_time_left(exch)))
        try:
            async with timer:
                self._timers[exch.exchange_id] = exch, timer
                try:
                    return await self._serve(exch)
                finally:
                    del self._timers[exch.exchange_id]
        except TimeoutError:
            refusal = self._make_timeout(exch)
        except Refusal as exc:
            refusal = _make_truthful(exc, exch.verdict)
        except Exception as exc:
            refusal = self._make_internal_error(
                exc, exch.verdict, exch.facts.request_id
            )
        if exch.responder.finished:
            return Outcome(exch.responder.status, f"answered:{refusal.code}")
        if exch.responder.started:
            exch.responder.abort()
            return Outcome(0, f"broken_off:{refusal.code}")
        await _send_refusal(
            exch.responder, exch.facts.request_id, refusal, exch.forwarded
        )
        return Outcome(refusal.status, refusal.code)

    def _make_timeout(self, exch: Exchange) -> Refusal:
        if self._stop is not None and self._stop.answers_end_at < exch.deadline:
            refusal = self._find_stop_refusal(exch)
            if refusal is not None:
                return refusal
            message = "the node stopped before the answer was complete"
            return Refusal(502, "stopping", message, Verdict.MAY_HAVE_RUN)
        if exch.verdict is Verdict.NOT_RUN:
            return Refusal(
                503,
                "timeout_not_run",
                "the deadline passed before the request was run",
                Verdict.NOT_RUN,
                retry_after=NOT_RUN_RETRY_AFTER,
            )
        return Refusal(
            504,
            "timeout",
            "the deadline passed before the answer was complete",
            exch.verdict,
        )

    async def _serve(self, exch: Exchange) -> Outcome:
        n_unreachable = 0
        if exch.is_resumed and exch.origin is None:
            exch.origin = await self._origins.find(exch)
        while True:
            self._raise_if_blocked(exch)
            refusal = self._find_stop_refusal(exch)
            if refusal is not None:
                raise refusal
            await self._reach.wait_for_check(exch.service.name)
            try:
                peer = self._forwarder.choose_peer(exch)
                if peer is not None:
                    return await self._forward(exch, peer)
                return await self._serve_here(exch)
            except AttemptError as fault:
                n_unreachable += fault.kind == "connect"
                if fault.kind in CRASH_SIGNS:
                    await self._wait_for_evidence(exch)
                reason = self._find_stop_reason(exch, fault, n_unreachable)
                if reason is None:
                    exch.record("retry", fault=fault.kind, n_sent=exch.n_sent)
                    continue
                return await self._finish_failed(exch, fault, reason)

    async def _wait_for_evidence(self, exch: Exchange) -> None:
        """Let what is known of a crash arrive before a suspected request is repeated.

        A server has just crashed under such requests, and each repeat may cost
        another one.
        """
        if exch.may_repeat and self._crash_guard.compute_suspicion(exch):
            await asyncio.sleep(SUSPECT_RETRY_DELAY)

    async def _serve_here(self, exch: Exchange) -> Outcome:
        """Send a request to one of the servers that this node reaches."""
        service = exch.service.name
        assignment = await self._queue.acquire(exch)
        if assignment.state.probe_age is not None:
            self._recorder.observe_event("speed_probe")
        elif assignment.state.machine_slowness > SLOW_MACHINE:
            self._recorder.observe_event("slow_machine")
        if assignment.confined_for is not None:
            self._recorder.observe_event("confined_send")
        server = assignment.server
        try:
            # The block may have come while the request waited.
            self._raise_if_blocked(exch)
            outcome = await self._attempt(exch, assignment)
            self._crash_watch.observe_answered(exch, server)
            return outcome
        except AttemptError as fault:
            self._observe_crash_signs(exch, server, fault)
            self._observe_fault(exch, assignment, fault)
            if fault.kind == "connect" or fault.kind in CONNECTION_LOSSES:
                await self._reach.check(service, since=exch.placed_at or 0.0)
            raise
        finally:
            self._crash_watch.observe_abandoned(exch, server)
            self._queue.observe_end(exch, server.server_id)
            self._queue.observe_change()

    async def _forward(self, exch: Exchange, peer: ForwardPeer) -> Outcome:
        """Let another node serve a request."""
        if self._get_time_left(exch) < MIN_TIME_LEFT:
            raise self._make_timeout(exch)
        exch.attempt = AttemptProgress(self._clock())
        try:
            return await self._forwarder.forward(exch, peer)
        except AttemptError as fault:
            exch.record(
                "fault",
                peer=peer.name,
                fault=fault.kind,
                verdict=str(fault.verdict),
                detail=str(fault),
            )
            raise

    def _raise_if_blocked(self, exch: Exchange) -> None:
        blocked = self._crash_guard.find_blocked(exch)
        if blocked is None:
            return
        exch.record("blocked", mark=blocked)
        if exch.verdict is not Verdict.NOT_RUN:
            message = "not repeated: such requests have crashed several servers"
            raise Refusal(502, "failed:crashes_servers", message, exch.verdict)
        raise Refusal(
            503,
            "crashes_servers",
            "not run: such requests have crashed several servers",
            Verdict.NOT_RUN,
            retry_after=CRASHING_RETRY_AFTER,
        )

    # One attempt

    async def _attempt(self, exch: Exchange, assignment: ServerAssignment) -> Outcome:
        if self._get_time_left(exch) < MIN_TIME_LEFT:
            raise self._make_timeout(exch)
        now = self._clock()
        exch.attempt = AttemptProgress(now, heard_at=now)
        self._crash_watch.observe_begin(exch, assignment.server)
        if exch.n_sent == 0 and not (exch.forwarded and exch.forwarded.n_sent):
            self._get_budget(exch.service.name).observe_request(self._clock())

        def may_abandon() -> bool:
            return self._may_abandon(exch)

        async with self._sender.open(
            exch,
            assignment,
            get_time_left=lambda: self._get_time_left(exch),
            may_abandon=may_abandon,
        ) as open_answer:
            exch.attempt.has_head = True
            exch.attempt.heard_at = self._clock()
            self._reach.observe_response(
                exch.service.name, is_new_connection=open_answer.conn.n_requests == 1
            )
            if exch.rule.streams and open_answer.facts.status in SUCCESS_STATUSES:
                return await self._relay_stream(
                    exch, assignment, open_answer, may_abandon
                )
            async with SilenceLimit(max_head_silence(exch), may_abandon):
                answer = await open_answer.read_whole()
        return await self._relay_whole(exch, assignment, answer)

    def _get_time_left(self, exch: Exchange) -> float:
        end = exch.deadline
        if self._stop is not None:
            end = min(end, self._stop.answers_end_at)
        return end - self._clock()

    def _may_abandon(self, exch: Exchange) -> bool:
        """Return whether another attempt can follow a silent one."""
        return (
            exch.may_repeat
            and self._get_budget(exch.service.name).can_spend(
                self._clock(), n_nodes=self._count_nodes()
            )
            and self._queue.has_untried_server(exch)
        )

    async def _relay_whole(
        self, exch: Exchange, assignment: ServerAssignment, answer: Answer
    ) -> Outcome:
        server_id = assignment.server.server_id
        self._recorder.observe_run(exch)
        facts = answer.facts
        failed = facts.status >= 500
        self._loads.get_view(server_id).observe_result(failed, _now())
        if not failed:
            self._loads.observe_response_start(
                exch.exchange_id, exch.service, server_id
            )
        if facts.status in SUCCESS_STATUSES and (not facts.sealed or facts.encoded):
            message = "successful answer without a valid seal or with an encoded body"
            raise AttemptError("invalid", message, Verdict.MAY_HAVE_RUN)
        message = f"the server answered {facts.status}"
        if exch.responder.started:
            # Only events can follow the events that the caller has.
            raise AttemptError("failed", message, Verdict.RAN)
        if failed or facts.status in NOT_RUN_STATUSES:
            raise AttemptError("failed", message, Verdict.RAN, answer)
        self._loads.memory.observe_completed(exch)
        self._crash_guard.observe_completed(exch.features)
        exch.states.observe("finish")
        await self._deliver(exch, answer)
        return Outcome(
            facts.status, "ok" if facts.status in SUCCESS_STATUSES else "backend"
        )

    async def _deliver(self, exch: Exchange, answer: Answer) -> None:
        headers = make_response_headers(answer.head.headers)
        await exch.responder.send(answer.facts.status, headers, answer.body)

    async def _relay_stream(
        self,
        exch: Exchange,
        assignment: ServerAssignment,
        open_answer: OpenAnswer,
        may_abandon: Callable[[], bool],
    ) -> Outcome:
        if not open_answer.facts.sealed or open_answer.facts.encoded:
            message = "stream without a valid seal or with an encoded body"
            raise AttemptError("invalid", message, Verdict.MAY_HAVE_RUN)
        server = assignment.server

        def observe_first_event() -> None:
            self._observe_first_event(exch, assignment)
            self._observe_origin(exch, server)

        async with SilenceLimit(max_event_silence(exch), may_abandon) as limit:
            await relay_events(
                exch,
                open_answer,
                limit,
                on_first_event=observe_first_event,
                make_extra_headers=lambda: _make_origin_headers(exch),
                clock=self._clock,
            )
        self._observe_token_time(exch, server.server_id)
        if open_answer.head.is_delimited:
            self._crash_guard.observe_completed(exch.features)
        else:
            self._crash_watch.observe_unframed_end(exch, server)
        self._loads.get_view(server.server_id).observe_result(False, _now())
        self._loads.memory.observe_completed(exch)
        exch.states.observe("finish")
        await exch.responder.finish()
        return Outcome(open_answer.facts.status, "ok")

    def _observe_token_time(self, exch: Exchange, server_id: str) -> None:
        """Measure the pauses of a stream that one server sent from begin to end."""
        engine, first, last = (
            exch.service.engine,
            exch.first_event_at,
            exch.last_event_at,
        )
        n_pauses = exch.n_events - 1
        if engine is None or first is None or last is None or n_pauses < 1:
            return
        if exch.n_attempts == 1:
            n_tokens = n_pauses * engine.n_tokens_per_event
            self._loads.observe_token_time(
                exch.service, server_id, (last - first) / n_tokens
            )

    def _observe_first_event(
        self, exch: Exchange, assignment: ServerAssignment
    ) -> None:
        server_id = assignment.server.server_id
        self._loads.observe_response_start(exch.exchange_id, exch.service, server_id)
        self._recorder.observe_run(exch)
        if exch.first_event_at is None:
            exch.first_event_at = self._clock()
        exch.states.observe("first_byte")
        self._queue.observe_change()

    def _observe_origin(self, exch: Exchange, server: Registration) -> None:
        """Record the version that begins a stream, before the caller has an event."""
        if exch.origin is None and exch.rule.resumable:
            exch.origin = StreamOrigin(exch.service.name, server.software_version)
            self._origins.observe_begin(exch, exch.origin)

    # After a failed attempt

    def _observe_fault(
        self, exch: Exchange, assignment: ServerAssignment, fault: AttemptError
    ) -> None:
        server_id = assignment.server.server_id
        view = self._loads.get_view(server_id)
        if fault.verdict is not Verdict.MAY_HAVE_RUN:
            self._loads.memory.observe_not_run(exch)
        exch.record(
            "fault",
            server=server_id,
            fault=fault.kind,
            verdict=str(fault.verdict),
            detail=str(fault),
        )
        if fault.kind == "connect":
            exch.tried_servers.add(server_id)
            self._loads.observe_unreachable(server_id, assignment.server.zone)
        elif fault.kind == "misdirected":
            self._recorder.observe_event("misdirected")
            exch.misdirected_servers.add(server_id)
            self._loads.observe_unreachable(server_id)
            exch.states.observe("backend_refusal")
        elif fault.kind == "refused":
            # A server that asks for a pause is not a failing one.
            if not self._loads.get_refusal_time(server_id):
                view.observe_result(True, _now())
            exch.states.observe("backend_refusal")
        if exch.service.engine is None and fault.verdict is Verdict.MAY_HAVE_RUN:
            # A plain server usually starts a request immediately, even if the answer
            # is lost.
            self._recorder.observe_run(exch)

    def _observe_crash_signs(
        self, exch: Exchange, server: Registration, fault: AttemptError
    ) -> None:
        if fault.kind in CRASH_SIGNS:
            self._crash_watch.observe_broken(exch, server)
            return
        self._crash_watch.observe_answered(exch, server)
        if fault.kind == "connect":
            self._crash_watch.observe_unreachable(server)
        elif fault.kind == "misdirected":
            self._crash_watch.observe_replaced(server)

    def _find_stop_reason(
        self, exch: Exchange, fault: AttemptError, n_unreachable: int
    ) -> str | None:
        """Return the reason not to retry a request, or None if it is retried."""
        if fault.verdict is not Verdict.NOT_RUN and not exch.rule.repeatable:
            return "may have run and may not be repeated"
        if fault.kind == "connect":
            if n_unreachable >= MAX_CONNECT_TRIES and (
                exch.failed_connect_time >= MAX_CONNECT_TIME
                or not self._queue.has_untried_server(exch, include_suspended=True)
            ):
                return f"{n_unreachable} servers could not be reached"
            return None
        if fault.kind == "left":
            return None
        if fault.kind == "misdirected":
            # The request has not run, so that routes of one attempt retry it too.
            if len(exch.misdirected_servers) > MAX_MISDIRECTED_RETRIES:
                return f"{len(exch.misdirected_servers)} servers had restarted"
        elif exch.n_attempts >= exch.rule.max_attempts:
            return f"sent {exch.n_sent} of at most {exch.rule.max_attempts} times"
        elif (
            fault.kind in CRASH_SIGNS
            and self._crash_guard.compute_suspicion(exch) >= MAX_REPEATED_SUSPICION
        ):
            return "such requests may have crashed several servers"
        if self._get_time_left(exch) < MIN_TIME_LEFT:
            return "no time left"
        budget = self._get_budget(exch.service.name)
        if not budget.spend(self._clock(), n_nodes=self._count_nodes()):
            return "the retry budget is exhausted"
        if fault.verdict is not Verdict.NOT_RUN:
            exch.states.observe("resend")
        return None

    async def _finish_failed(
        self, exch: Exchange, fault: AttemptError, reason: str
    ) -> Outcome:
        """Answer a request whose last attempt failed.

        The failure answer of the server is relayed if there is one that does not claim
        that the request was not run; otherwise the request is refused.
        """
        answer = fault.answer
        if answer is not None and answer.facts.status not in NOT_RUN_STATUSES:
            exch.states.observe("finish")
            await self._deliver(exch, answer)
            return Outcome(answer.facts.status, "backend")
        message = f"{fault}; not retried: {reason}"
        if exch.verdict is Verdict.NOT_RUN:
            raise Refusal(
                503,
                f"not_run:{fault.kind}",
                message,
                Verdict.NOT_RUN,
                retry_after=NOT_RUN_RETRY_AFTER,
            )
        raise Refusal(502, f"failed:{fault.kind}", message, Verdict.MAY_HAVE_RUN)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _apply_forwarded(exch: Exchange, forwarded: ForwardedRequest) -> None:
    """Let a request go on from where the node that forwarded it has left it."""
    exch.forwarded, exch.origin = forwarded, forwarded.origin
    max_attempts = max(1, exch.rule.max_attempts - forwarded.n_sent)
    exch.rule = replace(exch.rule, max_attempts=max_attempts)


def _make_truthful(exc: Refusal, verdict: Verdict) -> Refusal:
    """Return a refusal that claims no more than is known of all attempts.

    Parameters
    ----------
    exc : Refusal
        Refusal whose verdict covers the last attempt.
    verdict : Verdict
        Verdict on all attempts of this node.
    """
    if exc.verdict is not Verdict.NOT_RUN:
        verdict = exc.verdict
    if verdict is Verdict.NOT_RUN:
        return exc
    if exc.verdict is verdict and exc.status in UNCERTAIN_STATUSES:
        return exc
    message = f"the request may have run; {exc.message}"
    return Refusal(502, f"failed:{exc.code}", message, verdict)


def _make_origin_headers(exch: Exchange) -> list[tuple[bytes, bytes]]:
    return make_origin_headers(exch.origin) if exch.forwarded is not None else []


async def _send_refusal(
    responder: Responder,
    request_id: str,
    exc: Refusal,
    forwarded: ForwardedRequest | None,
) -> None:
    headers = make_refusal_headers(request_id, exc.retry_after)
    if forwarded is not None:
        headers += make_refusal_notice(exc)
    body = orjson.dumps(
        {"error": {"code": exc.code, "message": exc.message, "run": str(exc.verdict)}}
    )
    await responder.send(exc.status, headers, body)
