"""Splitting a stream into whole events and checking their order."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MAX_EVENT_BYTES = 1_048_576
_END = re.compile(rb"\r?\n\r?\n")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    Attributes
    ----------
    data : bytes
        As the engine sent it, with the blank line that ends it.
    event_id : int or None
        Its number; None when it has none.
    """

    data: bytes
    event_id: int | None


class EventOrderError(Exception):
    """An event is missing, or what came is no event."""


@dataclass
class EventSplitter:
    r"""Splits bytes into events and lets each number through once.

    Parameters
    ----------
    last_event_id : int or None
        The last event that the caller has.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [e.event_id for e in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [1]
    >>> splitter.has_rest
    True
    """

    last_event_id: int | None = None
    _rest: bytearray = field(default_factory=bytearray)

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes.

        Parameters
        ----------
        data : bytes
            As they came.

        Returns
        -------
        list of StreamEvent
            Whole events that the caller does not have yet.

        Raises
        ------
        EventOrderError
            A number was left out, or an event never ends.
        """
        self._rest += data
        events = []
        while match := _END.search(self._rest):
            raw = bytes(self._rest[: match.end()])
            del self._rest[: match.end()]
            event = StreamEvent(raw, _read_id(raw))
            if self._is_new(event):
                events.append(event)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventOrderError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _is_new(self, event: StreamEvent) -> bool:
        if event.event_id is None:
            return True
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
            return int(text) if text.isdigit() else None
    return None
