"""Series of overlapping stops, reloads, cuts and kills of nodes and servers."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

from ._fleet import Fleet, NodeProcess
from ._lost_requests import Fault

# Steps of a series by the name of its profile; one that stands twice is drawn twice as
# often.
PROFILES = {
    "planned": (
        "stop_in_turn",
        "stop_in_turn",
        "reload",
        "reload",
        "change_config",
        "trouble_store",
    ),
    "cuts": ("cut_node", "cut_node", "hang_servers", "hang_servers", "kill", "pause"),
    "partition": ("cut_node", "cut_node", "hang_servers", "hang_servers", "pause"),
    "departures": (
        "leave",
        "leave",
        "leave",
        "fail_store_calls",
        "fail_store_calls",
        "stop_in_turn",
    ),
    "mixed": (
        "stop_in_turn",
        "stop_in_turn",
        "reload",
        "change_config",
        "trouble_store",
        "cut_node",
        "hang_servers",
        "pause",
    ),
}
MIN_INTERVAL, MAX_INTERVAL = 1.0, 4.0  # seconds between the starts of two steps
MIN_GAP, MAX_GAP = 1.0, 3.0  # seconds between the stops of two nodes
MAX_DOWN_TIME = 1.0  # seconds between the end and the next start of a node
MIN_DURATION, MAX_DURATION = 2.0, 7.0  # seconds that other faults last
MIN_LEAVE_TIME, MAX_LEAVE_TIME = 3.0, 8.0  # seconds that a leaving server serves on
MIN_STAYING = 3  # servers of a service that do not leave at the same time
MIN_FAILED_SHARE, MAX_FAILED_SHARE = 0.1, 0.25  # of the calls to the store
SECOND_SIGNAL_RATE = 0.2  # fraction of stops in which SIGTERM comes twice
WATCH_INTERVAL = 0.1  # seconds


class SeriesInjector:
    """Injector of a series of faults into a fleet.

    Parameters
    ----------
    fleet : Fleet
        Fleet under test.
    random_state : random.Random
        Source of the steps and their targets.

    Attributes
    ----------
    faults : list of Fault
        Planned work and disturbances so far.
    own_ends : list of str
        Descriptions of processes that ended without a signal that ends them.
    """

    def __init__(self, fleet: Fleet, random_state: random.Random) -> None:
        self._fleet = fleet
        self._random_state = random_state
        self._reserved: set[str] = set()
        self._started_at = time.monotonic()
        self.faults: list[Fault] = []
        self.own_ends: list[str] = []

    async def run(self, profile: str, seconds: float) -> None:
        """Start steps for some time and wait for the end of the last one.

        Parameters
        ----------
        profile : str
            Name of a profile.
        seconds : float
            Time in which steps start.
        """
        steps: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "stop_in_turn": self._stop_in_turn,
            "reload": self._reload,
            "change_config": self._change_config,
            "trouble_store": self._trouble_store,
            "cut_node": self._cut_node,
            "hang_servers": self._hang_servers,
            "kill": self._kill,
            "pause": self._pause,
            "leave": self._leave,
            "fail_store_calls": self._fail_store_calls,
        }
        watcher = asyncio.create_task(self._watch_processes())
        end = time.monotonic() + seconds
        tasks: list[asyncio.Task[None]] = []
        try:
            while time.monotonic() < end:
                step = steps[self._random_state.choice(PROFILES[profile])]
                tasks.append(asyncio.create_task(step()))
                await asyncio.sleep(
                    self._random_state.uniform(MIN_INTERVAL, MAX_INTERVAL)
                )
            await asyncio.gather(*tasks)
        finally:
            watcher.cancel()

    def describe(self) -> list[str]:
        """Return a line for each fault, with its start in seconds."""
        return [
            f"{it.started_at - self._started_at:6.2f} {it.kind} {it.target} "
            f"for {it.ended_at - it.started_at:.2f} s"
            for it in sorted(self.faults, key=lambda it: it.started_at)
        ]

    @contextmanager
    def _record(self, kind: str, target: str) -> Iterator[None]:
        started_at = time.monotonic()
        try:
            yield
        finally:
            self.faults.append(Fault(kind, target, started_at, time.monotonic()))

    def _draw_duration(self) -> float:
        return self._random_state.uniform(MIN_DURATION, MAX_DURATION)

    def _reserve_nodes(self, n_nodes: int, n_left: int) -> Sequence[NodeProcess]:
        """Reserve up to ``n_nodes`` nodes, so that ``n_left`` keep serving."""
        free = [it for it in self._fleet.nodes if it.name not in self._reserved]
        n_chosen = max(0, min(n_nodes, len(free) - n_left))
        nodes = self._random_state.sample(free, n_chosen)
        self._reserved.update(it.name for it in nodes)
        return nodes

    async def _stop_in_turn(self) -> None:
        gap = self._random_state.uniform(MIN_GAP, MAX_GAP)
        nodes = self._reserve_nodes(self._random_state.randint(1, 4), n_left=2)
        stops = []
        for node in nodes:
            stops.append(asyncio.create_task(self._stop(node)))
            await asyncio.sleep(gap)
        await asyncio.gather(*stops)

    async def _stop(self, node: NodeProcess) -> None:
        with self._record("stop", node.name):
            node.send_signal(signal.SIGTERM)
            if self._random_state.random() < SECOND_SIGNAL_RATE:
                await asyncio.sleep(self._random_state.uniform(0.1, 3.0))
                node.send_signal(signal.SIGTERM)
            await node.wait_exit(self._fleet.plan.grace)
        await self._start(node)

    async def _start(self, node: NodeProcess) -> None:
        await asyncio.sleep(self._random_state.uniform(0.0, MAX_DOWN_TIME))
        with self._record("start", node.name):
            node.start()
            await self._fleet.wait_ready(node)
        self._reserved.discard(node.name)

    async def _reload(self) -> None:
        """Reload the settings of any node, also of one that starts or stops."""
        node = self._random_state.choice(self._fleet.nodes)
        if node.is_running:
            with self._record("reload", node.name):
                node.send_signal(signal.SIGHUP)

    async def _change_config(self) -> None:
        """Write configurations in which time limits and connections change."""
        for _ in range(self._random_state.randint(1, 4)):
            row = self._fleet.plan.make_config(1)
            factor = self._random_state.uniform(1.0, 1.3)
            for route in row["Routes"]:
                route["TimeoutMs"] = round(route["TimeoutMs"] * factor)
            for service in row["Services"]:
                service["MaxConns"] = round(service["MaxConns"] * factor)
            with self._record("config", ""):
                self._fleet.put_config(Routes=row["Routes"], Services=row["Services"])
            await asyncio.sleep(self._random_state.uniform(0.3, 1.0))

    async def _trouble_store(self) -> None:
        """Let the store be away, slow or silent for some or all nodes."""
        mode = self._random_state.choice(("silent", "slow", "refuse", "deaf"))
        n_nodes = self._random_state.choice((1, len(self._fleet.nodes)))
        nodes = self._random_state.sample(self._fleet.nodes, n_nodes)
        with self._record("store", ",".join(it.name for it in nodes)):
            for node in nodes:
                node.store_link.set_mode(mode)
            await asyncio.sleep(self._draw_duration())
            for node in nodes:
                node.store_link.set_mode("ok")

    async def _fail_store_calls(self) -> None:
        """Let a part of the store's calls fail, and answer the others."""
        with self._record("store-errors", ""):
            self._fleet.platform.failed_share = self._random_state.uniform(
                MIN_FAILED_SHARE, MAX_FAILED_SHARE
            )
            await asyncio.sleep(self._draw_duration())
            self._fleet.platform.failed_share = 0.0

    async def _leave(self) -> None:
        """Let a server leave while it serves on, and come back as a new one."""
        staying = [
            it
            for name, it in self._fleet.backends.items()
            if name not in self._reserved
        ]
        n_staying = Counter(it.service for it in staying)
        names = [it.server_id for it in staying if n_staying[it.service] > MIN_STAYING]
        if not names:
            return
        name = self._random_state.choice(names)
        self._reserved.add(name)
        seconds = self._random_state.uniform(MIN_LEAVE_TIME, MAX_LEAVE_TIME)
        drains = self._random_state.random() < 0.5
        with self._record("leave", name):
            await self._fleet.let_leave(name, seconds, drains=drains)
        self._reserved.discard(name)

    async def _cut_node(self) -> None:
        """Cut one node off from all servers of one or all services."""
        node = self._random_state.choice(self._fleet.nodes)
        services = sorted({it.service for it in self._fleet.backends.values()})
        cut = self._random_state.choice((*services, *services, ""))
        links = [
            link
            for name, link in node.server_links.items()
            if cut in ("", self._fleet.backends[name].service)
        ]
        mode = self._random_state.choice(("silent", "reset", "hang-new", "deaf"))
        with self._record("cut", node.name):
            for link in links:
                link.set_mode(mode)
            await asyncio.sleep(self._draw_duration())
            for link in links:
                link.set_mode("ok")

    async def _hang_servers(self) -> None:
        """Let servers leave a part of the requests without an answer."""
        self._fleet.misbehaviour_rate = self._random_state.uniform(0.2, 0.6)
        await asyncio.sleep(self._draw_duration())
        self._fleet.misbehaviour_rate = 0.0

    async def _kill(self) -> None:
        for node in self._reserve_nodes(1, n_left=2):
            with self._record("kill", node.name):
                node.send_signal(signal.SIGKILL)
                await node.wait_exit(1.0)
            await self._start(node)

    async def _pause(self) -> None:
        """Pause a node, which may be in the middle of a stop."""
        node = self._random_state.choice(self._fleet.nodes)
        with self._record("pause", node.name):
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random_state.uniform(0.3, 3.0))
            node.send_signal(signal.SIGCONT)

    async def _watch_processes(self) -> None:
        """Restart processes that ended by themselves."""
        while True:
            for node in self._fleet.nodes:
                if not node.is_running and node.name not in self._reserved:
                    self._reserved.add(node.name)
                    at = time.monotonic() - self._started_at
                    status = node.popen.returncode if node.popen else None
                    self.own_ends.append(
                        f"{node.name} ended by itself at {at:.2f} s, status {status}"
                    )
                    await self._start(node)
            await asyncio.sleep(WATCH_INTERVAL)
