"""Faults in series that overlap: signals, links, the store, servers, changes."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from ..relay_world import KEY
from ._fleet import SECOND_KEY, Fleet, NodeProcess
from ._link import MODES

MIN_GAP, MAX_GAP = 0.1, 1.2  # seconds between two faults
MIN_TIME, MAX_TIME = 0.3, 4.0  # seconds that one lasts

Fault = Callable[[], Awaitable[None]]


class FaultSeries:
    """Injects faults until a time, each for a while, several at once.

    Parameters
    ----------
    fleet : Fleet
        Where.
    random_state : random.Random
        Chooses what, where, when and for how long.

    Attributes
    ----------
    injected : list of str
        What was done, for the report.
    """

    def __init__(self, fleet: Fleet, random_state: random.Random) -> None:
        self._fleet = fleet
        self._random = random_state
        self._started_at = time.monotonic()
        self.injected: list[str] = []
        self._busy: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then wait until the last one has ended."""
        end = time.monotonic() + seconds
        kinds: list[Fault] = [
            self._kill,
            self._terminate,
            self._pause,
            self._harm_link,
            self._harm_link,
            self._take_store_down,
            self._lose_answers,
            self._break_servers,
            self._drain_server,
            self._change_config,
            self._reload,
        ]
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            fault = self._random.choice(kinds)
            tasks.add(asyncio.create_task(self._guard(fault)))
            await asyncio.sleep(self._random.uniform(MIN_GAP, MAX_GAP))
        await asyncio.gather(*tasks)

    async def _guard(self, fault: Fault) -> None:
        await fault()

    def _note(self, what: str) -> None:
        at = time.monotonic() - self._started_at
        self.injected.append(f"{at:6.2f} {what}")

    def _draw_time(self) -> float:
        return self._random.uniform(MIN_TIME, MAX_TIME)

    def _pick_node(self) -> NodeProcess | None:
        """Choose a node that no other fault of a process has at the moment."""
        free = [it for it in self._fleet.nodes if it.name not in self._busy]
        # One stays up, so that callers find someone.
        if len(free) < 2:
            return None
        node = self._random.choice(free)
        self._busy.add(node.name)
        return node

    async def _kill(self) -> None:
        node = self._pick_node()
        if node is not None:
            await self._restart(node, signal.SIGKILL)

    async def _terminate(self) -> None:
        node = self._pick_node()
        if node is not None:
            await self._restart(node, signal.SIGTERM)

    async def _restart(self, node: NodeProcess, number: signal.Signals) -> None:
        self._note(f"{number.name} {node.name}")
        node.send(number)
        await node.wait_end(10.0)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        node.start()
        await self._fleet.wait_ready(node)
        self._busy.discard(node.name)

    async def _pause(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        seconds = self._draw_time()
        self._note(f"SIGSTOP {node.name} for {seconds:.1f} s")
        node.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.send(signal.SIGCONT)
        self._busy.discard(node.name)

    async def _reload(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        if node.name not in self._busy and await self._fleet.is_ready(node):
            self._note(f"SIGHUP {node.name}")
            node.send(signal.SIGHUP)

    async def _harm_link(self) -> None:
        link = self._fleet.pick_link(self._random.choice)
        if link.mode != "ok":
            return
        mode, seconds = self._random.choice(MODES), self._draw_time()
        self._note(f"link {link.port} {mode} for {seconds:.1f} s")
        link.set_mode(mode)
        await asyncio.sleep(seconds)
        link.set_mode("ok")

    async def _take_store_down(self) -> None:
        seconds = self._draw_time()
        self._note(f"store down for {seconds:.1f} s")
        self._fleet.platform.down_until = time.monotonic() + seconds
        await asyncio.sleep(seconds)

    async def _lose_answers(self) -> None:
        seconds = self._draw_time()
        self._note(f"store loses answers for {seconds:.1f} s")
        self._fleet.platform.lose_answers_until = time.monotonic() + seconds
        await asyncio.sleep(seconds)

    async def _break_servers(self) -> None:
        seconds = self._draw_time()
        self._note(f"servers misbehave for {seconds:.1f} s")
        self._fleet.bad_share = self._random.uniform(0.1, 0.6)
        await asyncio.sleep(seconds)
        self._fleet.bad_share = 0.0

    async def _drain_server(self) -> None:
        name = self._random.choice(sorted(self._fleet.backends))
        if name in self._busy:
            return
        self._busy.add(name)
        self._note(f"{name} drains and leaves")
        self._fleet.register(name, state="draining")
        await asyncio.sleep(1.0)
        self._fleet.unregister(name)
        await asyncio.sleep(self._draw_time())
        self._fleet.register(name)
        self._busy.discard(name)

    async def _change_config(self) -> None:
        keys = self._random.choice([(KEY,), (KEY, SECOND_KEY)])
        self._note(f"configuration with {len(keys)} keys")
        self._fleet.keys = keys
        self._fleet.put_config()
