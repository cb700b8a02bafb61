"""Links, pauses and outages around real fleet code on virtual time."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from ._memory_store import MemoryStore, StoreClient
from .fuzzing import VirtualLoop

DELAY = 0.01  # seconds


class World:
    """What lies between nodes and the platform, and what can go wrong there.

    Attributes
    ----------
    loop : VirtualLoop
        Runs everything.
    store : MemoryStore
        The key-value service's state.
    store_down : bool
        It answers nobody.
    cut_from_store, losing, paused : set of str
        Nodes that can't reach the store, whose answers from it are lost, that are
        stopped.
    cuts : set of frozenset
        Pairs of names that can't hear each other.
    one_way : set of (str, str)
        From whom to whom messages are lost.
    """

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.store = MemoryStore(self.loop.time)
        self.store_down = False
        self.cut_from_store: set[str] = set()
        self.losing: set[str] = set()
        self.paused: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.one_way: set[tuple[str, str]] = set()
        self._resumed: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self._tasks: dict[str, set[asyncio.Task]] = defaultdict(set)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_for(seconds)

    def close(self) -> None:
        """End everything."""
        self.loop.shut_down()

    # Nodes

    def start(self, node: str, coroutine: Any) -> asyncio.Task:
        """Run a coroutine as a task of a node."""
        task = self.loop.create_task(coroutine)
        self._tasks[node].add(task)
        task.add_done_callback(self._tasks[node].discard)
        return task

    def kill(self, node: str) -> None:
        """End a node's tasks where they stand."""
        self.resume(node)
        for task in list(self._tasks.pop(node, ())):
            task.cancel()

    def pause(self, node: str) -> None:
        """Stop a node at its next await."""
        self.paused.add(node)

    def resume(self, node: str) -> None:
        """Continue a paused node."""
        self.paused.discard(node)
        self._resumed.pop(node, asyncio.Event()).set()

    async def wait_running(self, node: str) -> None:
        """Wait until a node is not paused."""
        while node in self.paused:
            await self._resumed[node].wait()

    def make_sleep(self, node: str) -> Callable:
        """Make a node's sleep, which lasts longer while it is paused."""

        async def sleep(seconds: float) -> None:
            await asyncio.sleep(seconds)
            await self.wait_running(node)

        return sleep

    # Links

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether messages from one name to another are lost."""
        if (source, target) in self.one_way:
            return True
        return frozenset((source, target)) in self.cuts

    def deliver(self, source: str, target: str, action: Callable[[], None]) -> None:
        """Carry a message, unless the link is cut when it is sent."""
        if self.is_cut(source, target):
            return
        self.loop.call_later(DELAY, lambda: self._arrive(source, target, action))

    def _arrive(self, source: str, target: str, action: Callable[[], None]) -> None:
        if self.is_cut(source, target):
            return
        if target in self.paused:
            self.start(target, self._arrive_later(target, action))
            return
        action()

    async def _arrive_later(self, target: str, action: Callable[[], None]) -> None:
        await self.wait_running(target)
        action()

    # Store

    def make_client(self, node: str) -> StoreClient:
        """Make a node's client of the key-value service."""

        async def gate(name: str, phase: str) -> None:
            await self.wait_running(node)
            await asyncio.sleep(DELAY)
            if phase == "before":
                if self.store_down or node in self.cut_from_store:
                    raise ConnectionError("no way to the store")
            elif node in self.losing or self.store_down:
                raise ConnectionError("the answer is lost")
            await self.wait_running(node)

        return StoreClient(self.store, gate)
