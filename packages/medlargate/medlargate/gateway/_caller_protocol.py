"""Connections of uvicorn that take no more from a caller than they can answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from ..policy import Refusal, Verdict, is_mostly_framing
from ..transport import (
    DROP_TIMEOUT,
    MAX_DROPPED_BYTES,
    CallerMemory,
    ConnectionLimit,
    DisconnectWatch,
    Wait,
    WriteWatch,
)
from ._error_responses import make_refusal_response

log = logging.getLogger(__name__)

PARSE_SIZE = 4_096  # bytes that are parsed at once
HEAD_TIMEOUT = 15.0  # seconds for a whole head
# Sent to callers that exceed what all together may take; another node may have room.
RETRY_AFTER = 0.3  # seconds


@dataclass
class CallerLimits:
    """What the callers of one server may take.

    Attributes
    ----------
    connections : ConnectionLimit
        Limit of the connections of all callers.
    memory : CallerMemory
        Memory of bodies and unread answers of all callers.
    max_header_bytes : int
        Largest size of the target and the headers of one request, in bytes.
    disconnects : DisconnectWatch
        Watch over the connections from which nothing is read.
    on_evicted : callable
        Called with the name of the limit for each connection that is closed because of
        it: ``"connections"``, ``"memory"`` or ``"unread_answer"``.
    """

    connections: ConnectionLimit[CallerProtocol]
    memory: CallerMemory[CallerProtocol]
    max_header_bytes: int
    on_evicted: Callable[[str], None]
    disconnects: DisconnectWatch = field(default_factory=DisconnectWatch)


class _CallerFlow(FlowControl):
    """Flow control that does not resume reading while requests wait to be handled.

    Parameters
    ----------
    transport : asyncio.Transport
        Connection.
    has_ahead : callable
        Returns whether bytes or requests are held that were sent ahead.
    """

    def __init__(
        self, transport: asyncio.Transport, has_ahead: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._has_ahead = has_ahead

    def resume_reading(self) -> None:
        if not self._has_ahead():
            super().resume_reading()


class CallerProtocol(HttpToolsProtocol):
    """Connection of a caller, which parses no further than the next request.

    uvicorn parses all that has arrived, and resumes reading with each response and
    each read of a body, so that requests pile up if their caller does not read. It
    limits neither the size of a head nor the time until it is complete.

    Parameters
    ----------
    limits : CallerLimits
        What the callers of the server may take.
    **options : dict
        Parameters of ``HttpToolsProtocol``.
    """

    def __init__(self, limits: CallerLimits, **options: Any) -> None:
        super().__init__(**options)
        self._limits = limits
        self._ahead = bytearray()
        self._fileno = -1
        self._is_in_head = self._is_in_body = False
        self._n_head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._n_body_bytes = 0
        self._n_framed_bytes = 0  # of the body and what frames it
        self._n_unread_bytes = 0  # of answers
        self._write_watch = WriteWatch(self._handle_unread_answer)
        # Bytes that may still be dropped; None unless a request was refused.
        self._n_droppable: int | None = None

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection; close another one if there are too many."""
        super().connection_made(transport)
        self.flow = _CallerFlow(transport, self._has_ahead)
        self._fileno = transport.get_extra_info("socket").fileno()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )
        now = self.loop.time()
        excess = self._limits.connections.add(self, len(self.connections), now=now)
        if excess is not None:
            self.connections.discard(excess)
            excess.evict()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._limits.disconnects.discard(self._fileno)
        self._limits.memory.release(self)
        self._write_watch.cancel()
        self._cancel_head_timer()
        self._unset_keepalive_if_required()
        self._ahead.clear()
        self._observe_wait(None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller, unless a request waits to be handled."""
        if self._n_droppable is not None:
            self._n_droppable -= len(data)
            if self._n_droppable < 0:
                self.transport.abort()
            return
        self._ahead += data
        self._parse_ahead()

    def pause_writing(self) -> None:
        """Record that the caller does not read its answer."""
        self._observe_wait(Wait.UNREAD_ANSWER)
        self._write_watch.start(self.transport)
        self._n_unread_bytes = self.transport.get_write_buffer_size()
        # The time for which an answer is held does not include that of its request.
        self._limits.memory.release(self)
        self._update_held()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Record that the caller reads its answer."""
        self._observe_wait(Wait.NEXT_REQUEST if self._is_answered() else None)
        self._write_watch.cancel()
        self._n_unread_bytes = 0
        self._limits.memory.release(self)
        self._update_held()
        super().resume_writing()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin to count the bytes of a head."""
        super().on_message_begin()
        self._is_in_head = True
        self._n_head_bytes = 0

    def on_headers_complete(self) -> None:
        """Start a request."""
        self._is_in_head, self._is_in_body = False, True
        self._n_body_bytes = self._n_framed_bytes = 0
        super().on_headers_complete()
        self._observe_wait(None)

    def on_body(self, body: bytes) -> None:
        """Count the bytes of a body for which the request waits."""
        super().on_body(body)
        self._n_body_bytes += len(body)
        self._update_held()

    def on_message_complete(self) -> None:
        """Keep a complete body, whose request may run from now on."""
        self._is_in_body = False
        super().on_message_complete()
        self._update_held()

    def on_response_complete(self) -> None:
        """Go on with the next request, or wait for it."""
        if self.flow.write_paused:
            self._observe_wait(Wait.UNREAD_ANSWER)
        else:
            self._limits.memory.release(self)
            if not self.pipeline:
                self._observe_wait(Wait.NEXT_REQUEST)
        self._update_held()
        super().on_response_complete()
        self._parse_ahead()

    # Limits

    def evict(self) -> None:
        """Close the connection at once, because callers hold too many."""
        self._limits.on_evicted("connections")
        self._observe_wait(None)
        self.transport.abort()

    def give_up(self) -> None:
        """Give up what is held for the caller, because all callers hold too much.

        A request that has not arrived completely is refused. It has not run.
        """
        self._limits.on_evicted("memory")
        self._limits.memory.release(self)
        if self._is_ending() or not self._is_receiving():
            self.transport.abort()
            return
        message = "callers send too much at a time"
        self._refuse(503, "too_much_data", message, retry_after=RETRY_AFTER)

    def _update_held(self) -> None:
        """Count the memory that this connection takes; free others' if it is much."""
        now = self.loop.time()
        n_bytes = self._n_unread_bytes
        if not self._is_answered():
            n_bytes += self._n_body_bytes
        # The body of a request that may run is kept, unless an answer is not read.
        is_kept = self._is_in_progress() and not self._n_unread_bytes
        for conn in self._limits.memory.hold(self, n_bytes, now=now, is_kept=is_kept):
            conn.give_up()

    def _check_sizes(self) -> None:
        """Refuse a head that is too large, and a body that is mostly framing."""
        limit = self._limits.max_header_bytes
        # The last piece may have begun with the end of another request.
        if self._is_in_head and self._n_head_bytes > limit + PARSE_SIZE:
            message = f"headers of more than {limit} bytes"
            self._refuse(431, "headers_too_large", message)
        elif self._is_in_body and is_mostly_framing(
            self._n_framed_bytes, self._n_body_bytes
        ):
            if self._is_answered():
                self.transport.abort()
                return
            message = "the chunks of the body are mostly framing"
            self._refuse(400, "invalid_body", message)

    def _refuse(
        self, status: int, code: str, message: str, *, retry_after: float | None = None
    ) -> None:
        """Refuse a request that is not complete, and close the connection."""
        refusal = Refusal(
            status, code, message, Verdict.NOT_RUN, retry_after=retry_after
        )
        log.info("request refused", extra={"status": status, "reason": message})
        if not self._is_answered():
            if self.cycle.response_started:
                self.transport.abort()
                return
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        resp = make_refusal_response(refusal)
        resp.headers["Connection"] = "close"
        rows = [name + b": " + value + b"\r\n" for name, value in resp.raw_headers]
        head = [STATUS_LINE[status], *rows, b"\r\n"]
        self.transport.write(b"".join([*head, bytes(resp.body)]))
        self._close_after_dropping()

    def _close_after_dropping(self) -> None:
        """Close the connection once the caller has, or after ``DROP_TIMEOUT``.

        Closing a socket with unread bytes resets the connection, and the caller could
        lose the refusal.
        """
        self._n_droppable = MAX_DROPPED_BYTES
        self._ahead.clear()
        self._limits.memory.release(self)
        self._observe_wait(Wait.UNREAD_ANSWER)
        try:
            self.transport.write_eof()
        except OSError:
            self.transport.abort()
            return
        self._limits.disconnects.discard(self._fileno)
        self.flow.resume_reading()
        self.loop.call_later(DROP_TIMEOUT, self.transport.close)

    def _handle_unread_answer(self) -> None:
        log.info("connection closed: the caller does not read its answer")
        self._limits.on_evicted("unread_answer")
        self.transport.abort()

    # Reading

    def _is_answered(self) -> bool:
        """Whether no request is in progress, nor its body on the way."""
        return self.cycle is None or self.cycle.response_complete

    def _is_receiving(self) -> bool:
        """Whether the body of a request is on the way."""
        return not self._is_answered() and self.cycle.more_body

    def _is_in_progress(self) -> bool:
        """Whether a complete request is handled."""
        return not self._is_answered() and not self.cycle.more_body

    def _is_ending(self) -> bool:
        return self._n_droppable is not None or self.transport.is_closing()

    def _has_ahead(self) -> bool:
        return bool(self.pipeline or self._ahead)

    def _parse_ahead(self) -> None:
        while (
            self._ahead
            and not self.pipeline
            and not self._is_in_progress()
            and not self._is_ending()
        ):
            piece = bytes(self._ahead[:PARSE_SIZE])
            del self._ahead[:PARSE_SIZE]
            super().data_received(piece)
            self._n_head_bytes += len(piece)
            self._n_framed_bytes += len(piece)
            self._check_sizes()
        if self._is_ending():
            self._ahead.clear()
            self._cancel_head_timer()
            return
        self._update_head_timer()
        if self._has_ahead():
            self.flow.pause_reading()
            self._limits.disconnects.add(self._fileno, self.transport.abort)
        else:
            self._limits.disconnects.discard(self._fileno)
            self.flow.resume_reading()

    def _update_head_timer(self) -> None:
        """Limit the time of a head, without that of the request before it."""
        if not self._is_in_head:
            self._cancel_head_timer()
        elif self._head_timer is None and self._is_answered():
            self._head_timer = self.loop.call_later(
                HEAD_TIMEOUT, self._handle_head_timeout
            )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self) -> None:
        if not self._is_ending():
            self._refuse(408, "head_timeout", "the headers were not complete in time")

    def _observe_wait(self, wait: Wait | None) -> None:
        self._limits.connections.observe(self, wait, now=self.loop.time())
