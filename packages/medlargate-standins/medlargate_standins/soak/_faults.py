"""Overlapping faults: signals, links, the store, servers, configuration changes."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from ..relay_testbed import KEY
from ._fleet import SECOND_KEY, Fleet, NodeProcess
from ._fleet_checks import Disturbance
from ._link import MODES

MIN_INTERVAL, MAX_INTERVAL = 0.1, 1.2  # seconds between the starts of two faults
MIN_DURATION, MAX_DURATION = 0.3, 4.0  # seconds that a fault lasts

Fault = Callable[[], Awaitable[None]]


class FaultInjector:
    """Injector of random, overlapping faults into a fleet.

    Overlapping faults of the store of one kind share one end, which the latest fault
    sets: a later, shorter fault also shortens an earlier one. Overlapping periods in
    which servers misbehave all end with the first of them, which sets the rate to 0.

    Parameters
    ----------
    fleet : Fleet
        Fleet under test.
    random_state : random.Random
        Source of the kind, target, start and duration of each fault.

    Attributes
    ----------
    injected : list of str
        Description of each fault with its start time in seconds.
    disturbances : list of Disturbance
        Faults of nodes, of the store and of the paths to it.
    """

    def __init__(self, fleet: Fleet, random_state: random.Random) -> None:
        self._fleet = fleet
        self._random = random_state
        self._started_at = time.monotonic()
        self.injected: list[str] = []
        self.disturbances: list[Disturbance] = []
        self._reserved: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, then wait for the end of the last one."""
        end = time.monotonic() + seconds
        kinds: list[Fault] = [
            self._kill,
            self._terminate,
            self._pause,
            self._degrade_link,
            self._degrade_link,
            self._take_store_down,
            self._lose_answers,
            self._make_servers_misbehave,
            self._drain_server,
            self._change_config,
            self._reload,
            self._kill_all,
            self._crash_engines,
            self._crash_engines,
            self._limit_server,
            self._limit_server,
        ]
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            fault = self._random.choice(kinds)
            tasks.add(asyncio.create_task(self._run_fault(fault)))
            await asyncio.sleep(self._random.uniform(MIN_INTERVAL, MAX_INTERVAL))
        await asyncio.gather(*tasks)

    async def _run_fault(self, fault: Fault) -> None:
        await fault()

    def _record(self, description: str) -> None:
        at = time.monotonic() - self._started_at
        self.injected.append(f"{at:6.2f} {description}")

    @contextmanager
    def _disturb(self, node: str, *, is_of_store: bool = False) -> Iterator[None]:
        started_at = time.monotonic()
        try:
            yield
        finally:
            self.disturbances.append(
                Disturbance(node, started_at, time.monotonic(), is_of_store)
            )

    def _draw_duration(self) -> float:
        return self._random.uniform(MIN_DURATION, MAX_DURATION)

    def _reserve_node(self) -> NodeProcess | None:
        """Reserve a random node whose process has no other fault, if possible.

        One node always stays free, so that callers find a running node.
        """
        free = [it for it in self._fleet.nodes if it.name not in self._reserved]
        if len(free) < 2:
            return None
        node = self._random.choice(free)
        self._reserved.add(node.name)
        return node

    async def _kill(self) -> None:
        node = self._reserve_node()
        if node is not None:
            await self._restart(node, signal.SIGKILL)

    async def _terminate(self) -> None:
        node = self._reserve_node()
        if node is not None:
            await self._restart(node, signal.SIGTERM)

    async def _restart(self, node: NodeProcess, sig: signal.Signals) -> None:
        self._record(f"{sig.name} {node.name}")
        with self._disturb(node.name):
            node.send_signal(sig)
            await node.wait_exit(10.0)
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            node.start()
            await self._fleet.wait_ready(node)
        self._reserved.discard(node.name)

    async def _pause(self) -> None:
        node = self._reserve_node()
        if node is None:
            return
        seconds = self._draw_duration()
        self._record(f"SIGSTOP {node.name} for {seconds:.1f} s")
        with self._disturb(node.name):
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            node.send_signal(signal.SIGCONT)
        self._reserved.discard(node.name)

    async def _reload(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        if node.name not in self._reserved and await self._fleet.is_ready(node):
            self._record(f"SIGHUP {node.name}")
            node.send_signal(signal.SIGHUP)

    async def _degrade_link(self) -> None:
        link = self._fleet.choose_link(self._random.choice)
        if link.mode != "ok":
            return
        mode, seconds = self._random.choice(MODES), self._draw_duration()
        self._record(f"link {link.port} {mode} for {seconds:.1f} s")
        link.set_mode(mode)
        await asyncio.sleep(seconds)
        link.set_mode("ok")
        now = time.monotonic()
        for node in self._fleet.nodes:
            if node.store_link is link:
                self.disturbances.append(
                    Disturbance(node.name, now - seconds, now, True)
                )

    async def _take_store_down(self) -> None:
        seconds = self._draw_duration()
        self._record(f"store down for {seconds:.1f} s")
        self._fleet.platform.down_until = time.monotonic() + seconds
        with self._disturb("", is_of_store=True):
            await asyncio.sleep(seconds)

    async def _lose_answers(self) -> None:
        seconds = self._draw_duration()
        self._record(f"store loses answers for {seconds:.1f} s")
        self._fleet.platform.lose_answers_until = time.monotonic() + seconds
        with self._disturb("", is_of_store=True):
            await asyncio.sleep(seconds)

    async def _make_servers_misbehave(self) -> None:
        seconds = self._draw_duration()
        self._record(f"servers misbehave for {seconds:.1f} s")
        self._fleet.misbehaviour_rate = self._random.uniform(0.1, 0.6)
        await asyncio.sleep(seconds)
        self._fleet.misbehaviour_rate = 0.0

    async def _drain_server(self) -> None:
        name = self._random.choice(sorted(self._fleet.backends))
        if name in self._reserved:
            return
        self._reserved.add(name)
        self._record(f"{name} drains and leaves")
        self._fleet.register(name, state="draining")
        await asyncio.sleep(1.0)
        self._fleet.unregister(name)
        await asyncio.sleep(self._draw_duration())
        self._fleet.register(name)
        self._reserved.discard(name)

    async def _change_config(self) -> None:
        keys = self._random.choice([(KEY,), (KEY, SECOND_KEY)])
        self._record(f"configuration with {len(keys)} keys")
        self._fleet.keys = keys
        self._fleet.put_config()

    async def _kill_all(self) -> None:
        """Kill all nodes that have no other fault at once."""
        nodes = [it for it in self._fleet.nodes if it.name not in self._reserved]
        self._reserved.update(node.name for node in nodes)
        await asyncio.gather(*(self._restart(it, signal.SIGKILL) for it in nodes))

    async def _crash_engines(self) -> None:
        seconds = 2 * self._draw_duration()
        self._record(f"requests on which engines crash for {seconds:.1f} s")
        self._fleet.crash_rate = self._random.uniform(0.02, 0.2)
        await asyncio.sleep(seconds)
        self._fleet.crash_rate = 0.0

    async def _limit_server(self) -> None:
        name = self._random.choice(sorted(self._fleet.backends))
        headers = self._fleet.backends[name].extra_headers
        if headers:
            return
        seconds, rate = 3 * self._draw_duration(), self._random.choice((0.5, 1.4, 6.0))
        self._record(f"{name} limits its rate to {rate} for {seconds:.1f} s")
        headers["Server-Limit"] = str(rate)
        await asyncio.sleep(seconds)
        headers.clear()
