"""Small deployment for the review's scripts: nodes as processes, the rest in here.

The nodes are started with the command of ``deploy/system.toml`` and with settings made
from ``deploy/node.yaml``. The store is the project's own stand-in, built by
``review/build.sh``. Engines and clients are small new stand-ins. Every address is a
loopback address.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from medlargate.platform import Delete, Put
from medlargate_standins.demo import Servers
from medlargate_standins.platform import Platform, make_platform_app

ROOT = Path(__file__).resolve().parents[2]
SITE_HOST = "site.example"
TENANT, KEY = "hule930", "n2ctnfzs989anu6wsjnb"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
READY_TIMEOUT = 30.0  # seconds
HEARTBEAT = 1.2  # seconds
# Bounds of the sheet of cfstc-learn.
BOUNDS = {
    "ConfigApplyMs": 2000,
    "DrainMs": 2000,
    "GraceS": 8,
    "LeaseMs": 3000,
    "LossSlackMs": 200,
    "RetryRatio": 0.2,
    "RetrySlack": 52,
    "RetryWindowS": 10,
    "UsageLateS": 10,
    "WindowS": 5,
}


class CannotRunError(Exception):
    """Raised if the deployment did not come up, so that nothing can be judged."""


class Record:
    """Writer of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, kind: str, **facts: Any) -> None:
        """Write one line with the time since the start of the record."""
        at = time.monotonic() - self._started_at
        row = " ".join(f"{name}={fact}" for name, fact in facts.items())
        self._file.write(f"{at:8.3f} {kind} {row}\n")
        self._file.flush()


def render_settings(fields: dict[str, Any]) -> str:
    """Fill in the template of the node's settings as the platform does."""

    def replace(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = (found or {}).get(name)
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(map(str, found))
        return str(found)

    template = (ROOT / "deploy/node.yaml").read_text(encoding="utf-8")
    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", replace, template)


def find_free_port(host: str) -> int:
    """Return a TCP port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


@dataclass
class Node:
    """Router node that runs as a process of its own."""

    name: str
    host: str
    front: int
    ready: int
    settings: Path
    logs: Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["medlargate"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MEDLARGATE_NODE_FILE"] = str(self.settings)
        with self.logs.open("ab") as logs:
            self.popen = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=logs, stderr=logs
            )

    def send_signal(self, sig: signal.Signals) -> None:
        """Send a signal to the process if it is still there."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(sig)

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


@dataclass(frozen=True)
class EngineRequest:
    """Request as an engine has received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Identity of the client's attempt."""
        return self.headers.get("attempt-id", "")


@dataclass
class Engine:
    """Engine or plain server that keeps to the protocol page.

    Attributes
    ----------
    slots, queue : int
        Requests that run at a time, and that wait beyond them. Further ones get 503
        with ``Not-Executed``.
    work : callable
        Seconds of work on a request of a plain service.
    events : callable
        Number of events and seconds between them, for a stream; None for a plain
        service.
    body : callable
        Body of a plain answer.
    arrived, ran : dict of str to float
        Times at which requests arrived and began to run, by id.
    """

    server_id: str
    service: str
    zone: str
    slots: int
    record: Record
    queue: int = 24
    work: Callable[[EngineRequest], float] = lambda _: 0.09
    events: Callable[[EngineRequest], tuple[int, float]] | None = None
    body: Callable[[EngineRequest], bytes] = lambda _: b"x" * 800
    host: str = "127.0.0.1"
    port: int = 0
    public_port: int = 0  # of the link to the engine; 0 for none
    arrived: dict[str, float] = field(default_factory=dict)
    ran: dict[str, float] = field(default_factory=dict)
    n_running: int = 0
    n_waiting: int = 0
    _server: asyncio.Server | None = None
    _free: asyncio.Condition = field(default_factory=asyncio.Condition)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def make_entry(self, state: str = "ready") -> bytes:
        """Return the engine's entry in the store."""
        row = {
            "Service": self.service,
            "Address": f"{self.host}:{self.public_port or self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
            "born": 1_700_000_000_000,
        }
        return json.dumps(row).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (req := await _read_request(reader)) is not None:
                await self._answer(req, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def _make_head(
        self, req: EngineRequest, status: int, length: int | None, *rows: str
    ) -> bytes:
        framing = (
            "Transfer-Encoding: chunked"
            if length is None
            else f"Content-Length: {length}"
        )
        lines = [
            f"HTTP/1.1 {status} X",
            f"Attempt-Id: {req.request_id}",
            f"Server-Load: {self.n_running},{self.n_waiting},{self.slots}",
            "Keep-Alive: timeout=10",
            framing,
            *rows,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _answer(
        self,
        req: EngineRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if req.target == "/healthz":
            writer.write(self._make_head(req, 200, 0, f"Instance-Id: {self.server_id}"))
            return
        self.arrived.setdefault(req.request_id, time.monotonic())
        self.record.write("arrived", server=self.server_id, id=req.request_id)
        if req.headers.get("expect-instance") != self.server_id:
            writer.write(self._make_head(req, 421, 0, f"Instance-Id: {self.server_id}"))
            return
        if self.n_running >= self.slots and self.n_waiting >= self.queue:
            writer.write(self._make_head(req, 503, 0, "Not-Executed: 1"))
            return
        # The engine drops a request when its channel closes.
        work = asyncio.create_task(self._run(req, writer))
        gone = asyncio.create_task(_wait_closed(reader))
        done, _ = await asyncio.wait({work, gone}, return_when="FIRST_COMPLETED")
        if work in done:
            gone.cancel()
            work.result()
        else:
            work.cancel()
        await asyncio.gather(work, gone, return_exceptions=True)
        if work not in done:
            self.record.write("dropped", server=self.server_id, id=req.request_id)
            raise ConnectionError("the node closed the channel")

    async def _run(self, req: EngineRequest, writer: asyncio.StreamWriter) -> None:
        self.n_waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.n_running < self.slots)
                self.n_running += 1
        finally:
            self.n_waiting -= 1
        try:
            self.ran[req.request_id] = time.monotonic()
            self.record.write("ran", server=self.server_id, id=req.request_id)
            if self.events is None:
                await asyncio.sleep(self.work(req))
                body = self.body(req)
                seal = f"Response-Seal: {SEAL}"
                writer.write(self._make_head(req, 200, len(body), seal) + body)
            else:
                await self._stream(req, writer, *self.events(req))
            await writer.drain()
        finally:
            self.n_running -= 1
            async with self._free:
                self._free.notify_all()

    async def _stream(
        self,
        req: EngineRequest,
        writer: asyncio.StreamWriter,
        n_events: int,
        pause: float,
    ) -> None:
        rows = (f"Response-Seal: {SEAL}", "Content-Type: text/event-stream")
        writer.write(self._make_head(req, 200, None, *rows))
        for number in range(1, n_events + 1):
            event = f"id: {number}\ndata: {'t' * 40}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    """Wait until the node closes the channel; a node sends one request at a time."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def _read_request(reader: asyncio.StreamReader) -> EngineRequest | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, text = line.partition(":")
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return EngineRequest(method, target, headers, body)


@dataclass
class Reply:
    """What a client received."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended_at: float = 0.0


def encode_request(
    method: str, path: str, request_id: str, *, deadline_ms: int, **headers: str
) -> bytes:
    """Encode a client's request without a body; ``_`` in names stands for ``-``."""
    rows = {
        "Host": SITE_HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Key": KEY,
        "Content-Length": "0",
    }
    rows.update({name.replace("_", "-"): text for name, text in headers.items()})
    lines = "".join(f"{name}: {text}\r\n" for name, text in rows.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer; if the channel ends early, return the part received."""
    reply = Reply()
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        reply.status = int(lines[0].split(" ")[1])
        for line in filter(None, lines[1:]):
            name, _, text = line.partition(":")
            reply.headers[name.strip().lower()] = text.strip()
        if reply.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                reply.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            length = int(reply.headers.get("content-length", 0))
            while len(reply.body) < length:
                piece = await reader.read(length - len(reply.body))
                if not piece:
                    raise asyncio.IncompleteReadError(b"", length)
                reply.body += piece
        reply.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    reply.ended_at = time.monotonic()
    return reply


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's config with the prefix ``/name/``."""
    route = {
        "Name": name,
        "Host": SITE_HOST,
        "Prefix": f"/{name}/",
        "Type": kind,
        "TimeoutMs": 3000,
        "TtftGoalMs": 400,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 1,
        "Public": False,
    }
    return {**route, **fields}


def make_config(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the operator's config."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


class Link:
    """TCP proxy on loopback to one port, which can be cut.

    Attributes
    ----------
    port : int
        Port on which the proxy listens, the same one after each start.
    """

    def __init__(self, target: int, host: str = "127.0.0.1") -> None:
        self._target, self._host = target, host
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Accept connections and forward them."""
        self._server = await asyncio.start_server(self._serve, self._host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Reset all connections and refuse new ones until the next start."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        finally:
            self._writers -= {writer, far_writer}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy one direction of a connection until it ends, and end it there too."""
    try:
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
        writer.close()
    except (ConnectionError, asyncio.CancelledError):
        writer.transport.abort()


class Deployment:
    """Nodes, store and engines, started and ended together.

    Parameters
    ----------
    record : Record
        What happened, for ``record.txt``.
    n_nodes : int
        Number of node processes, each with a loopback address of its own.
    zones : sequence of str
        Zones of the nodes, in turn.

    Attributes
    ----------
    links : dict of str to Link
        Links to the engines by their ids, if there are any.
    """

    def __init__(
        self,
        record: Record,
        n_nodes: int = 2,
        zones: Sequence[str] = ("zone-a", "zone-b", "zone-c"),
    ) -> None:
        self.record = record
        self.links: dict[str, Link] = {}
        self._zones = zones
        self.platform = Platform()
        self.engines: list[Engine] = []
        self.nodes: list[Node] = []
        self._n_nodes = n_nodes
        self._servers = Servers()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    def put(self, key: str, data: bytes) -> None:
        """Write an item of the operator or of an engine to the store."""
        self.platform.store.write([], [Put(key, data)], [])

    def put_config(self, config: dict[str, Any]) -> None:
        """Write a version of the operator's config to the store."""
        self.put("op/config", json.dumps(config).encode())

    def delete(self, key: str) -> None:
        """Delete an item from the store."""
        self.platform.store.write([], [Delete(key)], [])

    async def start(
        self, config: dict[str, Any], engines: list[Engine], *, linked: bool = False
    ) -> None:
        """Start everything and wait until all nodes are ready.

        Parameters
        ----------
        config : dict
            Operator's config.
        engines : list of Engine
            Engines that are not started yet.
        linked : bool, default=False
            Whether the engines are reached through links, which can be cut.
        """
        store_port = await self._servers.start(make_platform_app(self.platform))
        self.put_config(config)
        self.engines = engines
        for engine in engines:
            await engine.start()
            if linked:
                link = self.links[engine.server_id] = Link(engine.port)
                await link.start()
                engine.public_port = link.port
            self.put(f"servers/{engine.server_id}", engine.make_entry())
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        hosts = [f"{net}.{number + 1}" for number in range(self._n_nodes)]
        ports = [find_free_port(hosts[0]) for _ in range(3)]
        for number, host in enumerate(hosts):
            self._add_node(number, host, ports, store_port, hosts)
        for node in self.nodes:
            node.start()
        end = time.monotonic() + READY_TIMEOUT
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end:
                    raise CannotRunError(f"{node.name} did not become ready")
                await asyncio.sleep(0.1)
        # The nodes hear each other and learn of all engines.
        await asyncio.sleep(2.0)

    def _add_node(
        self,
        number: int,
        host: str,
        ports: list[int],
        store_port: int,
        hosts: list[str],
    ) -> None:
        zone = self._zones[number % len(self._zones)]
        name = f"edge-{zone}-{number + 1}"
        store = f"127.0.0.1:{store_port}"
        fields = {
            "NodeName": name,
            "Zone": zone,
            "Region": "region",
            "Ip": host,
            "Listen": {
                "Frontend": f"{host}:{ports[0]}",
                "Readiness": f"{host}:{ports[1]}",
            },
            "PortRange": [ports[2], ports[2] + 15],
            "Seeds": [f"{it}:{ports[2]}" for it in hosts],
            "Bootstrap": True,
            "Bounds": BOUNDS,
            "Platform": {"Address": store},
            "CloudApi": {
                "Address": store,
                "Duties": ["metering", "autoscale"],
                "DutyPerS": 50.0,
            },
        }
        folder = Path(self._folder.name)
        settings = folder / f"{name}.yaml"
        settings.write_text(render_settings(fields), encoding="utf-8")
        node = Node(name, host, ports[0], ports[1], settings, folder / f"{name}.log")
        self.nodes.append(node)

    def read_logs(self) -> str:
        """Return what the nodes have logged."""
        return "".join(
            node.logs.read_text(errors="replace")
            for node in self.nodes
            if node.logs.exists()
        )

    async def close(self) -> None:
        """End all processes that were started, and all stand-ins."""
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
        for node in self.nodes:
            if node.popen is not None:
                await asyncio.to_thread(node.popen.wait)
        for link in self.links.values():
            link.cut()
        for engine in self.engines:
            await engine.close()
        await self._servers.close()
        self._folder.cleanup()


def run_case(
    case: Callable[[Record, bool], Any], folder: Path, *, trouble: bool
) -> int:
    """Run a case and return its exit status.

    Parameters
    ----------
    case : callable
        Coroutine function that gets the record and whether the disruption takes place.
        It returns the breaks of the rule, as texts.
    folder : Path
        Folder of the case, for ``record.txt``.
    trouble : bool
        Whether the disruption takes place.

    Returns
    -------
    int
        1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    # The store's HTTP server reports the watches that end with it.
    logging.disable(logging.CRITICAL)
    record = Record(folder / "record.txt")
    record.write("begin", trouble=int(trouble))
    try:
        breaks = asyncio.run(case(record, trouble))
    except CannotRunError as exc:
        record.write("cannot_run", reason=exc)
        return 2
    except Exception as exc:
        record.write("cannot_run", reason=repr(exc))
        return 2
    for text in breaks:
        record.write("broken", what=text)
    record.write("end", n_broken=len(breaks))
    print(f"{len(breaks)} breaks of the rule; trouble={int(trouble)}")
    return 1 if breaks else 0
