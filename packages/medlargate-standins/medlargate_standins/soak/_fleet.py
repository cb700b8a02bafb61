"""Fleet of a soak: node processes, a platform and servers behind faulty links."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson
import yaml
from medlargate.platform import Delete, Entry, Put

from ..backend import Backend, ReceivedRequest
from ..demo import HOST, Servers, find_free_port
from ..platform import Platform, make_platform_app
from ..relay_testbed import KEY, make_config
from ._link import Link

CRASHING_PART = "crashing"  # prompt part on which engines crash
SHARED_PART = "shared"
CRASH_CLOSE_DELAY = 0.02  # seconds from the head of an answer to the crash
DOMAINS = ("fd-a", "fd-b", "fd-c")
SECOND_KEY = "key-beta"
FAULTY_BEHAVIOURS = ("error", "reset", "half", "strange", "extra", "refuse", "cut:3")
# Answers that are written once more. A 421 makes nodes avoid the server, so it is rare.
COPIED_ANSWERS = ("refuse",) * 6 + ("ok", "ok", "misdirect")
COPY_NAMINGS = ("copy", "copy-unnamed")
COPY_TIMES = ("0", "0.002", "0.02", "0.1", "next", "new")
GRACE_PERIOD = 4.0  # seconds that a stopping node gives its open requests
USAGE_WINDOW = 2.0  # seconds
START_TIMEOUT = 15.0  # seconds until a started node must be ready


def _make_default_backend(name: str, service: str, zone: str) -> Backend:
    is_second_version = int(name.rpartition("-")[2]) % 4 == 3
    backend = Backend(
        name, service, zone, slots=16, version="v2" if is_second_version else "v1"
    )
    backend.pause = 0.05 if service == "engine" else 0.0
    return backend


@dataclass(frozen=True)
class FleetPlan:
    """What a fleet consists of.

    Attributes
    ----------
    make_config : callable
        Returns the operator's configuration, given its version and its tenants as
        ``Tenants``.
    servers : tuple of (str, str)
        Name and service of each server.
    make_backend : callable
        Returns a backend server, given its name, service and failure domain.
    domains : tuple of str
        Failure domains, assigned to nodes and servers in turn.
    grace : float
        Seconds that a stopping node gives its open requests.
    ingress, settings : dict
        Settings of the nodes in the section ``ingress``, and further sections.
    faulty_behaviours : tuple of str
        Behaviours of servers that mishandle a request.
    has_node_links : bool
        Whether each node has a link of its own to each server.
    node_path : str
        Folder with the packages that the nodes run; empty for the installed ones.
    """

    make_config: Callable[..., dict[str, Any]] = make_config
    servers: tuple[tuple[str, str], ...] = tuple(
        (f"{service}-{number}", service)
        for number, service in enumerate(("plain", "engine") * 4)
    )
    make_backend: Callable[[str, str, str], Backend] = _make_default_backend
    domains: tuple[str, ...] = DOMAINS
    grace: float = GRACE_PERIOD
    ingress: dict[str, Any] = field(
        default_factory=lambda: {
            "usage_window": USAGE_WINDOW,
            "duties": "metering",
            "lease_ms": 1000,
        }
    )
    settings: dict[str, Any] = field(default_factory=dict)
    faulty_behaviours: tuple[str, ...] = FAULTY_BEHAVIOURS
    has_node_links: bool = False
    node_path: str = ""


# Ports given out so far, so that no two nodes get the same port.
_assigned_ports: set[int] = set()


def _assign_port() -> int:
    """Assign a free port that no outgoing connection can take while a node is down."""
    while (port := find_free_port()) in _assigned_ports:
        continue
    _assigned_ports.add(port)
    return port


@dataclass
class NodeProcess:
    """Router node that runs as a separate process.

    Attributes
    ----------
    name, domain : str
        Name and failure domain of the node.
    port, readiness : int
        Ports for callers and for readiness requests.
    store_link : Link
        Link from the node to the platform.
    settings, logs : Path
        Settings file and log file.
    server_links : dict of str to Link
        The node's own links to the servers, by server name; empty if the nodes share
        their links.
    package_path : str
        Folder with the packages that the node runs; empty for the installed ones.
    popen : subprocess.Popen or None
        Process of the node; None before the first start.
    is_paused : bool
        Whether the process is stopped by SIGSTOP.
    """

    name: str
    domain: str
    port: int
    readiness: int
    store_link: Link
    settings: Path
    logs: Path
    server_links: dict[str, Link] = field(default_factory=dict)
    package_path: str = ""
    popen: subprocess.Popen[bytes] | None = None
    is_paused: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process exists, running or paused."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Start the process, which appends its output to the log file."""
        command = [sys.executable, "-m", "medlargate", "serve", str(self.settings)]
        env = dict(os.environ)
        if self.package_path:
            env["PYTHONPATH"] = self.package_path
        with self.logs.open("ab") as logs:
            self.popen = subprocess.Popen(command, stdout=logs, stderr=logs, env=env)
        self.is_paused = False

    def send_signal(self, sig: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.popen is not None and self.is_running:
            self.popen.send_signal(sig)
            if sig in (signal.SIGSTOP, signal.SIGCONT):
                self.is_paused = sig is signal.SIGSTOP

    async def wait_exit(self, seconds: float) -> None:
        """Wait for the process to exit and kill it after ``seconds``."""
        end = time.monotonic() + seconds
        while self.is_running and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if self.popen is not None and self.is_running:
            self.popen.kill()
        if self.popen is not None:
            await asyncio.to_thread(self.popen.wait)


def _make_view(links: dict[str, Link]) -> Callable[[Entry], Entry]:
    """Return a view of the store in which servers have the addresses of links."""

    def show(entry: Entry) -> Entry:
        name = entry.key.removeprefix("servers/")
        if name == entry.key or name not in links:
            return entry
        row = orjson.loads(entry.value)
        row["Address"] = f"{HOST}:{links[name].port}"
        return replace(entry, value=orjson.dumps(row))

    return show


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request that reached a server.

    Attributes
    ----------
    at : float
        Time on the monotonic clock, in seconds.
    server, node : str
        Names of the server and of the node that sent the request.
    max_rate : float or None
        Limit that the server names in its answer, in requests a second.
    crashes : bool
        Whether the server crashes on the request.
    request_id, stream_id : str
        Ids of the request and of the one that began its stream, which is the same
        unless a caller takes the stream up.
    version : str
        Version of the server's software.
    goes_on : bool
        Whether the server is to send only events after one that the caller has.
    """

    at: float
    server: str
    node: str
    max_rate: float | None = None
    crashes: bool = False
    request_id: str = ""
    stream_id: str = ""
    version: str = ""
    goes_on: bool = False


@dataclass(slots=True)
class Departure:
    """Time in which a server has left and serves on.

    Attributes
    ----------
    server : str
        Name of the server.
    acked_at, ended_at : float
        When the store acknowledged that it leaves, and when it registered again, on
        the monotonic clock in seconds.
    """

    server: str
    acked_at: float
    ended_at: float = float("inf")


@dataclass
class Fleet:
    """Nodes, platform and backend servers of a soak.

    Parameters
    ----------
    n_nodes : int
        Number of node processes, assigned to the failure domains in turn.
    random_state : random.Random
        Source of the requests that a server mishandles and of the kind of fault.
    plan : FleetPlan
        What the fleet consists of.

    Attributes
    ----------
    platform : Platform
        Platform stand-in with the key-value store.
    nodes : list of NodeProcess
        All nodes.
    backends : dict of str to Backend
        Backend servers by name.
    links : dict of str to Link
        Link to each backend server, by the server's name.
    misbehaviour_rate : float
        Fraction of the requests that the servers mishandle.
    faulty_servers : set of str
        Servers that mishandle requests; empty for all.
    version : int
        Version of the configuration.
    keys : tuple of str
        API keys that the configuration accepts.
    copy_rate : float
        Fraction of the requests whose answers the servers write once more.
    copy_state : random.Random
        Source of these requests and their answers.
    crash_rate : float
        Fraction of the streams that callers request with ``CRASHING_PART``.
    arrivals : list of Arrival
        Requests that reached the servers.
    departures : list of Departure
        Servers that left.
    """

    n_nodes: int
    random_state: random.Random
    plan: FleetPlan = field(default_factory=FleetPlan)
    platform: Platform = field(default_factory=Platform)
    nodes: list[NodeProcess] = field(default_factory=list)
    backends: dict[str, Backend] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    misbehaviour_rate: float = 0.0
    faulty_servers: set[str] = field(default_factory=set)
    copy_rate: float = 0.0
    copy_state: random.Random = field(default_factory=random.Random)
    version: int = 1
    keys: tuple[str, ...] = (KEY, SECOND_KEY)
    crash_rate: float = 0.0
    arrivals: list[Arrival] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    _crashes: set[asyncio.Task[None]] = field(default_factory=set)
    _servers: Servers = field(default_factory=Servers)
    _folder: Any = None

    async def start(self, folder: Path | None = None) -> None:
        """Start platform, servers and nodes, and wait until the nodes are ready."""
        self._folder = tempfile.TemporaryDirectory()
        path = folder or Path(self._folder.name)
        path.mkdir(parents=True, exist_ok=True)
        orders_port = await self._servers.start(make_platform_app(self.platform))
        self.put_config()
        for number, (name, service) in enumerate(self.plan.servers):
            await self._add_backend(name, service, number)
        for number in range(self.n_nodes):
            await self._add_node(number, orders_port, path)
        ready = await asyncio.gather(*(self.wait_ready(it) for it in self.nodes))
        if not all(ready):
            await self.close()
            raise RuntimeError("a node did not become ready before the first fault")

    async def _add_backend(self, name: str, service: str, number: int) -> None:
        zone = self.plan.domains[number % len(self.plan.domains)]
        backend = self.plan.make_backend(name, service, zone)
        backend.behaviour = lambda req: self._choose_behaviour(name, req)
        await backend.start(HOST)
        link = Link(backend.port)
        await link.start()
        self.backends[name], self.links[name] = backend, link
        self.register(name)

    def _choose_behaviour(self, name: str, req: ReceivedRequest) -> str:
        crashes = CRASHING_PART in req.headers.get("prompt-prefix", "")
        limit = self.backends[name].extra_headers.get("Server-Limit")
        # The names of callers, and thus the request ids, begin with the node's name.
        node = req.request_id.partition("c")[0]
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                name,
                node,
                float(limit) if limit else None,
                crashes,
                request_id=req.request_id,
                stream_id=req.headers.get("resumes") or req.request_id,
                version=self.backends[name].version,
                goes_on="last-event-id" in req.headers,
            )
        )
        if crashes:
            task = asyncio.create_task(self._crash(name))
            self._crashes.add(task)
            task.add_done_callback(self._crashes.discard)
            return "begun"
        if self.copy_rate and self.copy_state.random() < self.copy_rate:
            return self._choose_copied_answer(req)
        if self.faulty_servers and name not in self.faulty_servers:
            return "ok"
        if self.random_state.random() >= self.misbehaviour_rate:
            return "ok"
        return self.random_state.choice(self.plan.faulty_behaviours)

    def _choose_copied_answer(self, req: ReceivedRequest) -> str:
        choose = self.copy_state.choice
        answer, naming, when = map(choose, (COPIED_ANSWERS, COPY_NAMINGS, COPY_TIMES))
        if "stream" in req.target and answer == "ok":
            answer = "refuse"
        return f"{answer}-{naming}:{when}"

    def stop_copies(self) -> None:
        """Let the servers write each answer once from now on."""
        self.copy_rate = 0.0
        for backend in self.backends.values():
            backend.drop_copies()

    async def _crash(self, name: str) -> None:
        """Stop a server that has begun an answer, and start it again."""
        await asyncio.sleep(CRASH_CLOSE_DELAY)
        link = self.links[name]
        link.stop()
        await asyncio.sleep(self.random_state.uniform(0.5, 2.0))
        self.backends[name].born += 1
        self.register(name)
        await link.start()

    def register(self, name: str, *, state: str = "ready") -> None:
        """Register a server with the address of its link."""
        row = orjson.loads(self.backends[name].registration(HOST, state=state))
        row["Address"] = f"{HOST}:{self.links[name].port}"
        put = Put(f"servers/{name}", orjson.dumps(row))
        self.platform.store.write([], [put], [])

    def unregister(self, name: str) -> None:
        """Remove the registration of a server, which keeps running."""
        self.platform.store.write([], [Delete(f"servers/{name}")], [])

    async def let_leave(self, name: str, seconds: float, *, drains: bool) -> None:
        """Let a server leave, serve on for some time and start anew.

        Parameters
        ----------
        name : str
            Name of the server.
        seconds : float
            Time until it registers again.
        drains : bool
            Whether it reports that it drains; otherwise its registration is removed.
        """
        if drains:
            self.register(name, state="draining")
        else:
            self.unregister(name)
        departure = Departure(name, time.monotonic())
        self.departures.append(departure)
        await asyncio.sleep(seconds)
        departure.ended_at = time.monotonic()
        self.backends[name].born += 1
        self.register(name)

    def put_config(self, **overrides: Any) -> None:
        """Write the next version of the configuration.

        Keyword arguments replace fields of the plan's configuration.
        """
        self.version += 1
        tenants = [{"Name": "alpha", "ApiKeys": list(self.keys)}]
        row = self.plan.make_config(self.version, Tenants=tenants, **overrides)
        put = Put("op/config", orjson.dumps(row))
        self.platform.store.write([], [put], [])

    async def _start_node_links(self) -> dict[str, Link]:
        links = {}
        if self.plan.has_node_links:
            for name, link in self.links.items():
                links[name] = Link(link.port)
                await links[name].start()
        return links

    async def _add_node(self, number: int, orders_port: int, folder: Path) -> None:
        server_links = await self._start_node_links()
        store_port = orders_port
        if server_links:
            app = make_platform_app(self.platform, _make_view(server_links))
            store_port = await self._servers.start(app)
        store = Link(store_port)
        await store.start()
        ports = [_assign_port() for _ in range(3)]
        name = f"n{number + 1}"
        ingress = {
            "frontend": f"{HOST}:{ports[0]}",
            "readiness": f"{HOST}:{ports[1]}",
            "fleet_port": ports[2],
            "orders": f"{HOST}:{orders_port}",
            "grace": self.plan.grace,
            **self.plan.ingress,
        }
        domain = self.plan.domains[number % len(self.plan.domains)]
        settings = {
            "node": {"name": name, "failure_domain": domain, "address": HOST},
            "platform": {"endpoint": f"{HOST}:{store.port}", "timeout": 1.0},
            "ingress": ingress,
            **self.plan.settings,
        }
        file = folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(settings))
        logs = folder / f"{name}.log"
        node = NodeProcess(
            name,
            domain,
            ports[0],
            ports[1],
            store,
            file,
            logs,
            server_links,
            self.plan.node_path,
        )
        self.nodes.append(node)
        node.start()

    async def wait_ready(
        self, node: NodeProcess, seconds: float = START_TIMEOUT
    ) -> bool:
        """Wait until a node reports that it is ready and return whether it did."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready(node):
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, node: NodeProcess) -> bool:
        """Return whether a node reports that it is ready for callers."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(HOST, node.readiness)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def choose_link(self, choose: Callable[[list[Link]], Link]) -> Link:
        """Choose one of the links to servers and platform."""
        return choose([*self.links.values(), *(node.store_link for node in self.nodes)])

    async def close(self) -> None:
        """Stop the node processes, then the links, the servers and the platform."""
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGTERM)
        await asyncio.gather(
            *(node.wait_exit(self.plan.grace + 2) for node in self.nodes)
        )
        for task in self._crashes:
            task.cancel()
        for node in self.nodes:
            for link in (node.store_link, *node.server_links.values()):
                await link.close()
        for link in self.links.values():
            await link.close()
        for backend in self.backends.values():
            await backend.close()
        await self._servers.close()
        with contextlib.suppress(OSError):
            self._folder.cleanup()
