"""A request's way through the node: accept, wait, place, send, relay, account."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import orjson

from ..platform import decode_request, make_answer_headers, make_refusal_headers
from ..policy import CrashHistory, FleetRetryBudget, Refusal, Verdict
from ..routing import Registration
from ..transport import ExchangeFaultError, IncomingRequest, Responder
from ._accept import Acceptor
from ._events import EventOrderError, EventSplitter
from ._exchange import Exchange
from ._load_tracker import LoadTracker
from ._request_queue import RequestQueue, ServerAssignment
from ._request_recorder import RequestRecorder
from ._sender import (
    Answer,
    AttemptFault,
    OpenAnswer,
    Sender,
    max_pause_silence,
    silence,
)

log = logging.getLogger(__name__)

MAX_CONNECT_TRIES = 4  # servers that could not be reached, for one request
# An attempt with less time than this can't bring an answer back.
MIN_TIME_LEFT = 0.01  # seconds
RETRY_SOON = 0.3  # seconds until a caller whose request did not run should return
CRASHING_RETRY_AFTER = 30.0  # seconds; nothing is won by coming back sooner
# A crash is told from a lost answer by a connection a moment later.
CRASH_CHECK_DELAY = 0.1  # seconds
BREAKS = ("reset", "closed")
SUCCESS = range(200, 300)
# These statuses promise that a request did not run; a server's own word for that is
# the header that says so.
PROMISING = frozenset({408, 421, 429, 503})


@dataclass
class Outcome:
    """How a request ended, for the account."""

    status: int
    code: str


class RequestHandler:
    """Takes requests from the listener to their final answers.

    Parameters
    ----------
    acceptor : Acceptor
        Finds route, customer and deadline.
    waiting : RequestQueue
        Finds a server.
    sender : Sender
        Sends to it.
    loads : LoadTracker
        Told what was measured.
    account : Account
        Told what ran and how requests ended.
    crashes : CrashHistory
        Requests that crash servers.
    can_reach : callable
        Tells whether a server still takes connections.
    budget : callable
        Returns the budget of repeats of a service.
    n_nodes : callable
        Returns how many nodes share the budgets.
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        waiting: RequestQueue,
        sender: Sender,
        loads: LoadTracker,
        account: RequestRecorder,
        *,
        crashes: CrashHistory,
        can_reach: Callable[[Registration], Awaitable[bool]],
        budget: Callable[[str], FleetRetryBudget],
        n_nodes: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._acceptor = acceptor
        self._waiting = waiting
        self._sender = sender
        self._loads = loads
        self._account = account
        self._crashes = crashes
        self._can_reach = can_reach
        self._checks: set[asyncio.Task[None]] = set()
        self._budget = budget
        self._n_nodes = n_nodes
        self._clock = clock
        self.n_active = 0

    async def handle(self, req: IncomingRequest, responder: Responder) -> None:
        """Answer one request.

        Parameters
        ----------
        req : IncomingRequest
            The request, read whole.
        responder : Responder
            The way back.
        """
        self.n_active += 1
        try:
            await self._handle(req, responder)
        finally:
            self.n_active -= 1

    async def _handle(self, req: IncomingRequest, responder: Responder) -> None:
        try:
            exch = await self._acceptor.accept(req, responder)
        except Refusal as exc:
            request_id = decode_request(req.headers).request_id
            self._account.observe_rejected(request_id, exc)
            await _send_refusal(responder, request_id, exc)
            return
        self._account.observe_arrival(exch)
        if exch.rule.streams or exch.rule.repeatable:
            task = asyncio.current_task()
            assert task is not None
            responder.on_gone = task.cancel
        try:
            outcome = await self._serve_in_time(exch)
        except asyncio.CancelledError:
            self._account.observe_end(exch, Outcome(499, "caller_gone"))
            if responder.gone:
                return
            raise
        self._account.observe_end(exch, outcome)

    async def _serve_in_time(self, exch: Exchange) -> Outcome:
        timer = asyncio.timeout(max(0.0, exch.deadline - self._clock()))
        try:
            async with timer:
                return await self._serve(exch)
        except TimeoutError:
            refusal = self._make_timeout(exch)
        except Refusal as exc:
            refusal = exc
        if exch.responder.started:
            exch.responder.abort()
            return Outcome(0, f"broken_off:{refusal.code}")
        await _send_refusal(exch.responder, exch.facts.request_id, refusal)
        return Outcome(refusal.status, refusal.code)

    def _make_timeout(self, exch: Exchange) -> Refusal:
        if exch.verdict is Verdict.NOT_RUN:
            return Refusal(
                503,
                "timeout_not_run",
                "the time ran out before the request was run",
                retry_after=RETRY_SOON,
            )
        return Refusal(
            504, "timeout", "the time ran out before the answer was complete"
        )

    async def _serve(self, exch: Exchange) -> Outcome:
        if self._crashes.is_blocked(exch.mark):
            raise Refusal(
                503,
                "crashes_servers",
                "not run: this request has crashed several servers",
                retry_after=CRASHING_RETRY_AFTER,
            )
        n_unreachable = 0
        while True:
            assigned = await self._waiting.acquire(exch)
            try:
                return await self._attempt(exch, assigned)
            except AttemptFault as fault:
                n_unreachable += fault.kind == "connect"
                self._observe_fault(exch, assigned, fault)
                stop = self._decide_stop(exch, fault, n_unreachable)
                if stop is None:
                    exch.record("retry", fault=fault.kind, n_sent=exch.n_sent)
                    continue
                return await self._end_failed(exch, fault, stop)
            finally:
                self._loads.observe_end(exch.number, assigned.server.server_id)
                self._waiting.observe_change()

    # One attempt

    async def _attempt(self, exch: Exchange, assigned: ServerAssignment) -> Outcome:
        time_left = exch.deadline - self._clock()
        if time_left < MIN_TIME_LEFT:
            raise self._make_timeout(exch)
        if exch.n_sent == 0:
            self._budget(exch.service.name).observe_request(self._clock())
        async with self._sender.open(exch, assigned, time_left=time_left) as opened:
            if exch.rule.streams and opened.facts.status in SUCCESS:
                return await self._relay_stream(exch, assigned, opened)
            answer = await opened.read_whole()
        return await self._relay_whole(exch, assigned, answer)

    async def _relay_whole(
        self, exch: Exchange, assigned: ServerAssignment, answer: Answer
    ) -> Outcome:
        server_id = assigned.server.server_id
        self._account.observe_run(exch)
        facts = answer.facts
        failed = facts.status >= 500
        self._loads.view(server_id).observe_result(failed, _now())
        if not failed:
            self._loads.observe_begin(exch.number, exch.service, server_id)
        if facts.status in SUCCESS and (not facts.sealed or facts.encoded):
            message = "a success without the server's seal or with an encoded body"
            raise AttemptFault("invalid", message, Verdict.MAY_HAVE_RUN)
        if failed or facts.status in PROMISING:
            message = f"the server answered {facts.status}"
            raise AttemptFault("failed", message, Verdict.RAN, answer)
        exch.states.observe("finish")
        await self._deliver(exch, answer)
        return Outcome(facts.status, "ok" if facts.status in SUCCESS else "backend")

    async def _deliver(self, exch: Exchange, answer: Answer) -> None:
        headers = make_answer_headers(answer.head.headers)
        await exch.responder.send(answer.facts.status, headers, answer.body)

    async def _relay_stream(
        self, exch: Exchange, assigned: ServerAssignment, opened: OpenAnswer
    ) -> Outcome:
        if not opened.facts.sealed or opened.facts.encoded:
            message = "a stream without the server's seal or with an encoded body"
            raise AttemptFault("invalid", message, Verdict.MAY_HAVE_RUN)
        splitter = EventSplitter(exch.last_event_id)
        began = False
        body = opened.conn.read_body()
        while True:
            try:
                async with silence(max_pause_silence(exch) if began else None):
                    data = await anext(body)
                events = splitter.feed(data)
            except StopAsyncIteration:
                break
            except EventOrderError as exc:
                raise ExchangeFaultError("invalid", str(exc)) from exc
            for event in events:
                if not began:
                    began = True
                    self._observe_first_event(exch, assigned)
                if not exch.responder.started:
                    headers = make_answer_headers(opened.head.headers)
                    await exch.responder.start(opened.facts.status, headers)
                await exch.responder.write(event.data)
                exch.observe_event(self._clock())
                if event.event_id is not None:
                    exch.last_event_id = event.event_id
        if splitter.has_rest or not exch.responder.started:
            raise ExchangeFaultError("closed", "the stream ended inside an event")
        self._loads.view(assigned.server.server_id).observe_result(False, _now())
        exch.states.observe("finish")
        await exch.responder.finish()
        return Outcome(opened.facts.status, "ok")

    def _observe_first_event(self, exch: Exchange, assigned: ServerAssignment) -> None:
        server_id = assigned.server.server_id
        self._loads.observe_begin(exch.number, exch.service, server_id)
        self._account.observe_run(exch)
        if exch.first_event_at is None:
            exch.first_event_at = self._clock()
        exch.states.observe("first_byte")
        self._waiting.observe_change()

    # After a failed attempt

    def _observe_fault(
        self, exch: Exchange, assigned: ServerAssignment, fault: AttemptFault
    ) -> None:
        server_id = assigned.server.server_id
        view = self._loads.view(server_id)
        exch.record(
            "fault",
            server=server_id,
            fault=fault.kind,
            verdict=str(fault.verdict),
            detail=str(fault),
        )
        if fault.kind == "connect":
            exch.tried.add(server_id)
            self._loads.observe_unreachable(server_id, assigned.server.zone)
        elif fault.kind == "misdirected":
            self._loads.observe_unreachable(server_id)
            exch.states.observe("backend_refusal")
        elif fault.kind == "refused":
            view.observe_result(True, _now())
            exch.states.observe("backend_refusal")
        elif fault.kind in BREAKS and not exch.n_events:
            self._spawn_check(exch, assigned.server)
        if exch.service.engine is None and fault.verdict is Verdict.MAY_HAVE_RUN:
            # A plain server mostly began at once, whatever became of the answer.
            self._account.observe_run(exch)

    def _spawn_check(self, exch: Exchange, server: Registration) -> None:
        task = asyncio.create_task(self._check_crash(exch, server))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check_crash(self, exch: Exchange, server: Registration) -> None:
        """Find out whether a server that broke off has crashed on the request."""
        await asyncio.sleep(CRASH_CHECK_DELAY)
        if await self._can_reach(server):
            return
        self._crashes.observe_crash(exch.mark, server.server_id)
        exch.record("crash", server=server.server_id, mark=exch.mark)

    def _decide_stop(
        self, exch: Exchange, fault: AttemptFault, n_unreachable: int
    ) -> str | None:
        """Return why a request is not sent again, or None when it is."""
        if fault.verdict is not Verdict.NOT_RUN and not exch.rule.repeatable:
            return "may have run and may not be repeated"
        if fault.kind == "connect":
            if n_unreachable >= MAX_CONNECT_TRIES:
                return f"{n_unreachable} servers could not be reached"
            return None
        if exch.n_sent >= exch.rule.max_attempts:
            return f"sent {exch.n_sent} times of {exch.rule.max_attempts}"
        if exch.deadline - self._clock() < MIN_TIME_LEFT:
            return "no time left"
        budget = self._budget(exch.service.name)
        if not budget.spend(self._clock(), n_nodes=self._n_nodes()):
            return "the budget of repeats is spent"
        if fault.verdict is not Verdict.NOT_RUN:
            exch.states.observe("resend")
        return None

    async def _end_failed(
        self, exch: Exchange, fault: AttemptFault, stop: str
    ) -> Outcome:
        """Give a request whose last attempt failed its final answer."""
        answer = fault.answer
        if answer is not None and answer.facts.status not in PROMISING:
            exch.states.observe("finish")
            await self._deliver(exch, answer)
            return Outcome(answer.facts.status, "backend")
        message = f"{fault}; not sent again: {stop}"
        if exch.verdict is Verdict.NOT_RUN:
            raise Refusal(503, f"not_run:{fault.kind}", message, retry_after=RETRY_SOON)
        raise Refusal(502, f"failed:{fault.kind}", message, Verdict.MAY_HAVE_RUN)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _send_refusal(responder: Responder, request_id: str, exc: Refusal) -> None:
    headers = make_refusal_headers(request_id, exc.retry_after)
    body = orjson.dumps(
        {"error": {"code": exc.code, "message": exc.message, "run": str(exc.verdict)}}
    )
    await responder.send(exc.status, headers, body)
