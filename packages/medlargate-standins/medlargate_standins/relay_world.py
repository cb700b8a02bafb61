"""A platform, backend servers and relay nodes in one process, for tests."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson
from medlargate._settings import Settings
from medlargate.platform import Delete, Put
from medlargate.relay import RelayNode
from medlargate.telemetry import LineWriter

from .backend import Backend
from .demo import HOST, Servers, find_free_port
from .platform import Platform, make_platform_app

KEY = "key-alpha"
ROUTE_HOST = "site.example"


@dataclass
class Reply:
    """What a caller got.

    Attributes
    ----------
    status : int
        HTTP status; 0 when the connection ended before one came.
    headers : dict of str to str
        Names in lower case.
    body : bytes
        As far as it came.
    complete : bool
        The answer came to its end.
    elapsed : float
        Seconds.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    elapsed: float = 0.0


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route of the operator's configuration, with prefix ``/name/``."""
    row = {
        "Name": name,
        "Host": ROUTE_HOST,
        "Prefix": f"/{name}/",
        "Type": kind,
        "TimeoutMs": 3000,
        "TtftGoalMs": 300,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
    }
    return {**row, **more}


def make_config(version: int = 1, **more: Any) -> dict[str, Any]:
    """Make the operator's configuration with one route of each kind."""
    routes = [
        make_route("read", "idempotent", "plain"),
        make_route("book", "non_idempotent", "plain", MaxAttempts=1),
        make_route("once-stream", "streaming", "engine", MaxAttempts=1),
        make_route("resume-stream", "streaming", "engine", Resumable=True),
    ]
    services = [
        {"Name": "plain", "HealthPath": "/healthz", "MaxConns": 100},
        {
            "Name": "engine",
            "HealthPath": "/healthz",
            "MaxConns": 100,
            "Backend": {"Slots": 8, "KvCapacity": 100_000, "Stride": 1},
        },
    ]
    row = {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 2048,
            "MaxBodyBytes": 20_000,
            "HeaderTimeoutMs": 300,
            "IdleTimeoutMs": 2000,
        },
        "Tenants": [{"Name": "alpha", "ApiKeys": [KEY]}],
    }
    return {**row, **more}


class RelayWorld:
    """Runs a platform, backend servers and nodes.

    Parameters
    ----------
    n_nodes : int, default=1
        Relay nodes.
    domains : sequence of str, default=("fd-a",)
        Their failure domains in turn.
    """

    def __init__(self, *, n_nodes: int = 1, domains: Sequence[str] = ("fd-a",)) -> None:
        self.platform = Platform()
        self.servers = Servers()
        self.backends: dict[str, Backend] = {}
        self.nodes: list[RelayNode] = []
        self._n_nodes = n_nodes
        self._domains = domains
        self._numbers = itertools.count(1)
        self._sink = open("/dev/null", "wb")  # noqa: SIM115 (closed with the world)

    async def start(self, **config: Any) -> None:
        """Start everything; ``config`` overrides parts of the configuration."""
        self.platform_port = await self.servers.start(make_platform_app(self.platform))
        self.put_config(make_config(**config))
        for service, name in (("plain", "p1"), ("plain", "p2")):
            await self.add_backend(Backend(name, service))
        for name in ("e1", "e2"):
            await self.add_backend(Backend(name, "engine", slots=8))
        for number in range(self._n_nodes):
            await self.add_node(f"n{number + 1}")

    async def add_backend(self, backend: Backend) -> Backend:
        """Start a server and register it."""
        await backend.start(HOST)
        self.backends[backend.server_id] = backend
        self.register(backend)
        return backend

    def register(self, backend: Backend, *, state: str = "ready") -> None:
        """Write a server's registration."""
        key = f"servers/{backend.server_id}"
        value = backend.registration(HOST, state=state)
        self.platform.store.write([], [Put(key, value)])

    def unregister(self, backend: Backend) -> None:
        """Remove a server's registration."""
        self.platform.store.write([], [Delete(f"servers/{backend.server_id}")])

    def put_config(self, config: dict[str, Any]) -> None:
        """Write the operator's configuration."""
        self.platform.store.write([], [Put("op/config", orjson.dumps(config))])

    async def add_node(self, name: str) -> RelayNode:
        """Start a node and wait until it is ready."""
        ports = [find_free_port() for _ in range(3)]
        domain = self._domains[len(self.nodes) % len(self._domains)]
        ingress = {
            "frontend": f"{HOST}:{ports[0]}",
            "readiness": f"{HOST}:{ports[1]}",
            "fleet_port": ports[2],
            "orders": f"{HOST}:{self.platform_port}",
            "usage_window": 1.0,
            "grace": 5.0,
            "duties": "metering,autoscale",
            "lease_ms": 1000,
        }
        settings = {
            "node": {"name": name, "failure_domain": domain, "address": HOST},
            "platform": {"endpoint": f"{HOST}:{self.platform_port}", "timeout": 1.0},
            "ingress": ingress,
        }
        node = RelayNode(
            Settings.model_validate(settings), LineWriter(self._sink.fileno())
        )
        await node.start()
        self.nodes.append(node)
        async with asyncio.timeout(5):
            while not node.is_ready or len(node.beliefs.servers) < len(self.backends):
                await asyncio.sleep(0.01)
        return node

    async def close(self) -> None:
        """Stop everything."""
        for node in self.nodes:
            await node.close()
        for backend in self.backends.values():
            await backend.close()
        await self.servers.close()
        self._sink.close()

    def make_id(self) -> str:
        """Make an id for a caller's attempt."""
        return f"a{next(self._numbers)}"

    async def open(
        self, node: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to a node as a caller."""
        host, port = self.nodes[node].ingress.frontend_address
        return await asyncio.open_connection(host, port)

    async def call(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        node: int = 0,
        request_id: str | None = None,
        **headers: str,
    ) -> Reply:
        """Send one request on a connection of its own and read the answer."""
        reader, writer = await self.open(node)
        started_at = time.monotonic()
        request = make_request(
            method, path, request_id or self.make_id(), body, **headers
        )
        writer.write(request)
        try:
            reply = await read_reply(reader)
        finally:
            writer.close()
        reply.elapsed = time.monotonic() - started_at
        return reply


def make_request(
    method: str, path: str, request_id: str, body: bytes = b"", **headers: str
) -> bytes:
    """Make a caller's request; ``_`` in header names stands for ``-``."""
    rows = {
        "Host": ROUTE_HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": "2000",
        "Key": KEY,
        "Content-Length": str(len(body)),
    }
    rows.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = "".join(f"{name}: {value}\r\n" for name, value in rows.items() if value)
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer, as far as it comes."""
    reply = Reply()
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        reply.status = int(lines[0].split(" ")[1])
        for line in filter(None, lines[1:]):
            name, _, value = line.partition(":")
            reply.headers[name.strip().lower()] = value.strip()
        if reply.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                reply.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            length = int(reply.headers.get("content-length", 0))
            reply.body = await reader.readexactly(length)
        reply.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return reply
