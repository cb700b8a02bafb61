"""A model engine's stand-in: OpenAI's chat interface over a service-time model."""

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
LOAD_LAG = 1.0  # seconds
JSON_TYPE = "application/json"


def make_answer(prompt: str, n_tokens: int) -> list[str]:
    """Compute the tokens that every engine generates for a prompt.

    Parameters
    ----------
    prompt : str
        The last message's content.
    n_tokens : int
        Length of the answer.

    Returns
    -------
    list of str
        Tokens; the same for the same prompt, so that answers can be compared.
    """
    seed = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return [f"{seed}.{index} " for index in range(n_tokens)]


@dataclass(frozen=True)
class ServiceTimes:
    """How long an engine takes.

    Attributes
    ----------
    first_token, token_interval : float
        Seconds when idle.
    interval_slope : float
        Seconds added between tokens for each request in the batch.
    prefill : float
        Seconds for each prompt token that is not cached.
    max_concurrency : int
        Requests in the batch; more wait by priority.
    """

    first_token: float = 0.02
    token_interval: float = 0.005
    interval_slope: float = 0.0002
    prefill: float = 0.0001
    max_concurrency: int = 16


@dataclass
class Engine:
    """State of one engine's stand-in.

    Attributes
    ----------
    times : ServiceTimes
        The service-time model.
    fault : str
        ``""``, ``"garbage"``, ``"truncate"``, ``"wrong_id"``, ``"stall"``,
        ``"refuse"`` or ``"crash"``.
    slow : float
        Factor on all times.
    n_running, n_cancelled, n_finished : int
        Counts of requests.
    credentials : list of str
        Credentials that reached the engine; there should be none.
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
    prefixes: LRUCache = field(default_factory=lambda: LRUCache(256))
    report: tuple[float, int] = (0.0, 0)
    crashed: asyncio.Event = field(default_factory=asyncio.Event)
    n_arrived: int = 0

    async def enter(self, priority: int) -> None:
        """Wait for a place in the batch, by priority."""
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
                self.leave()
            else:
                self.waiting.remove(item)
            raise

    def leave(self) -> None:
        """Give the place to the next request."""
        if self.waiting:
            item = min(self.waiting, key=lambda it: it[:2])
            self.waiting.remove(item)
            item[2].set_result(None)
            return
        self.n_running -= 1

    def count_reported(self) -> int:
        """Return the load as reported, which lags."""
        now = time.monotonic()
        if now - self.report[0] >= LOAD_LAG:
            self.report = (now, self.n_running + len(self.waiting))
        return self.report[1]

    def interval(self) -> float:
        """Return seconds between tokens at the present batch."""
        step = self.times.token_interval + self.times.interval_slope * self.n_running
        return step * self.slow

    def prefill(self, prompt: str) -> float:
        """Return seconds to the first token and remember the prefix."""
        key = prompt[:64]
        cost = 0.0 if key in self.prefixes else len(prompt) / 4 * self.times.prefill
        self.prefixes[key] = True
        return (self.times.first_token + cost) * self.slow


@dataclass(frozen=True)
class _Call:
    request_id: str
    prompt: str
    tokens: list[str]
    offset: int
    priority: int
    prompt_tokens: int
    with_usage: bool


def _parse(body: dict[str, Any], request_id: str) -> _Call:
    prompt = str(body["messages"][-1].get("content", ""))
    n_tokens = body.get("max_tokens") or DEFAULT_MAX_TOKENS
    options = body.get("stream_options") or {}
    return _Call(
        request_id=request_id,
        prompt=prompt,
        tokens=make_answer(prompt, n_tokens),
        offset=int(body.get("resume_offset", 0)),
        priority=int(body.get("priority", 0)),
        prompt_tokens=max(1, len(prompt) // 4),
        with_usage=bool(options.get("include_usage")),
    )


def _usage(call: _Call) -> dict[str, int]:
    n_output = len(call.tokens)
    return {
        "prompt_tokens": call.prompt_tokens,
        "completion_tokens": n_output,
        "total_tokens": call.prompt_tokens + n_output,
    }


def _event(call: _Call, choices: list[dict[str, Any]], **extra: Any) -> bytes:
    body = {
        "id": f"chatcmpl-{call.request_id}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "standin",
        "choices": choices,
        **extra,
    }
    return b"data: " + orjson.dumps(body) + b"\n\n"


def _delta(call: _Call, delta: dict[str, str], finish: str | None = None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    return _event(call, [choice])


async def _sleep(engine: Engine, seconds: float) -> None:
    """Sleep, unless the engine crashes."""
    if engine.fault == "stall":
        seconds = 3600.0
    if engine.crashed.is_set():
        raise ConnectionAbortedError("engine crashed")
    await asyncio.sleep(seconds)
    if engine.crashed.is_set():
        raise ConnectionAbortedError("engine crashed")


async def _stream(engine: Engine, call: _Call) -> AsyncIterator[bytes]:
    done = False
    await engine.enter(call.priority)
    try:
        await _sleep(engine, engine.prefill(call.prompt))
        if not call.offset:
            yield _delta(call, {"role": "assistant"})
        for token in call.tokens[call.offset :]:
            yield _delta(call, {"content": token})
            if engine.fault == "truncate":
                return
            await _sleep(engine, engine.interval())
        yield _delta(call, {}, "stop")
        if call.with_usage:
            yield _event(call, [], usage=_usage(call))
        yield b"data: [DONE]\n\n"
        done = True
    finally:
        engine.leave()
        engine.n_finished += done
        engine.n_cancelled += not done


async def _fail() -> AsyncIterator[bytes]:
    yield b" "
    raise ConnectionAbortedError("engine crashed")


async def _whole(engine: Engine, call: _Call) -> Response:
    done = False
    await engine.enter(call.priority)
    try:
        await _sleep(engine, engine.prefill(call.prompt))
        for _ in call.tokens:
            await _sleep(engine, engine.interval())
        done = True
    finally:
        engine.leave()
        engine.n_finished += done
        engine.n_cancelled += not done
    message = {"role": "assistant", "content": "".join(call.tokens)}
    return JSONResponse(
        {
            "id": f"chatcmpl-{call.request_id}",
            "object": "chat.completion",
            "created": 0,
            "model": "standin",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": _usage(call),
        }
    )


async def _watch_disconnect(req: Request, task: asyncio.Task) -> None:
    while (await req.receive())["type"] != "http.disconnect":
        pass
    task.cancel()


async def _run_whole(engine: Engine, call: _Call, req: Request) -> Response:
    task = asyncio.create_task(_whole(engine, call))
    watcher = asyncio.create_task(_watch_disconnect(req, task))
    try:
        return await task
    except asyncio.CancelledError:
        return Response(status_code=499)
    finally:
        watcher.cancel()


def make_engine_app(engine: Engine) -> Starlette:
    """Make the stand-in's HTTP application.

    Parameters
    ----------
    engine : Engine
        Its state.

    Returns
    -------
    Starlette
        The application.
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
        call = _parse(body, request_id)
        if engine.fault == "poison" and "poison" in call.prompt:
            engine.crashed.set()
        if engine.crashed.is_set():
            # Once a response has begun, the server closes the connection.
            media_type = "text/event-stream" if body.get("stream") else None
            lines = _fail()
            return StreamingResponse(lines, media_type=media_type or JSON_TYPE)
        if body.get("stream"):
            lines = _stream(engine, call)
            return StreamingResponse(lines, media_type="text/event-stream")
        return await _run_whole(engine, call, req)

    async def load(_: Request) -> Response:
        if engine.crashed.is_set():
            raise ConnectionAbortedError("engine crashed")
        return JSONResponse({"server_load": engine.count_reported()})

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
