"""Simulated network and store with fault injection, on virtual time.

Tests run real fleet code on top of the simulation.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from ._memory_store import MemoryStore, MemoryStoreClient
from .fuzzing import VirtualLoop

LINK_DELAY = 0.01  # virtual seconds for each message and each half of a store call


class SimulatedNetwork:
    """Simulates the network between nodes, and between nodes and the store.

    Attributes
    ----------
    loop : VirtualLoop
        Event loop that runs all tasks of the simulation.
    store : MemoryStore
        Content of the key-value store.
    store_down : bool
        Whether all calls of the store fail.
    cut_from_store : set of str
        Nodes whose calls do not reach the store.
    losing_responses : set of str
        Nodes whose calls the store executes, but whose responses are lost.
    paused : set of str
        Nodes whose processes are paused.
    partitions : set of frozenset of str
        Pairs of nodes between which messages are lost in both directions.
    one_way_partitions : set of (str, str)
        Pairs of sender and receiver whose messages are lost in this direction only.
    """

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.store = MemoryStore(self.loop.time)
        self.store_down = False
        self.cut_from_store: set[str] = set()
        self.losing_responses: set[str] = set()
        self.paused: set[str] = set()
        self.partitions: set[frozenset[str]] = set()
        self.one_way_partitions: set[tuple[str, str]] = set()
        self._resume_events: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self._tasks: dict[str, set[asyncio.Task]] = defaultdict(set)

    def run(self, seconds: float) -> None:
        """Run the simulation for some virtual seconds."""
        self.loop.run_for(seconds)

    def close(self) -> None:
        """Cancel all tasks and close the event loop."""
        self.loop.shut_down()

    # Nodes

    def start(self, node: str, coroutine: Any) -> asyncio.Task:
        """Run a coroutine as a task that ``kill`` cancels with its node."""
        task = self.loop.create_task(coroutine)
        self._tasks[node].add(task)
        task.add_done_callback(self._tasks[node].discard)
        return task

    def kill(self, node: str) -> None:
        """Cancel all tasks of a node."""
        self.resume(node)
        for task in list(self._tasks.pop(node, ())):
            task.cancel()

    def pause(self, node: str) -> None:
        """Pause a node.

        The node's sleeps and store calls, and the messages sent to it, are held back
        until ``resume``.
        """
        self.paused.add(node)

    def resume(self, node: str) -> None:
        """Resume a paused node."""
        self.paused.discard(node)
        self._resume_events.pop(node, asyncio.Event()).set()

    async def wait_running(self, node: str) -> None:
        """Wait while a node is paused."""
        while node in self.paused:
            await self._resume_events[node].wait()

    def make_sleep(self, node: str) -> Callable:
        """Return a sleep function for a node, which does not return during a pause."""

        async def sleep(seconds: float) -> None:
            await asyncio.sleep(seconds)
            await self.wait_running(node)

        return sleep

    # Links

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether messages from one node to another are lost."""
        if (source, target) in self.one_way_partitions:
            return True
        return frozenset((source, target)) in self.partitions

    def deliver(self, source: str, target: str, action: Callable[[], None]) -> None:
        """Call ``action`` after the link delay to deliver a message.

        The message is lost if the link is cut when the message is sent or arrives.
        """
        if self.is_cut(source, target):
            return
        self.loop.call_later(
            LINK_DELAY, lambda: self._deliver_now(source, target, action)
        )

    def _deliver_now(
        self, source: str, target: str, action: Callable[[], None]
    ) -> None:
        if self.is_cut(source, target):
            return
        if target in self.paused:
            self.start(target, self._deliver_when_running(target, action))
            return
        action()

    async def _deliver_when_running(
        self, target: str, action: Callable[[], None]
    ) -> None:
        await self.wait_running(target)
        action()

    # Store

    def make_client(self, node: str) -> MemoryStoreClient:
        """Create a node's client of the key-value store, with fault injection."""

        async def inject_faults(name: str, phase: str) -> None:
            await self.wait_running(node)
            await asyncio.sleep(LINK_DELAY)
            if phase == "before":
                if self.store_down or node in self.cut_from_store:
                    raise ConnectionError("the store is unreachable")
            elif node in self.losing_responses or self.store_down:
                raise ConnectionError("the store's response was lost")
            await self.wait_running(node)

        return MemoryStoreClient(self.store, inject_faults)
