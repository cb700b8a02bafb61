"""Incremental parsing and validation of an engine's server-sent event stream."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
TOKEN_PATTERN = b'"content":"'
EMPTY_TOKEN_PATTERN = b'"content":""'
USAGE_PATTERN = b'"usage":{'
MAX_EVENT_BYTES = 1_048_576


class InvalidStreamError(Exception):
    """The engine's event stream is malformed or belongs to another request."""


@dataclass(slots=True)
class EventStreamParser:
    r"""Splits a byte stream into complete events, counts tokens and checks ids.

    Parameters
    ----------
    completion_id : str
        Id that every event must carry.
    with_usage : bool
        Whether the caller asked for the usage event; if not, the usage event is
        removed from the stream.

    Attributes
    ----------
    n_tokens : int
        Number of output tokens in the events returned so far, which is also the
        offset for a resumption.
    prompt_tokens, cached_tokens : int
        Token counts from the usage event; 0 before the usage event.
    finished : bool
        Whether the final ``[DONE]`` event was received.
    buffer : bytes
        Incomplete event at the end of the bytes received so far.
    id_pattern : bytes
        Bytes that an event with the expected id contains.

    Notes
    -----
    Tokens, usage and ids are found by searching for byte patterns in a whole
    chunk; single events are parsed as JSON only if the number of matching ids is
    not the number of events, or for usage.

    Examples
    --------
    >>> parser = EventStreamParser(completion_id="a", with_usage=False)
    >>> parser.feed(b'data: {"id":"a","x":{"content":"t"}}\n\nda')
    b'data: {"id":"a","x":{"content":"t"}}\n\n'
    >>> parser.n_tokens
    1
    """

    completion_id: str
    with_usage: bool
    n_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    finished: bool = False
    buffer: bytes = b""
    id_pattern: bytes = b""

    def __post_init__(self) -> None:
        self.id_pattern = b'"id":"' + self.completion_id.encode() + b'"'

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Parameters
        ----------
        chunk : bytes
            Bytes read from the engine, split at any position.

        Returns
        -------
        bytes
            Complete events to relay to the caller; empty if there are none.

        Raises
        ------
        InvalidStreamError
            An event is malformed, too large, after the end of the stream, or
            belongs to another request.
        """
        data = self.buffer + chunk if self.buffer else chunk
        end = data.rfind(EVENT_SEPARATOR)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise InvalidStreamError("an event exceeds its largest size")
            self.buffer = data
            return b""
        end += len(EVENT_SEPARATOR)
        self.buffer = data[end:]
        events = data[:end]
        if self.finished:
            raise InvalidStreamError("events follow the end mark")
        if events.endswith(DONE_EVENT):
            self.finished = True
        self._check_ids(events)
        self.n_tokens += events.count(TOKEN_PATTERN) - events.count(EMPTY_TOKEN_PATTERN)
        if USAGE_PATTERN in events:
            events = self._extract_usage(events)
        return events

    def discard_partial_event(self) -> None:
        """Drop the incomplete event in the buffer before a resumption."""
        self.buffer = b""

    def _check_ids(self, events: bytes) -> None:
        n_events = events.count(EVENT_SEPARATOR) - self.finished
        if events.count(self.id_pattern) == n_events:
            return
        for event in events.split(EVENT_SEPARATOR)[:-1]:
            if event + EVENT_SEPARATOR == DONE_EVENT or event.startswith(b":"):
                continue
            if _parse_event(event).get("id") != self.completion_id:
                raise InvalidStreamError("an event belongs to another request")

    def _extract_usage(self, events: bytes) -> bytes:
        kept = []
        for event in events.split(EVENT_SEPARATOR)[:-1]:
            if USAGE_PATTERN in event:
                document = _parse_event(event)
                self._store_usage(document.get("usage") or {})
                if not self.with_usage and not document.get("choices"):
                    continue
            kept.append(event + EVENT_SEPARATOR)
        return b"".join(kept)

    def _store_usage(self, usage: dict) -> None:
        details = usage.get("prompt_tokens_details") or {}
        self.prompt_tokens = int(usage.get("prompt_tokens", 0))
        self.cached_tokens = int(details.get("cached_tokens", 0))


def _parse_event(event: bytes) -> dict:
    if not event.startswith(b"data: "):
        raise InvalidStreamError("an event has no data field")
    try:
        document = orjson.loads(event[6:])
    except orjson.JSONDecodeError as exc:
        raise InvalidStreamError(f"an event is not JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise InvalidStreamError("an event is not an object")
    return document
