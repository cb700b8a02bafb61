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
        If the stream breaks off or is not valid.
    """
    splitter = EventSplitter(exch.last_event_id)
    started = False
    # The first event comes after the prefill, which may take longer than any pause
    # between events.
    limit.stop_waiting()
    async for data in open_answer.conn.read_body():
        limit.stop_waiting()
        try:
            events = splitter.feed(data)
        except EventOrderError as exc:
            raise ExchangeFaultError("invalid", str(exc)) from exc
        for event in events:
            exch.attempt.n_events += 1
            if not started:
                started = True
                on_first_event()
            if not exch.responder.started:
                headers = make_response_headers(open_answer.head.headers)
                headers += make_extra_headers()
                await exch.responder.start(open_answer.facts.status, headers)
            await exch.responder.write(event.data)
            exch.observe_event(clock())
            exch.last_event_id = event.event_id
        if events:
            limit.start_waiting()
        elif started:
            limit.resume_waiting()
    is_delimited = open_answer.head.is_delimited
    is_cut = not started and not (is_delimited and exch.responder.started)
    if splitter.has_partial_event or is_cut:
        raise ExchangeFaultError("closed", "the stream ended inside an event")
