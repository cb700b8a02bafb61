"""Chat requests: dispatch, relay, resumption."""

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
from ._attempts import acquire, decide_next
from ._backend_client import BackendFault, open_call
from ._events import EventRelay, StreamFaultError
from ._exchange import Exchange

if TYPE_CHECKING:
    from ._node import Node

Sink = Callable[[bytes], Awaitable[None]]

HEAD_TIMEOUT = 30.0  # seconds
MIN_SILENCE = 2.0  # seconds
SILENCE_INTERVALS = 60  # token intervals
WHOLE_ANSWER_TIMEOUT = 600.0  # seconds
REFUSAL_STATUSES = frozenset({429, 503})
KEEP_ALIVE = b": waiting\n\n"


def make_upstream_body(
    document: dict[str, Any], exch: Exchange, *, offset: int = 0
) -> bytes:
    """Make the body that goes to the engine.

    Parameters
    ----------
    document : dict
        The caller's request.
    exch : Exchange
        Its state.
    offset : int, default=0
        Tokens that the caller has already.

    Returns
    -------
    bytes
        JSON with the engine's model, priority and usage option.
    """
    body = {**document, "model": exch.route.pool, "priority": exch.job.tier}
    if document.get("stream"):
        options = document.get("stream_options") or {}
        body["stream_options"] = {**options, "include_usage": True}
    if offset:
        body["resume_offset"] = offset
    return orjson.dumps(body)


def max_silence(exch: Exchange) -> float:
    """Return the longest pause between tokens before a stream counts as dead.

    Parameters
    ----------
    exch : Exchange
        The request.

    Returns
    -------
    float
        Seconds.
    """
    return max(MIN_SILENCE, exch.job.token_interval * SILENCE_INTERVALS)


async def stream_chat(
    node: Node,
    exch: Exchange,
    document: dict[str, Any],
    sink: Sink,
    *,
    with_usage: bool,
) -> None:
    """Relay a streamed answer, resuming it elsewhere when it breaks.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        The request.
    document : dict
        The caller's request.
    sink : callable
        Takes whole events on their way to the caller.
    with_usage : bool
        The caller asked for the usage event.

    Raises
    ------
    Refusal
        The request ends without its whole answer.

    Notes
    -----
    Events are pushed into the sink: each layer of async generators in between
    would cost about two microseconds a token.
    """
    relay = EventRelay(f"chatcmpl-{exch.request_id}", with_usage)
    while True:
        assignment = await acquire(node, exch)
        fault: BackendFault | None = None
        try:
            await _attempt_stream(node, exch, document, relay, assignment, sink)
        except BackendFault as exc:
            fault = exc
            await node.observe_fault(exch, assignment.backend, exc)
        finally:
            _observe_relay(exch, relay)
            node.release(exch, done=relay.finished and fault is None)
        if fault is None:
            exch.states.observe("finish")
            return
        decide_next(node, exch, fault)
        relay.restart()
        if relay.n_tokens:
            await sink(KEEP_ALIVE)


def _observe_relay(exch: Exchange, relay: EventRelay) -> None:
    exch.n_tokens = relay.n_tokens
    exch.prompt_tokens = relay.prompt_tokens or exch.job.prompt_tokens
    exch.cached_tokens = relay.cached_tokens


async def _attempt_stream(
    node: Node,
    exch: Exchange,
    document: dict[str, Any],
    relay: EventRelay,
    assignment: Assignment,
    sink: Sink,
) -> None:
    url = node.backend_url(assignment.backend)
    body = make_upstream_body(document, exch, offset=relay.n_tokens)
    sent_at = time.monotonic()
    exch.states.observe("write")
    async with open_call(
        node.session,
        "POST",
        url + "/v1/chat/completions",
        headers=_headers(exch),
        body=body,
        head_timeout=HEAD_TIMEOUT,
    ) as resp:
        _check_head(resp, "text/event-stream")
        with node.watchdog.watch(exch, resp, max_silence(exch)) as watched:
            read = resp.content.readany
            while chunk := await read():
                watched.last_at = now = time.monotonic()
                events = _observe_chunk(exch, relay, chunk)
                if events:
                    if relay.n_tokens:
                        if exch.first_token_at is None:
                            node.observe_first_token(exch, now - sent_at)
                        exch.observe_progress(now)
                    await sink(events)
                if relay.finished:
                    break
    if not relay.finished:
        raise BackendFault("broken", "the stream ended early", Verdict.MAY_HAVE_RUN)


def _observe_chunk(exch: Exchange, relay: EventRelay, chunk: bytes) -> bytes:
    try:
        events = relay.observe(chunk)
    except StreamFaultError as exc:
        raise BackendFault("invalid", str(exc), Verdict.MAY_HAVE_RUN) from exc
    if events and exch.states.state == "sent":
        exch.states.observe("first_byte")
    return events


def _headers(exch: Exchange) -> dict[str, str]:
    return {"Content-Type": "application/json", "X-Request-Id": exch.request_id}


def _check_head(resp: aiohttp.ClientResponse, media_type: str) -> None:
    if resp.status in REFUSAL_STATUSES:
        raise BackendFault("refused", f"answered {resp.status}", Verdict.NOT_RUN)
    if 400 <= resp.status < 500:
        raise BackendFault("rejected", f"answered {resp.status}", Verdict.NOT_RUN)
    if resp.status != 200 or resp.content_type != media_type:
        message = f"answered {resp.status} with {resp.content_type}"
        raise BackendFault("invalid", message, Verdict.MAY_HAVE_RUN)


async def call_chat(node: Node, exch: Exchange, document: dict[str, Any]) -> bytes:
    """Get a whole answer.

    Parameters
    ----------
    node : Node
        This node.
    exch : Exchange
        The request.
    document : dict
        The caller's request.

    Returns
    -------
    bytes
        The engine's JSON, checked to be this request's answer.

    Raises
    ------
    Refusal
        The request ends without an answer.
    """
    while True:
        assignment = await acquire(node, exch)
        fault: BackendFault | None = None
        try:
            return await _attempt_whole(node, exch, document, assignment)
        except BackendFault as exc:
            fault = exc
            await node.observe_fault(exch, assignment.backend, exc)
        finally:
            node.release(exch, done=fault is None)
        decide_next(node, exch, fault)


async def _attempt_whole(
    node: Node, exch: Exchange, document: dict[str, Any], assignment: Assignment
) -> bytes:
    url = node.backend_url(assignment.backend)
    sent_at = time.monotonic()
    exch.states.observe("write")
    async with open_call(
        node.session,
        "POST",
        url + "/v1/chat/completions",
        headers=_headers(exch),
        body=make_upstream_body(document, exch),
        head_timeout=WHOLE_ANSWER_TIMEOUT,
    ) as resp:
        _check_head(resp, "application/json")
        with node.watchdog.watch(exch, resp, WHOLE_ANSWER_TIMEOUT):
            raw = await resp.read()
    _observe_whole(exch, raw)
    node.observe_first_token(exch, time.monotonic() - sent_at)
    exch.observe_progress(time.monotonic())
    exch.states.observe("finish")
    return raw


def _observe_whole(exch: Exchange, raw: bytes) -> None:
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
    """Price the work that a request has caused so far.

    Parameters
    ----------
    exch : Exchange
        The request.

    Returns
    -------
    float
        Output-token equivalents.
    """
    uncached = max(0, exch.prompt_tokens - exch.cached_tokens)
    return compute_work(uncached, exch.cached_tokens, exch.n_tokens)
