"""Checks on an engine's event stream while it is relayed."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]\n\n"
TOKEN_MARK = b'"content":"'
EMPTY_TOKEN_MARK = b'"content":""'
USAGE_MARK = b'"usage":{'
MAX_EVENT_BYTES = 1_048_576


class StreamFaultError(Exception):
    """The engine's stream is not the answer to this request."""


@dataclass(slots=True)
class EventRelay:
    r"""Cuts a byte stream into whole events, counts tokens and checks their ids.

    Parameters
    ----------
    answer_id : str
        The id that each event must carry.
    with_usage : bool
        The caller asked for the usage event; otherwise it is kept back.

    Attributes
    ----------
    n_tokens : int
        Tokens relayed so far, also the offset for a resumption.
    prompt_tokens, cached_tokens : int
        From the usage event; 0 before it.
    finished : bool
        The end mark came.

    Examples
    --------
    >>> relay = EventRelay(answer_id="a", with_usage=False)
    >>> relay.observe(b'data: {"id":"a","x":{"content":"t"}}\n\nda')
    b'data: {"id":"a","x":{"content":"t"}}\n\n'
    >>> relay.n_tokens
    1
    """

    answer_id: str
    with_usage: bool
    n_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    finished: bool = False
    rest: bytes = b""
    id_mark: bytes = b""

    def __post_init__(self) -> None:
        self.id_mark = b'"id":"' + self.answer_id.encode() + b'"'

    def observe(self, chunk: bytes) -> bytes:
        """Take in bytes and return the whole events to relay.

        Parameters
        ----------
        chunk : bytes
            As read from the engine.

        Returns
        -------
        bytes
            Whole events, possibly none.

        Raises
        ------
        StreamFaultError
            An event is malformed or belongs to another request.
        """
        data = self.rest + chunk if self.rest else chunk
        end = data.rfind(SEPARATOR)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise StreamFaultError("an event exceeds its largest size")
            self.rest = data
            return b""
        end += len(SEPARATOR)
        self.rest = data[end:]
        events = data[:end]
        if self.finished:
            raise StreamFaultError("events follow the end mark")
        if events.endswith(DONE):
            self.finished = True
        self._check_ids(events)
        self.n_tokens += events.count(TOKEN_MARK) - events.count(EMPTY_TOKEN_MARK)
        if USAGE_MARK in events:
            events = self._take_usage(events)
        return events

    def restart(self) -> None:
        """Forget an incomplete event before a resumption."""
        self.rest = b""

    def _check_ids(self, events: bytes) -> None:
        n_events = events.count(SEPARATOR) - self.finished
        if events.count(self.id_mark) == n_events:
            return
        for event in events.split(SEPARATOR)[:-1]:
            if event + SEPARATOR == DONE or event.startswith(b":"):
                continue
            if _parse_event(event).get("id") != self.answer_id:
                raise StreamFaultError("an event belongs to another request")

    def _take_usage(self, events: bytes) -> bytes:
        kept = []
        for event in events.split(SEPARATOR)[:-1]:
            if USAGE_MARK in event:
                document = _parse_event(event)
                self._observe_usage(document.get("usage") or {})
                if not self.with_usage and not document.get("choices"):
                    continue
            kept.append(event + SEPARATOR)
        return b"".join(kept)

    def _observe_usage(self, usage: dict) -> None:
        details = usage.get("prompt_tokens_details") or {}
        self.prompt_tokens = int(usage.get("prompt_tokens", 0))
        self.cached_tokens = int(details.get("cached_tokens", 0))


def _parse_event(event: bytes) -> dict:
    if not event.startswith(b"data: "):
        raise StreamFaultError("an event has no data field")
    try:
        document = orjson.loads(event[6:])
    except orjson.JSONDecodeError as exc:
        raise StreamFaultError(f"an event is not JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise StreamFaultError("an event is not an object")
    return document
