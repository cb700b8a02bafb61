"""Crowds of clients that send much, send slowly or read nothing, beside the faults."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from ..crowd import Crowd
from ..demo import HOST
from ..relay_testbed import ROUTE_HOST, make_request
from ._fleet import Fleet, NodeProcess

MAX_MEMORY = 150_000_000  # bytes that the process of a node on a small VM may take
MAX_DESCRIPTORS = 1_024  # that the process of a node may have open
N_PIPELINING = 4  # clients
N_AHEAD = 24_000_000  # bytes that each of them sends ahead
N_CONNECTIONS = 300
N_BODIES = 96
BODY_SIZE = 1_000_000  # bytes
MIN_PAUSE, MAX_PAUSE = 0.1, 1.0  # seconds
MIN_OPEN, MAX_OPEN = 0.0, 3.0  # seconds that a crowd keeps its connections


@dataclass(frozen=True, slots=True)
class Form:
    """What the clients of a crowd send.

    Attributes
    ----------
    data : bytes
        Bytes that each client sends.
    n_clients : int
        Number of connections.
    n_ahead : int
        Bytes up to which the data are repeated; 0 to send them once.
    is_probe : bool
        Whether the clients connect to the readiness address.
    """

    data: bytes
    n_clients: int
    n_ahead: int = 0
    is_probe: bool = False


def _make_head(path: str, **headers: str) -> bytes:
    return make_request("POST", path, "crowd", **headers)


def _make_bare_request(path: str, host: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()


# None of the requests reaches a server, so that the checks know all that do.
FORMS = {
    "requests ahead": Form(
        _make_bare_request("/read/x", ROUTE_HOST), N_PIPELINING, N_AHEAD
    ),
    "requests ahead without a route": Form(
        _make_head("/none/x"), N_PIPELINING, N_AHEAD
    ),
    "probes ahead": Form(
        _make_bare_request("/readyz", HOST), N_PIPELINING, N_AHEAD, is_probe=True
    ),
    "silent connections": Form(b"", N_CONNECTIONS),
    "silent probes": Form(b"", N_CONNECTIONS, is_probe=True),
    "heads without end": Form(_make_head("/read/x")[:-2], N_CONNECTIONS),
    "bodies without end": Form(
        _make_head("/read/x", Content_Length=str(BODY_SIZE)) + bytes(BODY_SIZE - 1),
        N_BODIES,
    ),
}


class CrowdInjector:
    """Injector of crowds, one after the other.

    Parameters
    ----------
    fleet : Fleet
        Fleet under test.
    random_state : random.Random
        Source of the kind, target and duration of each crowd.

    Attributes
    ----------
    injected : list of str
        Description of each crowd with its start time in seconds.
    violations : list of str
        Description of each node that took too much.
    """

    def __init__(self, fleet: Fleet, random_state: random.Random) -> None:
        self._fleet = fleet
        self._random = random_state
        self.injected: list[str] = []
        self.violations: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject crowds for ``seconds``."""
        started_at = time.monotonic()
        while (elapsed := time.monotonic() - started_at) < seconds:
            node = self._random.choice(self._fleet.nodes)
            name = self._random.choice(sorted(FORMS))
            self.injected.append(f"{elapsed:6.2f} crowd at {node.name}: {name}")
            await self._inject(node, name)
            self.check(node)
            await asyncio.sleep(self._random.uniform(MIN_PAUSE, MAX_PAUSE))

    async def _inject(self, node: NodeProcess, name: str) -> None:
        form = FORMS[name]
        port = node.readiness if form.is_probe else node.port
        crowd = Crowd(HOST, port, n_clients=form.n_clients)
        seconds = self._random.uniform(MIN_OPEN, MAX_OPEN)
        try:
            if form.n_ahead:
                await crowd.pipeline(form.data, n_bytes=form.n_ahead)
            else:
                await crowd.send(form.data)
            await asyncio.sleep(seconds)
        finally:
            crowd.close()

    def check(self, node: NodeProcess) -> None:
        """Check memory and descriptors of a node, unless its process has ended."""
        if node.popen is None or not node.is_running:
            return
        pid = node.popen.pid
        try:
            n_bytes = read_peak_memory(pid)
            n_descriptors = psutil.Process(pid).num_fds()
        except (OSError, psutil.Error):
            return  # the process has ended
        if n_bytes >= MAX_MEMORY:
            self.violations.append(f"{node.name} took {n_bytes} bytes")
        if n_descriptors >= MAX_DESCRIPTORS:
            self.violations.append(f"{node.name} opened {n_descriptors} descriptors")

    def check_all(self) -> None:
        """Check that all nodes run and what they took; no fault may be left."""
        for node in self._fleet.nodes:
            if not node.is_running:
                self.violations.append(f"the process of {node.name} has ended")
            self.check(node)


def read_peak_memory(pid: int) -> int:
    """Return the largest resident memory of a process so far, in bytes.

    Raises
    ------
    OSError
        The process does not exist.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return 1024 * int(line.split()[1])
    raise ProcessLookupError(pid)
