"""Headers of callers' requests, of requests to backend servers, and of answers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ._names import (
    CUSTOMER,
    CUSTOMER_KEY,
    DEADLINE,
    EXPECT_INSTANCE,
    FETCH_FROM,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    PROMPT_PARTS,
    PROTECTED_HEADERS,
    REQUEST_ID,
    REQUEST_PRIORITY,
    RESPONSE_SEAL,
    ROUTER_HEADERS,
    SERVER_LOAD,
    TOKEN_COUNTS,
)

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
MISDIRECTED_STATUS = 421
_ROUTER_HEADER_NAMES = frozenset(name.encode() for name in ROUTER_HEADERS)
_PROTECTED_HEADER_NAMES = frozenset(name.encode() for name in PROTECTED_HEADERS)

Headers = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, which other requests may share.

    Attributes
    ----------
    part_id : str
        Identity.
    n_tokens : int
        Its length.
    """

    part_id: str
    n_tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a caller's headers say of a request.

    Attributes
    ----------
    request_id : str
        Identity of this attempt of the caller; empty when missing.
    key : str
        The caller's key; empty when missing.
    time_left : float or None
        Seconds that the caller still waits.
    n_prompt_tokens : int
        Declared length of the prompt; 0 when not given.
    parts : tuple of PromptPart
        The prompt's parts in order; the last is the request's own.
    last_event_id : int or None
        The caller has the stream up to here.
    """

    request_id: str
    key: str
    time_left: float | None
    n_prompt_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a backend server says of its load.

    Attributes
    ----------
    n_running, n_waiting, n_slots : int
        Requests that run and wait, and how many may run.
    """

    n_running: int
    n_waiting: int
    n_slots: int


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an answer's status and headers say.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str
        The request that it answers; empty when missing.
    not_run : bool
        The server says that it did not run the request.
    misdirected : bool
        Another server has the address now.
    sealed : bool
        It bears the server's seal.
    encoded : bool
        Its body is not the server's plain body.
    load : ServerLoad or None
        The server's load, when told.
    """

    status: int
    request_id: str
    not_run: bool
    misdirected: bool
    sealed: bool
    encoded: bool
    load: ServerLoad | None


def _parse_int(text: str | None) -> int | None:
    text = (text or "").strip()
    return int(text) if text.isascii() and text.isdigit() else None


def _collect_first_values(headers: Headers) -> dict[str, str]:
    """Return the first value of each header, without spaces around it."""
    rows: dict[str, str] = {}
    for name, value in headers:
        rows.setdefault(name.decode("latin-1"), value.decode("latin-1").strip())
    return rows


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        size = _parse_int(tokens)
        if part_id and size is not None:
            parts.append(PromptPart(part_id, size))
    return tuple(parts)


def decode_request(headers: Headers) -> RequestFacts:
    """Read a caller's headers.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Returns
    -------
    RequestFacts
        What they say; unreadable optional ones count as missing.
    """
    rows = _collect_first_values(headers)

    def get(name: str) -> str:
        return rows.get(name.lower(), "")

    deadline = _parse_int(get(DEADLINE).partition(".")[0])
    prompt = get(TOKEN_COUNTS).partition(",")[0]
    return RequestFacts(
        request_id=get(REQUEST_ID),
        key=get(CUSTOMER_KEY),
        time_left=deadline / 1000 if deadline is not None else None,
        n_prompt_tokens=_parse_int(prompt) or 0,
        parts=_parse_prompt_parts(get(PROMPT_PARTS)),
        last_event_id=_parse_int(get(LAST_EVENT_ID)),
    )


def make_forward_headers(
    headers: Headers,
    *,
    customer: str | None,
    server_id: str,
    time_left: float,
    priority: int | None = None,
    last_event_id: int | None = None,
    fetch_from: str | None = None,
) -> list[tuple[bytes, bytes]]:
    """Make the headers that a backend server gets.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        The caller's, names in lower case.
    customer : str or None
        The customer's name; None for routes without keys.
    server_id : str
        The server that must answer.
    time_left : float
        Seconds until the answer is of no use.
    priority : int or None
        Rank for engines; 0 is first.
    last_event_id : int or None
        Go on after this event, instead of where the caller asked.
    fetch_from : str or None
        Address of an engine that holds the prompt's beginning.

    Returns
    -------
    list of (bytes, bytes)
        Without what concerns one connection or is the router's to set.
    """
    rows = list(headers)
    named: set[bytes] = set()
    for name, value in rows:
        if name == b"connection":
            named |= {item.strip().lower() for item in value.split(b",")}
    dropped = (
        HOP_BY_HOP_HEADERS | _ROUTER_HEADER_NAMES | (named - _PROTECTED_HEADER_NAMES)
    )
    if last_event_id is not None:
        dropped |= {LAST_EVENT_ID.lower().encode()}
    kept = [(name, value) for name, value in rows if name not in dropped]
    kept.append((DEADLINE.encode(), b"%d" % max(1, int(time_left * 1000))))
    kept.append((EXPECT_INSTANCE.encode(), server_id.encode()))
    if customer is not None:
        kept.append((CUSTOMER.encode(), customer.encode()))
    if priority is not None:
        kept.append((REQUEST_PRIORITY.encode(), b"%d" % min(9, max(0, priority))))
    if fetch_from is not None:
        kept.append((FETCH_FROM.encode(), fetch_from.encode()))
    if last_event_id is not None:
        kept.append((LAST_EVENT_ID.encode(), b"%d" % last_event_id))
    return kept


def decode_answer(status: int, headers: Headers) -> AnswerFacts:
    """Read an answer's status and headers.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Returns
    -------
    AnswerFacts
        What they say.
    """
    rows = _collect_first_values(headers)
    load = None
    numbers = [
        _parse_int(item) for item in rows.get(SERVER_LOAD.lower(), "").split(",")
    ]
    if len(numbers) == 3 and None not in numbers:
        load = ServerLoad(*numbers)  # type: ignore[arg-type]
    return AnswerFacts(
        status=status,
        request_id=rows.get(REQUEST_ID.lower(), ""),
        not_run=NOT_EXECUTED.lower() in rows or status == MISDIRECTED_STATUS,
        misdirected=status == MISDIRECTED_STATUS,
        sealed=RESPONSE_SEAL.lower() in rows,
        encoded=rows.get("content-encoding", "identity") != "identity",
        load=load,
    )


def make_answer_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Make the headers that a caller gets of a backend server's answer.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        The server's, names in lower case.

    Returns
    -------
    list of (bytes, bytes)
        Without those that concern one connection.
    """
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS]


def make_refusal_headers(
    request_id: str, retry_after: float | None
) -> list[tuple[bytes, bytes]]:
    """Make the headers of an answer of the router's own.

    Parameters
    ----------
    request_id : str
        The caller's id; may be empty.
    retry_after : float or None
        Seconds after which another attempt makes sense.

    Returns
    -------
    list of (bytes, bytes)
        Without framing.
    """
    rows = [(b"Content-Type", b"application/json")]
    if request_id:
        rows.append((REQUEST_ID.encode(), request_id.encode("latin-1", "replace")))
    if retry_after is not None:
        rows.append((b"Retry-After", b"%.3f" % retry_after))
    return rows
