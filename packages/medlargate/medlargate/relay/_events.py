"""Parsing of a server-sent event stream into complete, ordered events."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MAX_EVENT_BYTES = 1_048_576
MAX_ID_DIGITS = 18  # int() raises ValueError for some thousand digits
_EVENT_END = re.compile(rb"\r?\n\r?\n")
MAX_END_BYTES = 4


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Complete server-sent event.

    Attributes
    ----------
    data : bytes
        Bytes of the event as received, including the terminating blank line.
    event_id : int
        Sequence number of the event.
    """

    data: bytes
    event_id: int


class EventOrderError(Exception):
    """Exception raised when a stream skips an event or contains no valid event."""


@dataclass
class EventSplitter:
    r"""Incremental splitter of a stream that drops events already delivered.

    Parameters
    ----------
    last_event_id : int or None
        Id of the last event that the caller has.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [e.event_id for e in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [1]
    >>> splitter.has_partial_event
    True
    """

    last_event_id: int | None = None
    _buffer: bytearray = field(default_factory=bytearray)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains an incomplete event."""
        return bool(self._buffer.strip())

    @property
    def n_buffered(self) -> int:
        """Number of bytes of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events completed by them.

        Parameters
        ----------
        data : bytes
            Received bytes.

        Returns
        -------
        list of StreamEvent
            Complete events that the caller does not have yet.

        Raises
        ------
        EventOrderError
            If an event id is skipped, missing or too long, or an event exceeds
            ``MAX_EVENT_BYTES``.
        """
        # The end of an event may have begun in the bytes before.
        start = max(0, len(self._buffer) - MAX_END_BYTES + 1)
        self._buffer += data
        events = []
        while match := _EVENT_END.search(self._buffer, start):
            raw = bytes(self._buffer[: match.end()])
            del self._buffer[: match.end()]
            start = 0
            event_id = _read_id(raw)
            if event_id is None:
                # Bytes that are no event of the server must not reach the caller.
                raise EventOrderError(f"an event of {len(raw)} bytes has no valid id")
            event = StreamEvent(raw, event_id)
            if self._is_new(event):
                events.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventOrderError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _is_new(self, event: StreamEvent) -> bool:
        last = self.last_event_id
        if last is not None and event.event_id <= last:
            return False
        if last is not None and event.event_id != last + 1:
            message = f"event {event.event_id} follows event {last}"
            raise EventOrderError(message)
        self.last_event_id = event.event_id
        return True


def _read_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            is_valid = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_valid else None
    return None
