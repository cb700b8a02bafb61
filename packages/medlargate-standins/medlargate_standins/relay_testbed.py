"""Simulated platform, backend servers and relay nodes in one process, for tests."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson
from medlargate._settings import Settings
from medlargate.platform import Delete, PlatformCallError, Put
from medlargate.policy import Verdict
from medlargate.relay import RelayNode
from medlargate.telemetry import LineWriter
from returns.result import Failure

from .backend import Backend
from .demo import HOST, Servers, find_free_port
from .platform import Platform, make_platform_app

KEY = "key-alpha"
ROUTE_HOST = "site.example"


@dataclass
class Reply:
    """Response that a caller received, possibly incomplete.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection ended before the status line arrived.
    headers : dict of str to str
        Response headers, with names in lower case.
    body : bytes
        Body bytes received, without chunk framing.
    complete : bool
        Whether the whole response arrived.
    elapsed : float
        Seconds from sending the request to the end of the response; set by
        ``RelayTestbed.call``.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    elapsed: float = 0.0


def make_route(name: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
    """Create a route of the operator's configuration, with prefix ``/name/``.

    Parameters
    ----------
    name : str
        Route name.
    kind : str
        ``idempotent``, ``non_idempotent`` or ``streaming``.
    service : str
        Name of the service that the route leads to.
    **overrides : object
        Fields that are added to the route or replace its defaults.

    Returns
    -------
    dict
        Route as it stands in the configuration.
    """
    route = {
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
    return {**route, **overrides}


def make_config(version: int = 1, **overrides: Any) -> dict[str, Any]:
    """Create the operator's configuration with two services and four routes.

    Parameters
    ----------
    version : int, default=1
        Configuration version.
    **overrides : object
        Top-level fields that are added or replace the defaults.

    Returns
    -------
    dict
        Configuration as it stands in the store.
    """
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
    config = {
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
    return {**config, **overrides}


class RelayTestbed:
    """Runs a simulated platform, backend servers and relay nodes in one event loop.

    Parameters
    ----------
    n_nodes : int, default=1
        Number of relay nodes.
    domains : sequence of str, default=("fd-a",)
        Failure domains, assigned to the nodes in turn.
    settings : dict or None
        Further sections of the nodes' settings.
    ingress : dict of str to object
        Settings of the nodes' section ``ingress`` in addition to the defaults.

    Attributes
    ----------
    platform : Platform
        Simulated platform.
    platform_port : int
        TCP port of the platform's HTTP server; set by ``start``.
    servers : Servers
        HTTP server of the platform.
    backends : dict of str to Backend
        Started backend servers by server id.
    nodes : list of RelayNode
        Started nodes.
    """

    def __init__(
        self,
        *,
        n_nodes: int = 1,
        domains: Sequence[str] = ("fd-a",),
        settings: dict[str, Any] | None = None,
        **ingress: Any,
    ) -> None:
        self._settings = settings or {}
        self._ingress = ingress
        self.platform = Platform()
        self.servers = Servers()
        self.backends: dict[str, Backend] = {}
        self.nodes: list[RelayNode] = []
        self._n_nodes = n_nodes
        self._domains = domains
        self._request_numbers = itertools.count(1)
        self._null_file = open("/dev/null", "wb")  # noqa: SIM115 (closed by close())

    async def start(self, **overrides: Any) -> None:
        """Start the platform, two backend servers per service, and the nodes.

        Keyword arguments replace fields of ``make_config``.
        """
        self.platform_port = await self.servers.start(make_platform_app(self.platform))
        self.put_config(make_config(**overrides))
        for service, name in (("plain", "p1"), ("plain", "p2")):
            await self.add_backend(Backend(name, service))
        for name in ("e1", "e2"):
            await self.add_backend(Backend(name, "engine", slots=8))
        for number in range(self._n_nodes):
            await self.add_node(f"n{number + 1}")

    async def add_backend(self, backend: Backend) -> Backend:
        """Start a backend server and register it in the store."""
        await backend.start(HOST)
        self.backends[backend.server_id] = backend
        self.register(backend)
        return backend

    async def remove_backend(self, server_id: str) -> None:
        """Unregister a backend server and close it."""
        backend = self.backends.pop(server_id)
        self.unregister(backend)
        await backend.close()

    def register(self, backend: Backend, *, state: str = "ready") -> None:
        """Write a backend server's registration to the store."""
        key = f"servers/{backend.server_id}"
        value = backend.registration(HOST, state=state)
        self.platform.store.write([], [Put(key, value)])

    def unregister(self, backend: Backend) -> None:
        """Delete a backend server's registration from the store."""
        self.platform.store.write([], [Delete(f"servers/{backend.server_id}")])

    def evacuate(self, domain: str) -> None:
        """Write the evacuation of a failure domain to the store."""
        self.platform.store.write([], [Put(f"op/evacuate/{domain}", b"{}")])

    def end_evacuation(self, domain: str) -> None:
        """Delete the evacuation of a failure domain from the store."""
        self.platform.store.write([], [Delete(f"op/evacuate/{domain}")])

    def cut_off_from_store(self, node: RelayNode) -> None:
        """Let all further calls of a node to the store fail."""

        async def fail(*_: Any, **__: Any) -> Failure[PlatformCallError]:
            return Failure(PlatformCallError(Verdict.MAY_HAVE_RUN, "cut off"))

        node.watcher.store._call = fail
        # Ends the watch that is under way.
        self.platform.store.write([], [Put("op/other", b"{}")])

    def put_config(self, config: dict[str, Any]) -> None:
        """Write the operator's configuration to the store."""
        self.platform.store.write([], [Put("op/config", orjson.dumps(config))])

    async def add_node(self, name: str) -> RelayNode:
        """Start a node and wait until it is ready and knows all backend servers."""
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
            "metrics_port": find_free_port(),
            **self._ingress,
        }
        settings = {
            "node": {"name": name, "failure_domain": domain, "address": HOST},
            "platform": {"endpoint": f"{HOST}:{self.platform_port}", "timeout": 1.0},
            "ingress": ingress,
            **self._settings,
        }
        node = RelayNode(
            Settings.model_validate(settings), LineWriter(self._null_file.fileno())
        )
        await node.start()
        self.nodes.append(node)
        async with asyncio.timeout(5):
            while not node.is_ready or len(node.cluster_state.servers) < len(
                self.backends
            ):
                await asyncio.sleep(0.01)
        return node

    async def close(self) -> None:
        """Stop the nodes, the backend servers and the platform."""
        for node in self.nodes:
            await node.close()
        for backend in self.backends.values():
            await backend.close()
        await self.servers.close()
        self._null_file.close()

    def make_request_id(self) -> str:
        """Return a new value for the ``Attempt-Id`` header."""
        return f"a{next(self._request_numbers)}"

    async def open(
        self, node: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the frontend address of a node, given by index."""
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
        """Send one request on a new connection and read the response.

        ``node`` is the index of the node. ``_`` in the names of ``headers`` is sent as
        ``-``.
        """
        request = make_request(
            method, path, request_id or self.make_request_id(), body, **headers
        )
        return await send_request(*self.nodes[node].ingress.frontend_address, request)


async def send_request(host: str, port: int, request: bytes) -> Reply:
    """Send an encoded request on a new connection and read the response."""
    reader, writer = await asyncio.open_connection(host, port)
    started_at = time.monotonic()
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
    """Encode a caller's request; ``_`` in header names is replaced by ``-``.

    A header with an empty value is left out, also if it is a default header.
    """
    fields = {
        "Host": ROUTE_HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": "2000",
        "Key": KEY,
        "Content-Length": str(len(body)),
    }
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one response; if the connection ends early, return the part received."""
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
