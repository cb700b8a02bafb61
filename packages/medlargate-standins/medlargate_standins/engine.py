"""Simulated model engine: OpenAI's chat API with modelled service times."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import orjson
from cachetools import LRUCache
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

DEFAULT_MAX_TOKENS = 40
LOAD_REPORT_INTERVAL = 1.0  # seconds for which a reported load is reused
JSON_TYPE = "application/json"


def generate_tokens(prompt: str, n_tokens: int) -> list[str]:
    """Return the tokens that every engine generates for a prompt.

    Parameters
    ----------
    prompt : str
        Content of the last message.
    n_tokens : int
        Number of tokens.

    Returns
    -------
    list of str
        Tokens that depend on the prompt alone, so that tests can check responses of
        any engine.
    """
    seed = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return [f"{seed}.{index} " for index in range(n_tokens)]


@dataclass(frozen=True)
class ServiceTimes:
    """Parameters of an engine's service-time model.

    Attributes
    ----------
    first_token : float
        Seconds to the first token for a prompt with a cached prefix.
    token_interval : float
        Seconds between tokens for an empty batch.
    interval_per_request : float
        Seconds added to the time between tokens for each request in the batch.
    prefill_per_token : float
        Seconds added to the time to the first token for each prompt token without a
        cached prefix. Four characters count as one token.
    max_concurrency : int
        Maximum number of requests in the batch; further requests wait by priority.
    """

    first_token: float = 0.02
    token_interval: float = 0.005
    interval_per_request: float = 0.0002
    prefill_per_token: float = 0.0001
    max_concurrency: int = 16


@dataclass
class Engine:
    """Simulated model engine.

    Attributes
    ----------
    times : ServiceTimes
        Parameters of the service-time model.
    fault : str
        Injected fault; empty for none. ``"garbage"`` sends bytes that are not JSON,
        ``"truncate"`` ends a stream after its first content token, ``"wrong_id"``
        sends another request's id, ``"stall"`` delays each token by an hour,
        ``"refuse"`` sends 503, ``"crash"`` fails all requests and ``"poison"``
        crashes at the first prompt that contains the word ``poison``.
    slow : float
        Factor by which all service times are multiplied.
    n_running, n_cancelled, n_finished : int
        Number of requests in the batch, of requests that ended early and of requests
        that were completed.
    started : dict of str to int
        Number of executions by request id.
    credentials : list of str
        ``Authorization`` headers received; the router should forward none.
    waiting : list of (int, int, asyncio.Future)
        Priority, arrival number and wake-up future of each request that waits for the
        batch.
    cached_prefixes : LRUCache
        Keys are the first 64 characters of recent prompts.
    load_report : (float, int)
        When the load was last reported, in seconds on the monotonic clock, and the
        reported load.
    crashed : asyncio.Event
        Set by a crash; cleared when no fault, or one other than ``"crash"``, is
        configured.
    n_arrived : int
        Number of requests that have entered the batch or its queue.
    """

    times: ServiceTimes = field(default_factory=ServiceTimes)
    fault: str = ""
    slow: float = 1.0
    n_running: int = 0
    n_cancelled: int = 0
    n_finished: int = 0
    started: dict[str, int] = field(default_factory=dict)
    credentials: list[str] = field(default_factory=list)
    waiting: list[tuple[int, int, asyncio.Future]] = field(default_factory=list)
    cached_prefixes: LRUCache = field(default_factory=lambda: LRUCache(256))
    load_report: tuple[float, int] = (0.0, 0)
    crashed: asyncio.Event = field(default_factory=asyncio.Event)
    n_arrived: int = 0

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a slot in the batch.

        Waiting requests are admitted by ascending priority value, then in order of
        arrival.
        """
        self.n_arrived += 1
        if self.n_running < self.times.max_concurrency and not self.waiting:
            self.n_running += 1
            return
        fut = asyncio.get_running_loop().create_future()
        item = (priority, self.n_arrived, fut)
        self.waiting.append(item)
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.release_slot()
            else:
                self.waiting.remove(item)
            raise

    def release_slot(self) -> None:
        """Pass a slot on to the next waiting request, or free it."""
        if self.waiting:
            item = min(self.waiting, key=lambda it: it[:2])
            self.waiting.remove(item)
            item[2].set_result(None)
            return
        self.n_running -= 1

    def get_reported_load(self) -> int:
        """Return running plus waiting requests, up to ``LOAD_REPORT_INTERVAL`` old."""
        now = time.monotonic()
        if now - self.load_report[0] >= LOAD_REPORT_INTERVAL:
            self.load_report = (now, self.n_running + len(self.waiting))
        return self.load_report[1]

    def compute_token_interval(self) -> float:
        """Return the seconds between tokens at the current batch size."""
        step = (
            self.times.token_interval + self.times.interval_per_request * self.n_running
        )
        return step * self.slow

    def compute_prefill_time(self, prompt: str) -> float:
        """Return the seconds to the first token; add the prefix to the cache."""
        key = prompt[:64]
        cost = (
            0.0
            if key in self.cached_prefixes
            else len(prompt) / 4 * self.times.prefill_per_token
        )
        self.cached_prefixes[key] = True
        return (self.times.first_token + cost) * self.slow


@dataclass(frozen=True)
class _ChatRequest:
    """Chat request with its complete response; ``offset`` tokens are skipped."""

    request_id: str
    prompt: str
    tokens: list[str]
    offset: int
    priority: int
    prompt_tokens: int
    with_usage: bool


def _parse_chat_request(body: dict[str, Any], request_id: str) -> _ChatRequest:
    prompt = str(body["messages"][-1].get("content", ""))
    n_tokens = body.get("max_tokens") or DEFAULT_MAX_TOKENS
    options = body.get("stream_options") or {}
    return _ChatRequest(
        request_id=request_id,
        prompt=prompt,
        tokens=generate_tokens(prompt, n_tokens),
        offset=int(body.get("resume_offset", 0)),
        priority=int(body.get("priority", 0)),
        prompt_tokens=max(1, len(prompt) // 4),
        with_usage=bool(options.get("include_usage")),
    )


def _make_usage(chat_request: _ChatRequest) -> dict[str, int]:
    n_output = len(chat_request.tokens)
    return {
        "prompt_tokens": chat_request.prompt_tokens,
        "completion_tokens": n_output,
        "total_tokens": chat_request.prompt_tokens + n_output,
    }


def _make_chunk_event(
    chat_request: _ChatRequest, choices: list[dict[str, Any]], **extra: Any
) -> bytes:
    body = {
        "id": f"chatcmpl-{chat_request.request_id}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "standin",
        "choices": choices,
        **extra,
    }
    return b"data: " + orjson.dumps(body) + b"\n\n"


def _make_delta_event(
    chat_request: _ChatRequest, delta: dict[str, str], finish_reason: str | None = None
) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    return _make_chunk_event(chat_request, [choice])


async def _sleep_unless_crashed(engine: Engine, seconds: float) -> None:
    """Sleep, or raise ``ConnectionAbortedError`` if the engine has crashed.

    Under the fault ``"stall"`` the sleep lasts an hour.
    """
    if engine.fault == "stall":
        seconds = 3600.0
    if engine.crashed.is_set():
        raise ConnectionAbortedError("engine crashed")
    await asyncio.sleep(seconds)
    if engine.crashed.is_set():
        raise ConnectionAbortedError("engine crashed")


async def _stream_events(
    engine: Engine, chat_request: _ChatRequest
) -> AsyncIterator[bytes]:
    completed = False
    await engine.acquire_slot(chat_request.priority)
    try:
        await _sleep_unless_crashed(
            engine, engine.compute_prefill_time(chat_request.prompt)
        )
        if not chat_request.offset:
            yield _make_delta_event(chat_request, {"role": "assistant"})
        for token in chat_request.tokens[chat_request.offset :]:
            yield _make_delta_event(chat_request, {"content": token})
            if engine.fault == "truncate":
                return
            await _sleep_unless_crashed(engine, engine.compute_token_interval())
        yield _make_delta_event(chat_request, {}, "stop")
        if chat_request.with_usage:
            yield _make_chunk_event(chat_request, [], usage=_make_usage(chat_request))
        yield b"data: [DONE]\n\n"
        completed = True
    finally:
        engine.release_slot()
        engine.n_finished += completed
        engine.n_cancelled += not completed


async def _abort_response() -> AsyncIterator[bytes]:
    yield b" "
    raise ConnectionAbortedError("engine crashed")


async def _generate_response(engine: Engine, chat_request: _ChatRequest) -> Response:
    completed = False
    await engine.acquire_slot(chat_request.priority)
    try:
        await _sleep_unless_crashed(
            engine, engine.compute_prefill_time(chat_request.prompt)
        )
        for _ in chat_request.tokens:
            await _sleep_unless_crashed(engine, engine.compute_token_interval())
        completed = True
    finally:
        engine.release_slot()
        engine.n_finished += completed
        engine.n_cancelled += not completed
    message = {"role": "assistant", "content": "".join(chat_request.tokens)}
    return JSONResponse(
        {
            "id": f"chatcmpl-{chat_request.request_id}",
            "object": "chat.completion",
            "created": 0,
            "model": "standin",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": _make_usage(chat_request),
        }
    )


async def _watch_disconnect(req: Request, task: asyncio.Task) -> None:
    while (await req.receive())["type"] != "http.disconnect":
        pass
    task.cancel()


async def _generate_until_disconnect(
    engine: Engine, chat_request: _ChatRequest, req: Request
) -> Response:
    task = asyncio.create_task(_generate_response(engine, chat_request))
    watcher = asyncio.create_task(_watch_disconnect(req, task))
    try:
        return await task
    except asyncio.CancelledError:
        return Response(status_code=499)
    finally:
        watcher.cancel()


def make_engine_app(engine: Engine) -> Starlette:
    """Create the HTTP application of a simulated engine.

    Parameters
    ----------
    engine : Engine
        State that the application serves and changes.

    Returns
    -------
    Starlette
        ASGI application.
    """

    async def chat(req: Request) -> Response:
        if "authorization" in req.headers:
            engine.credentials.append(req.headers["authorization"])
        request_id = req.headers.get("x-request-id") or str(random.getrandbits(48))
        body = await req.json()
        if engine.fault == "refuse":
            return JSONResponse({"error": {"message": "busy"}}, 503)
        if engine.fault == "garbage":
            return Response(b"\x00\xffnot an answer", 200)
        engine.started[request_id] = engine.started.get(request_id, 0) + 1
        if engine.fault == "wrong_id":
            request_id = "other"
        chat_request = _parse_chat_request(body, request_id)
        if engine.fault == "poison" and "poison" in chat_request.prompt:
            engine.crashed.set()
        if engine.crashed.is_set():
            # An error in the body of a streaming response makes the HTTP server
            # close the connection, as a crashed engine would.
            media_type = "text/event-stream" if body.get("stream") else None
            content = _abort_response()
            return StreamingResponse(content, media_type=media_type or JSON_TYPE)
        if body.get("stream"):
            content = _stream_events(engine, chat_request)
            return StreamingResponse(content, media_type="text/event-stream")
        return await _generate_until_disconnect(engine, chat_request, req)

    async def load(_: Request) -> Response:
        if engine.crashed.is_set():
            raise ConnectionAbortedError("engine crashed")
        return JSONResponse({"server_load": engine.get_reported_load()})

    async def fault(req: Request) -> Response:
        body = await req.json()
        engine.fault = body.get("fault", "")
        engine.slow = float(body.get("slow", 1.0))
        if engine.fault == "crash":
            engine.crashed.set()
        else:
            engine.crashed.clear()
        return JSONResponse({})

    async def stats(_: Request) -> Response:
        return JSONResponse(
            {
                "running": engine.n_running,
                "finished": engine.n_finished,
                "cancelled": engine.n_cancelled,
                "started": engine.started,
                "credentials": engine.credentials,
            }
        )

    return Starlette(
        routes=[
            Route("/v1/chat/completions", chat, methods=["POST"]),
            Route("/load", load),
            Route("/standin/fault", fault, methods=["POST"]),
            Route("/standin/stats", stats),
        ]
    )
