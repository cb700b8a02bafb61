"""Decoding and construction of the headers of requests and responses."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ._bounds import MAX_DURATION, MAX_RATE, MAX_SLOTS, parse_count
from ._names import (
    COLD_TIME,
    CUSTOMER,
    CUSTOMER_KEY,
    DEADLINE,
    EXPECT_INSTANCE,
    FETCH_FROM,
    INSTANCE_ID,
    LAST_EVENT_ID,
    LENGTH_HINT,
    NOT_EXECUTED,
    PROMPT_PARTS,
    PROTECTED_HEADERS,
    REQUEST_ID,
    REQUEST_PRIORITY,
    RESPONSE_SEAL,
    RESUMES,
    RETRY_AFTER,
    ROUTER_HEADERS,
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
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
# Work that takes longer than a hundred times as usual is taken for an invalid report.
MAX_REPORTED_SLOWNESS = 100.0
MISDIRECTED_STATUS = 421
BUSY_STATUS = 503
_DROPPED_FROM_RESPONSES = HOP_BY_HOP_HEADERS | {NOT_EXECUTED.lower().encode()}
_REQUEST_ID_NAME = REQUEST_ID.lower().encode()
_ROUTER_HEADER_NAMES = frozenset(name.encode() for name in ROUTER_HEADERS)
_PROTECTED_HEADER_NAMES = frozenset(name.encode() for name in PROTECTED_HEADERS)

Headers = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt, which other requests may share.

    Attributes
    ----------
    part_id : str
        Identity of the part.
    n_tokens : int
        Length of the part in tokens.
    """

    part_id: str
    n_tokens: int


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """Values from the headers of a caller's request.

    Attributes
    ----------
    request_id : str
        Identity of the caller's attempt; empty if missing.
    key : str
        Customer's key; empty if missing.
    time_left : float or None
        Seconds until the caller's deadline; None if missing.
    n_prompt_tokens : int
        Declared length of the prompt in tokens; 0 if missing.
    max_output_tokens : int or None
        Declared maximum length of the answer in tokens; None if missing.
    output_hint : int or None
        Caller's estimate of the length of the answer in tokens; None if missing.
    parts : tuple of PromptPart
        Parts of the prompt in order. The last part is specific to the request.
    last_event_id : int or None
        ID of the last event that the caller has received; None for a new stream.
    resumed_id : str
        Identity of the caller's earlier attempt that received the first event of the
        stream; empty for a new stream.
    """

    request_id: str
    key: str
    time_left: float | None
    n_prompt_tokens: int = 0
    max_output_tokens: int | None = None
    output_hint: int | None = None
    parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None
    resumed_id: str = ""


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reports.

    Attributes
    ----------
    n_running : int
        Number of requests that run.
    n_waiting : int
        Number of requests in the server's queue.
    n_slots : int
        Number of requests that the server runs concurrently.
    slowness : float or None
        Time that work takes on the server's machine at this moment, relative to the
        usual time; None if not reported.
    has_invalid_slowness : bool
        Whether the server reported a slowness that is not a plausible number.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    slowness: float | None = None
    has_invalid_slowness: bool = False


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """Values from the status and the headers of a backend server's response.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str
        Identity of the request to which the response belongs; empty if missing or if
        the response names several.
    not_run : bool
        Whether the server reports that it did not run the request, with a status that
        doesn't contradict it.
    misdirected : bool
        Whether another server has taken over the address.
    sealed : bool
        Whether the response has the server's seal header.
    encoded : bool
        Whether the body has a content encoding, so that it is not the server's
        plain body.
    load : ServerLoad or None
        Load of the server; None if not reported.
    leaving : bool
        Whether the server announces that it leaves.
    retry_after : float or None
        Seconds for which a server that refused a request wants no others from this
        node; None if it states no time.
    max_request_rate : float or None
        Requests a second that the server accepts from all nodes together; None if it
        states no limit.
    max_rejections : float or None
        Requests that the server can reject in a second without falling over; None if
        it states no such limit.
    server_id : str
        Identity of the server that answered; empty if missing.
    cold_time : float or None
        Seconds for which the server stays cold; None if not reported.
    """

    status: int
    request_id: str
    not_run: bool
    misdirected: bool
    sealed: bool
    encoded: bool
    load: ServerLoad | None
    leaving: bool = False
    retry_after: float | None = None
    max_request_rate: float | None = None
    max_rejections: float | None = None
    server_id: str = ""
    cold_time: float | None = None


def _parse_decimal(text: str) -> float | None:
    """Return a number that is not negative; None for a date or an invalid value."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _parse_clipped(text: str, largest: float) -> float | None:
    number = _parse_decimal(text)
    return min(number, largest) if number is not None else None


def _collect_first_values(headers: Headers) -> dict[str, str]:
    """Return the first value of each header without surrounding whitespace."""
    rows: dict[str, str] = {}
    for name, value in headers:
        rows.setdefault(name.decode("latin-1"), value.decode("latin-1").strip())
    return rows


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        size = parse_count(tokens)
        if part_id and size is not None:
            parts.append(PromptPart(part_id, size))
    return tuple(parts)


def _parse_server_load(text: str) -> ServerLoad | None:
    """Return a server's load; None unless its first three numbers are valid."""
    n_running, n_waiting, n_slots, percent = (*text.split(",", 3), *[None] * 4)[:4]
    counts = [parse_count(item) for item in (n_running, n_waiting, n_slots)]
    if None in counts or max(it for it in counts if it is not None) > MAX_SLOTS:
        return None
    slowness = None
    if percent is not None:
        slowness = (_parse_decimal(percent) or 0.0) / 100
        if not 0 < slowness <= MAX_REPORTED_SLOWNESS:
            slowness = None
    return ServerLoad(
        *counts,  # type: ignore[arg-type]
        slowness=slowness,
        has_invalid_slowness=percent is not None and slowness is None,
    )


def decode_request(headers: Headers) -> RequestInfo:
    """Decode the headers of a caller's request.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Headers with names in lower case.

    Returns
    -------
    RequestInfo
        Decoded values. Invalid optional headers count as missing.
    """
    rows = _collect_first_values(headers)

    def get(name: str) -> str:
        return rows.get(name.lower(), "")

    deadline = parse_count(get(DEADLINE).partition(".")[0])
    prompt, _, output = get(TOKEN_COUNTS).partition(",")
    return RequestInfo(
        request_id=get(REQUEST_ID),
        key=get(CUSTOMER_KEY),
        time_left=deadline / 1000 if deadline is not None else None,
        n_prompt_tokens=parse_count(prompt) or 0,
        max_output_tokens=parse_count(output),
        output_hint=parse_count(get(LENGTH_HINT)),
        parts=_parse_prompt_parts(get(PROMPT_PARTS)),
        last_event_id=parse_count(get(LAST_EVENT_ID)),
        resumed_id=get(RESUMES),
    )


def make_question_headers(
    request_id: str, *, tokens: str, prefix: str, session: str
) -> tuple[tuple[bytes, bytes], ...]:
    """Make the headers of a request that is only asked about.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    tokens : str
        Prompt tokens and maximum output tokens, as ``900,40``; empty if not given.
    prefix : str
        Shared prompt parts, as ``ID:TOKENS,...``; empty if not given.
    session : str
        Id of the prompt part of the request's session; empty if not given.

    Returns
    -------
    tuple of (bytes, bytes)
        Headers with names in lower case.

    Raises
    ------
    ValueError
        If ``tokens`` or ``prefix`` is not of that form.
    """
    counts = [parse_count(item) for item in tokens.split(",")] if tokens else [0]
    if None in counts or len(counts) > 2:
        raise ValueError(f"tokens must be two numbers, as 900,40, not {tokens!r}")
    items = [item for item in prefix.split(",") if item]
    parts = _parse_prompt_parts(prefix)
    if len(parts) != len(items):
        raise ValueError(f"prefix must be ID:TOKENS,..., not {prefix!r}")
    if session:
        n_left = max(0, (counts[0] or 0) - sum(it.n_tokens for it in parts))
        items.append(f"{session}:{n_left}")
    fields = {
        REQUEST_ID: request_id,
        TOKEN_COUNTS: tokens,
        PROMPT_PARTS: ",".join(items),
    }
    return tuple(
        (name.lower().encode(), value.encode())
        for name, value in fields.items()
        if value
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
    """Make the headers of a request to a backend server.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Headers of the caller's request, with names in lower case.
    customer : str or None
        Name of the customer; None for routes without keys.
    server_id : str
        Identity of the only server that may run the request.
    time_left : float
        Seconds until the deadline of the request.
    priority : int or None
        Priority for engines, clipped to 0 (most urgent) to 9; None to send none.
    last_event_id : int or None
        ID of the event after which the stream continues, in place of the caller's
        value; None to keep the caller's value.
    fetch_from : str or None
        Address of an engine that has a prefix of the prompt cached.

    Returns
    -------
    list of (bytes, bytes)
        Headers for the backend server, without the caller's hop-by-hop headers and
        without the caller's values of headers that only the router sets.
    """
    forwarded = _copy_request_headers(
        headers, _ROUTER_HEADER_NAMES, time_left=time_left, last_event_id=last_event_id
    )
    forwarded.append((EXPECT_INSTANCE.encode(), server_id.encode()))
    if customer is not None:
        forwarded.append((CUSTOMER.encode(), customer.encode()))
    if priority is not None:
        forwarded.append((REQUEST_PRIORITY.encode(), b"%d" % min(9, max(0, priority))))
    if fetch_from is not None:
        forwarded.append((FETCH_FROM.encode(), fetch_from.encode()))
    return forwarded


def make_forwarded_headers(
    headers: Headers, *, time_left: float, last_event_id: int | None = None
) -> list[tuple[bytes, bytes]]:
    """Make the headers of a caller's request that another node serves.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Headers of the caller's request, with names in lower case.
    time_left : float
        Seconds until the deadline of the request.
    last_event_id : int or None
        ID of the event after which the stream continues, in place of the caller's
        value; None to keep the caller's value.

    Returns
    -------
    list of (bytes, bytes)
        Headers as the caller sent them, the key included, without those that concern
        only its connection.
    """
    return _copy_request_headers(
        headers, frozenset(), time_left=time_left, last_event_id=last_event_id
    )


def _copy_request_headers(
    headers: Headers,
    dropped: frozenset[bytes],
    *,
    time_left: float,
    last_event_id: int | None,
) -> list[tuple[bytes, bytes]]:
    """Copy a caller's headers without ``dropped`` and those of its connection only."""
    rows = list(headers)
    connection_options: set[bytes] = set()
    for name, value in rows:
        if name == b"connection":
            connection_options |= {item.strip().lower() for item in value.split(b",")}
    dropped |= HOP_BY_HOP_HEADERS | {DEADLINE.lower().encode()}
    dropped |= connection_options - _PROTECTED_HEADER_NAMES
    if last_event_id is not None:
        dropped |= {LAST_EVENT_ID.lower().encode()}
    copied = [(name, value) for name, value in rows if name not in dropped]
    copied.append((DEADLINE.encode(), b"%d" % max(1, int(time_left * 1000))))
    if last_event_id is not None:
        copied.append((LAST_EVENT_ID.encode(), b"%d" % last_event_id))
    return copied


def _can_refuse(status: int) -> bool:
    """Return whether a response with this status may be one to a request not run.

    A server's 500 and 504 are for requests that it has run.
    """
    return 400 <= status < 500 or status == BUSY_STATUS


def decode_response(status: int, headers: Headers) -> ResponseInfo:
    """Decode the status and the headers of a backend server's response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : iterable of (bytes, bytes)
        Headers with names in lower case.

    Returns
    -------
    ResponseInfo
        Decoded values. An invalid load header counts as missing, and so does an
        invalid slowness in it.
    """
    headers = tuple(headers)
    rows = _collect_first_values(headers)
    request_ids = {value.strip() for name, value in headers if name == _REQUEST_ID_NAME}
    cold_ms = _parse_clipped(rows.get(COLD_TIME.lower(), ""), MAX_DURATION * 1000)
    return ResponseInfo(
        status=status,
        request_id=request_ids.pop().decode("latin-1") if len(request_ids) == 1 else "",
        not_run=status == MISDIRECTED_STATUS
        or (NOT_EXECUTED.lower() in rows and _can_refuse(status)),
        misdirected=status == MISDIRECTED_STATUS,
        sealed=RESPONSE_SEAL.lower() in rows,
        encoded=rows.get("content-encoding", "identity") != "identity",
        load=_parse_server_load(rows.get(SERVER_LOAD.lower(), "")),
        leaving=rows.get(SERVER_LEAVING.lower()) == "1",
        retry_after=_parse_clipped(rows.get(RETRY_AFTER.lower(), ""), MAX_DURATION)
        if status == BUSY_STATUS
        else None,
        max_request_rate=_parse_clipped(rows.get(SERVER_LIMIT.lower(), ""), MAX_RATE),
        max_rejections=_parse_clipped(rows.get(SERVER_BRITTLE.lower(), ""), MAX_RATE),
        server_id=rows.get(INSTANCE_ID.lower(), ""),
        cold_time=cold_ms / 1000 if cold_ms is not None else None,
    )


def make_response_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Make the headers of a forwarded response.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Headers of the backend server's response, with names in lower case.

    Returns
    -------
    list of (bytes, bytes)
        Headers for the caller, without the hop-by-hop headers, and without a claim
        that the request was not run: a response that is forwarded contradicts it.
    """
    return [
        (name, value) for name, value in headers if name not in _DROPPED_FROM_RESPONSES
    ]


def make_refusal_headers(
    request_id: str, retry_after: float | None
) -> list[tuple[bytes, bytes]]:
    """Make the headers of an error response that the router itself creates.

    Parameters
    ----------
    request_id : str
        Identity of the caller's attempt; may be empty.
    retry_after : float or None
        Seconds after which the caller may retry; None to send no advice.

    Returns
    -------
    list of (bytes, bytes)
        Headers without ``Content-Length``.
    """
    rows = [(b"Content-Type", b"application/json")]
    if request_id:
        rows.append((REQUEST_ID.encode(), request_id.encode("latin-1", "replace")))
    if retry_after is not None:
        rows.append((RETRY_AFTER.encode(), b"%.3f" % retry_after))
    return rows
