"""Simulated servers that fail if nodes exceed their memory or let them reject too much.

A failed server closes all connections, stops listening and comes back after some
seconds under a new id and registration.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter, deque
from dataclasses import dataclass, field

from ._backend_messages import parse_token_usage
from .backend import Backend, ReceivedRequest
from .relay_testbed import RelayTestbed, make_config, make_route

RESTART_TIME = 2.0  # seconds
TOKENS_PER_EVENT = 20


@dataclass(eq=False)
class LimitedBackend(Backend):
    """Server with a limited memory or a limited number of slots.

    Attributes
    ----------
    memory : int
        Tokens that running requests may hold; 0 for any number.
    shares_parts : bool
        Whether a prompt part that several running requests have is held once.
    true_slots : int
        Requests that run concurrently; others are rejected. 0 for any number.
    max_rejections : int
        Rejections in a second that the server bears.
    """

    memory: int = 0
    shares_parts: bool = False
    true_slots: int = 0
    max_rejections: int = 3
    has_failed: bool = False
    _held: dict[int, tuple[ReceivedRequest, int]] = field(default_factory=dict)
    _rejected_at: deque[float] = field(default_factory=lambda: deque(maxlen=50))
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def count_tokens(self) -> int:
        """Return the tokens of the running requests."""
        total = sum(tokens for _, tokens in self._held.values())
        if self.shares_parts:
            parts = Counter(_shared_part(req) for req, _ in self._held.values())
            total -= sum(tokens * (n - 1) for (_, tokens), n in parts.items())
        return total

    async def _respond(self, req, reader, writer) -> bool:
        if req.headers.get("expect-instance") != self.server_id:
            return await super()._respond(req, reader, writer)
        self._writers.add(writer)
        if self.true_slots and len(self._held) >= self.true_slots:
            return await self._reject(req, reader, writer)
        if self.has_failed:
            return False
        n_prompt, n_output = parse_token_usage(req)
        tokens = int(req.headers.get("x-output") or n_output)
        self._held[id(req)] = req, n_prompt + tokens
        if self.memory and self.count_tokens() > self.memory:
            self.fail()
            return False
        self.n_events = tokens // TOKENS_PER_EVENT or self.n_events
        try:
            return await super()._respond(req, reader, writer)
        finally:
            self._held.pop(id(req), None)

    async def _reject(self, req, reader, writer) -> bool:
        now = time.monotonic()
        self._rejected_at.append(now)
        if sum(now - at < 1.0 for at in self._rejected_at) > self.max_rejections:
            self.fail()
            return False
        behaviour, self.behaviour = self.behaviour, lambda _: "refuse"
        try:
            return await super()._respond(req, reader, writer)
        finally:
            self.behaviour = behaviour

    def fail(self) -> None:
        """Close all connections and refuse new ones."""
        self.has_failed = True
        self.stop_listening()
        for writer in self._writers:
            writer.transport.abort()


def _shared_part(req: ReceivedRequest) -> tuple[str, int]:
    name, _, tokens = (
        req.headers.get("prompt-prefix", "").partition(",")[0].partition(":")
    )
    return name, int(tokens or 0)


@dataclass
class LoadResult:
    """Result of a run.

    Attributes
    ----------
    n_failures : int
        Failures of servers.
    n_offered : int
        Requests sent.
    statuses : Counter
        Final answers by status.
    rate : float
        Complete answers per second of the offered load.
    large_served : float
        Share of the large requests that were served.
    replies : list
        All replies.
    """

    n_failures: int
    n_offered: int
    statuses: Counter
    rate: float
    large_served: float
    replies: list


class LimitedTestbed(RelayTestbed):
    """Nodes before servers that fail and come back."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._tasks: list[asyncio.Task] = []

    async def start_servers(self, make_backend, n_servers: int = 9) -> None:
        """Replace the default servers; ``make_backend`` gets a name."""
        for name in list(self.backends):
            await self.remove_backend(name)
        self.make_backend = make_backend
        self.names = (f"s{number}" for number in itertools.count())
        for _ in range(n_servers):
            await self.add_backend(make_backend(next(self.names)))
        self.n_failures = 0
        async with asyncio.timeout(10):
            while any(
                len(it.fleet.table.list_alive()) < len(self.nodes) - 1
                or not it.cluster_state.servers.keys() >= self.backends.keys()
                for it in self.nodes
            ):
                await asyncio.sleep(0.02)

    async def run_load(self, make_call, *, rate: float, duration: float) -> LoadResult:
        """Offer requests at a steady rate; ``make_call`` gets their number."""
        restarts = asyncio.create_task(self._restart_failed())
        started_at = time.monotonic()
        calls = []
        for number in range(int(rate * duration)):
            await asyncio.sleep(started_at + number / rate - time.monotonic())
            calls.append(asyncio.create_task(make_call(number)))
        replies = await asyncio.gather(*calls)
        restarts.cancel()
        self.n_failures += sum(it.has_failed for it in self.backends.values())
        statuses = Counter(it.status if it.complete else 0 for it in replies)
        large = [it for number, it in enumerate(replies) if number % 5 == 4]
        return LoadResult(
            n_failures=self.n_failures,
            n_offered=len(calls),
            statuses=statuses,
            rate=statuses[200] / duration,
            large_served=sum(it.status == 200 for it in large) / max(1, len(large)),
            replies=replies,
        )

    async def _restart_failed(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for backend in list(self.backends.values()):
                if backend.has_failed:
                    del self.backends[backend.server_id]
                    self.n_failures += 1
                    self._tasks.append(asyncio.create_task(self._replace(backend)))

    async def _replace(self, backend: LimitedBackend) -> None:
        await asyncio.sleep(RESTART_TIME)
        self.unregister(backend)
        await backend.close()
        await self.add_backend(self.make_backend(next(self.names)))

    async def close(self) -> None:
        """Stop the restarts, the nodes, the servers and the platform."""
        for task in self._tasks:
            task.cancel()
        await super().close()


async def run_memory_load(
    *,
    duration: float,
    n_nodes: int = 6,
    domains=("fd-a",),
    memory: int = 4000,
    stated_memory: int | None = None,
    shares_parts: bool = False,
    rate: float = 45.0,
    pause: float = 0.12,
    shared_tokens: int = 200,
    headers=lambda number: {},
) -> LoadResult:
    """Offer requests of 700 + 80 tokens, every fifth 2,400 + 160, to nine engines."""
    world = LimitedTestbed(n_nodes=n_nodes, domains=domains)
    config = _make_config(stated_memory or memory)
    await world.start(**config)
    scale = memory / 4000

    def make_backend(name):
        return LimitedBackend(
            name,
            "engine",
            slots=64,
            memory=memory,
            shares_parts=shares_parts,
            pause=pause,
        )

    async def call(number):
        size, output = (2400, 160) if number % 5 == 4 else (700, 80)
        size = int(size * scale)
        prefix = f"common:{shared_tokens},own{number}:{size - shared_tokens}"
        return await world.call(
            "/resume-stream/x",
            node=number % n_nodes,
            body=b"%d" % number,
            Prompt_Prefix=prefix,
            Token_Usage=f"{size},{output}",
            Deadline_Ms="4000",
            X_Output=str(output),
            **headers(number),
        )

    try:
        await world.start_servers(make_backend)
        return await world.run_load(call, rate=rate, duration=duration)
    finally:
        await world.close()


def _make_config(memory: int) -> dict:
    config = make_config()
    config["Routes"] = [
        make_route("read", "idempotent", "plain", TimeoutMs=4000, MaxAttempts=3),
        make_route(
            "resume-stream", "streaming", "engine", Resumable=True, TimeoutMs=4000
        ),
    ]
    for service in config["Services"]:
        if service["Name"] == "engine":
            service["Backend"] = {
                "Slots": 64,
                "KvCapacity": memory,
                "Stride": TOKENS_PER_EVENT,
            }
    return {"Routes": config["Routes"], "Services": config["Services"]}


async def run_brittle_load(
    *,
    duration: float,
    n_nodes: int = 6,
    domains=("fd-a",),
    true_slots: int = 3,
    max_rejections: int = 3,
    rate: float = 58.0,
    delay: float = 0.4,
) -> LoadResult:
    """Offer calls to nine brittle servers that run fewer requests than registered."""
    world = LimitedTestbed(n_nodes=n_nodes, domains=domains)
    await world.start(**_make_config(4000))

    def make_backend(name):
        return LimitedBackend(
            name,
            "plain",
            slots=8,
            true_slots=true_slots,
            max_rejections=max_rejections,
            delay=delay,
            extra_headers={"Server-Brittle": str(max_rejections)},
        )

    async def call(number):
        return await world.call(
            "/read/x", node=number % n_nodes, Deadline_Ms="4000", body=b"%d" % number
        )

    try:
        await world.start_servers(make_backend)
        return await world.run_load(call, rate=rate, duration=duration)
    finally:
        await world.close()
