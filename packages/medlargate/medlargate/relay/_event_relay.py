"""Relay of a stream's events from an open answer to the caller."""

from __future__ import annotations

from collections.abc import Callable

from ..platform import make_response_headers
from ..transport import ExchangeFaultError, Headers
from ._events import EventOrderError, EventSplitter
from ._exchange import Exchange
from ._sender import OpenAnswer
from ._silence import SilenceLimit


async def relay_events(
    exch: Exchange,
    open_answer: OpenAnswer,
    limit: SilenceLimit,
    *,
    on_first_event: Callable[[], None],
    make_extra_headers: Callable[[], Headers] = list,
    clock: Callable[[], float],
) -> None:
    """Send the events that the caller does not have yet.

    An answer without such an event is the complete rest of a stream only if the caller
    has as many events as the request's maximum output allows. Any other may come from
    a server that has lost the stream, and would end the caller's stream too early.

    Parameters
    ----------
    exch : Exchange
        Request of the caller.
    open_answer : OpenAnswer
        Answer whose body is the stream.
    limit : SilenceLimit
        Started limit for the pauses between events.
    on_first_event : callable
        Called before the first event of this answer is sent to the caller.
    make_extra_headers : callable
        Returns headers to add to the caller's answer.
    clock : callable
        Returns the node's monotonic time in seconds.

    Raises
    ------
    ExchangeFaultError
        If the stream breaks off, is not valid, or ends without a new event.
    """

    async def start_response() -> None:
        if not exch.responder.started:
            headers = make_response_headers(open_answer.head.headers)
            headers += make_extra_headers()
            await exch.responder.start(open_answer.facts.status, headers)

    splitter = EventSplitter(exch.last_event_id)
    started = False
    # The first event comes after the prefill, which may take longer than any pause
    # between events.
    limit.stop_waiting()
    with open_answer.buffers.open() as buffer:
        async for data in open_answer.conn.read_body():
            limit.stop_waiting()
            try:
                events = splitter.feed(data)
            except EventOrderError as exc:
                raise ExchangeFaultError("invalid", str(exc)) from exc
            buffer.resize(splitter.n_buffered)
            for event in events:
                exch.attempt.n_events += 1
                exch.attempt.heard_at = clock()
                if not started:
                    started = True
                    on_first_event()
                await start_response()
                await exch.responder.write(event.data)
                exch.observe_event(clock())
                exch.last_event_id = event.event_id
            if events:
                limit.start_waiting()
            elif started:
                limit.resume_waiting()
    if splitter.has_partial_event:
        raise ExchangeFaultError("closed", "the stream ended inside an event")
    if not started:
        if not _has_all_events(exch):
            kind = "invalid" if open_answer.head.is_delimited else "closed"
            raise ExchangeFaultError(kind, "the stream ended without a new event")
        await start_response()


def _has_all_events(exch: Exchange) -> bool:
    """Return whether the caller has the events of the longest possible answer."""
    engine, max_output = exch.service.engine, exch.facts.max_output_tokens
    if engine is None or not max_output:
        return False
    return (exch.last_event_id or 0) * engine.n_tokens_per_event >= max_output
