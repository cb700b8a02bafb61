"""Dispatch of chat requests, and relaying and resumption of their responses."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from ..policy import (
    Assignment,
    Verdict,
    compute_work,
)
from ._attempts import acquire, prepare_retry
from ._backend_client import BackendFault, open_response
from ._event_stream import EventStreamParser, InvalidStreamError
from ._exchange import Exchange

if TYPE_CHECKING:
    from ._node import Node

Sink = Callable[[bytes], Awaitable[None]]

HEADER_TIMEOUT = 30.0  # seconds until the headers of a streamed response
MIN_IDLE_TIMEOUT = 2.0  # seconds without data on a stream
IDLE_TIMEOUT_INTERVALS = 60  # token intervals
FULL_RESPONSE_TIMEOUT = 600.0  # seconds
REFUSAL_STATUSES = frozenset({429, 503})
KEEP_ALIVE_COMMENT = b": waiting\n\n"


def make_upstream_body(
    document: dict[str, Any], exch: Exchange, *, offset: int = 0
) -> bytes:
    """Build the request body for the engine from the caller's request.

    Parameters
    ----------
    document : dict
        Parsed JSON body of the caller's request.
    exch : Exchange
        State of the request.
    offset : int, default=0
        Number of tokens already relayed to the caller, from which the engine
        resumes.

    Returns
    -------
    bytes
        JSON with the model name and priority for the engine. A streamed request
        always asks the engine for the usage event.
    """
    body = {**document, "model": exch.route.pool, "priority": exch.job.tier}
    if document.get("stream"):
        options = document.get("stream_options") or {}
        body["stream_options"] = {**options, "include_usage": True}
    if offset:
        body["resume_offset"] = offset
    return orjson.dumps(body)


def compute_idle_timeout(exch: Exchange) -> float:
    """Compute the time without data after which a stream counts as stalled.

    Parameters
    ----------
    exch : Exchange
        State of the streamed request.

    Returns
    -------
    float
        Idle timeout in seconds.
    """
    return max(MIN_IDLE_TIMEOUT, exch.job.token_interval * IDLE_TIMEOUT_INTERVALS)


async def stream_chat(
    node: Node,
    exch: Exchange,
    document: dict[str, Any],
    sink: Sink,
    *,
    with_usage: bool,
) -> None:
    """Relay a streamed response, and resume it after a failure or preemption.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        State of the request.
    document : dict
        Parsed JSON body of the caller's request.
    sink : callable
        Sends complete events to the caller.
    with_usage : bool
        Whether the caller asked for the usage event.

    Raises
    ------
    Refusal
        The request ends before the response is complete.

    Notes
    -----
    Events are pushed into the sink, because each layer of async generators in
    between would cost about two microseconds per token.
    """
    parser = EventStreamParser(f"chatcmpl-{exch.request_id}", with_usage)
    while True:
        assignment = await acquire(node, exch)
        fault: BackendFault | None = None
        try:
            await _attempt_stream(node, exch, document, parser, assignment, sink)
        except BackendFault as exc:
            fault = exc
            await node.handle_fault(exch, assignment.backend, exc)
        finally:
            _copy_token_counts(exch, parser)
            node.release(exch, completed=parser.finished and fault is None)
        if fault is None:
            exch.states.observe("finish")
            return
        prepare_retry(node, exch, fault)
        parser.discard_partial_event()
        if parser.n_tokens:
            await sink(KEEP_ALIVE_COMMENT)


def _copy_token_counts(exch: Exchange, parser: EventStreamParser) -> None:
    exch.n_tokens = parser.n_tokens
    exch.prompt_tokens = parser.prompt_tokens or exch.job.prompt_tokens
    exch.cached_tokens = parser.cached_tokens


async def _attempt_stream(
    node: Node,
    exch: Exchange,
    document: dict[str, Any],
    parser: EventStreamParser,
    assignment: Assignment,
    sink: Sink,
) -> None:
    url = node.backend_url(assignment.backend)
    body = make_upstream_body(document, exch, offset=parser.n_tokens)
    sent_at = time.monotonic()
    exch.states.observe("write")
    async with open_response(
        node.session,
        "POST",
        url + "/v1/chat/completions",
        headers=_make_headers(exch),
        body=body,
        header_timeout=HEADER_TIMEOUT,
    ) as resp:
        _check_response_head(resp, "text/event-stream")
        with node.watchdog.watch(exch, resp, compute_idle_timeout(exch)) as watched:
            read = resp.content.readany
            while chunk := await read():
                watched.last_progress_at = now = time.monotonic()
                events = _parse_chunk(exch, parser, chunk)
                if events:
                    if parser.n_tokens:
                        if exch.first_token_at is None:
                            node.observe_first_token(exch, now - sent_at)
                        exch.record_output_time(now)
                    await sink(events)
                if parser.finished:
                    break
    if not parser.finished:
        raise BackendFault("broken", "the stream ended early", Verdict.MAY_HAVE_RUN)


def _parse_chunk(exch: Exchange, parser: EventStreamParser, chunk: bytes) -> bytes:
    try:
        events = parser.feed(chunk)
    except InvalidStreamError as exc:
        raise BackendFault("invalid", str(exc), Verdict.MAY_HAVE_RUN) from exc
    if events and exch.states.state == "sent":
        exch.states.observe("first_byte")
    return events


def _make_headers(exch: Exchange) -> dict[str, str]:
    return {"Content-Type": "application/json", "X-Request-Id": exch.request_id}


def _check_response_head(resp: aiohttp.ClientResponse, media_type: str) -> None:
    if resp.status in REFUSAL_STATUSES:
        raise BackendFault("refused", f"answered {resp.status}", Verdict.NOT_RUN)
    if 400 <= resp.status < 500:
        raise BackendFault("rejected", f"answered {resp.status}", Verdict.NOT_RUN)
    if resp.status != 200 or resp.content_type != media_type:
        message = f"answered {resp.status} with {resp.content_type}"
        raise BackendFault("invalid", message, Verdict.MAY_HAVE_RUN)


async def call_chat(node: Node, exch: Exchange, document: dict[str, Any]) -> bytes:
    """Get the complete response to a chat request that is not streamed.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        State of the request.
    document : dict
        Parsed JSON body of the caller's request.

    Returns
    -------
    bytes
        JSON body of the engine's response, after a check that the response
        belongs to this request.

    Raises
    ------
    Refusal
        The request ends without a response.
    """
    while True:
        assignment = await acquire(node, exch)
        fault: BackendFault | None = None
        try:
            return await _attempt_full(node, exch, document, assignment)
        except BackendFault as exc:
            fault = exc
            await node.handle_fault(exch, assignment.backend, exc)
        finally:
            node.release(exch, completed=fault is None)
        prepare_retry(node, exch, fault)


async def _attempt_full(
    node: Node, exch: Exchange, document: dict[str, Any], assignment: Assignment
) -> bytes:
    url = node.backend_url(assignment.backend)
    sent_at = time.monotonic()
    exch.states.observe("write")
    async with open_response(
        node.session,
        "POST",
        url + "/v1/chat/completions",
        headers=_make_headers(exch),
        body=make_upstream_body(document, exch),
        header_timeout=FULL_RESPONSE_TIMEOUT,
    ) as resp:
        _check_response_head(resp, "application/json")
        with node.watchdog.watch(exch, resp, FULL_RESPONSE_TIMEOUT):
            raw = await resp.read()
    _parse_full_response(exch, raw)
    node.observe_first_token(exch, time.monotonic() - sent_at)
    exch.record_output_time(time.monotonic())
    exch.states.observe("finish")
    return raw


def _parse_full_response(exch: Exchange, raw: bytes) -> None:
    try:
        document = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        message = f"the answer is not JSON: {exc}"
        raise BackendFault("invalid", message, Verdict.MAY_HAVE_RUN) from exc
    if not isinstance(document, dict) or "choices" not in document:
        raise BackendFault(
            "invalid", "the answer is not a completion", Verdict.MAY_HAVE_RUN
        )
    if document.get("id") != f"chatcmpl-{exch.request_id}":
        raise BackendFault(
            "invalid", "the answer belongs to another request", Verdict.MAY_HAVE_RUN
        )
    usage = document.get("usage") or {}
    exch.n_tokens = int(usage.get("completion_tokens", 0))
    exch.prompt_tokens = int(usage.get("prompt_tokens", exch.job.prompt_tokens))


def measure_work(exch: Exchange) -> float:
    """Compute the work that a request has caused so far.

    Parameters
    ----------
    exch : Exchange
        State of the request, with its token counts.

    Returns
    -------
    float
        Work in output-token equivalents.
    """
    uncached = max(0, exch.prompt_tokens - exch.cached_tokens)
    return compute_work(uncached, exch.cached_tokens, exch.n_tokens)
