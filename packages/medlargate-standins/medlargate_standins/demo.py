"""Demo: a node with simulated engines, plain service and platform in one process."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import secrets
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import IO

from medlargate._settings import Settings
from medlargate.fleet import ConfigReplica, SeedFile
from medlargate.gateway import (
    Node,
    compute_digest,
    make_app,
    make_server,
    wait_started,
)
from starlette.types import ASGIApp

from ._memory_store import MemoryStoreClient
from .engine import Engine, make_engine_app
from .platform import Platform, make_platform_app
from .service import Service, make_service_app

HOST = "127.0.0.1"
LISTEN_PORTS = range(12_000, 30_000)  # below the ephemeral ports of the kernel
MAX_RESERVED_PORTS = 200  # of a process, each with an open file
_reserved_ports: deque[IO[str]] = deque()


class Servers:
    """Runs several HTTP servers in one event loop, each on its own port."""

    def __init__(self) -> None:
        self._running: list[tuple] = []

    async def start(self, app: ASGIApp, port: int = 0) -> int:
        """Start a server and return its port; ``port=0`` selects a free port."""
        server = make_server(app, HOST, port, drain_timeout=1.0)
        task = asyncio.create_task(server.serve())
        started = asyncio.create_task(wait_started(server))
        await asyncio.wait({task, started}, return_when=asyncio.FIRST_COMPLETED)
        if not started.done():
            started.cancel()
            raise OSError(f"port {port} can't be opened")
        self._running.append((server, task))
        return started.result()

    async def close(self) -> None:
        """Stop all servers."""
        for server, _ in reversed(self._running):
            server.should_exit = True
            server.force_exit = True
        tasks = [task for _, task in self._running]
        await asyncio.gather(*tasks, return_exceptions=True)


def make_demo_seed(
    engine_ports: list[int], service_ports: list[int], secret: str, operator: str
) -> SeedFile:
    """Create the demo's configuration.

    Parameters
    ----------
    engine_ports, service_ports : list of int
        TCP ports of the simulated engines and plain services.
    secret, operator : str
        Secrets of the caller's key and of the operator's key.

    Returns
    -------
    SeedFile
        Configuration with two chat routes and two plain routes.
    """
    backends = {
        f"engine-{index}": {
            "address": HOST,
            "port": port,
            "pools": ["demo-model"],
            "failure_domain": "fd-a",
        }
        for index, port in enumerate(engine_ports, 1)
    }
    for index, port in enumerate(service_ports, 1):
        backends[f"service-{index}"] = {
            "address": HOST,
            "port": port,
            "pools": ["booking"],
            "failure_domain": "fd-a",
            "kind": "plain",
        }
    plain = {"kind": "plain", "request_class": "interactive", "pool": "booking"}
    return SeedFile.model_validate(
        {
            "customers": {"demo": {}},
            "keys": {
                "demo-key": {"customer": "demo", "digest": compute_digest(secret)},
                "demo-operator": {
                    "digest": compute_digest(operator),
                    "role": "write",
                },
            },
            "classes": {
                "interactive": {"tier": 0},
                "batch": {"tier": 3, "first_token": 20.0, "token_interval": 0.1},
            },
            "routes": {
                "demo-chat": {"request_class": "interactive", "pool": "demo-model"},
                "demo-batch": {"request_class": "batch", "pool": "demo-model"},
                "catalogue": {**plain, "open": True},
                "bookings": {**plain, "repeatable": False},
            },
            "backends": backends,
        }
    )


async def seed_platform(platform: Platform, seed: SeedFile) -> None:
    """Write a configuration to the store of a simulated platform in this process.

    Parameters
    ----------
    platform : Platform
        Simulated platform.
    seed : SeedFile
        Configuration to write.
    """
    replica = ConfigReplica(time.monotonic)
    store = MemoryStoreClient(platform.store)
    result = await replica.commit(store, seed.make_operations(), change_id="seed")
    result.unwrap()


def find_free_port() -> int:
    """Find a free TCP port below those that the kernel gives to connections.

    The port is reserved among the processes that use this function, by a lock that
    lasts until the process ends or has found ``MAX_RESERVED_PORTS`` others.

    Returns
    -------
    int
        Port number.
    """
    while True:
        port = secrets.choice(LISTEN_PORTS)
        folder = Path(tempfile.gettempdir(), "medlargate-ports")
        folder.mkdir(exist_ok=True)
        lock = (folder / str(port)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket() as sock:
                sock.bind((HOST, port))
        except OSError:
            lock.close()
            continue
        if len(_reserved_ports) == MAX_RESERVED_PORTS:
            _reserved_ports.popleft().close()
        _reserved_ports.append(lock)
        return port


async def run_demo(port: int) -> None:
    """Run the demo until SIGINT or SIGTERM.

    Parameters
    ----------
    port : int
        TCP port of the node; 0 for any free port.
    """
    port = port or find_free_port()
    servers = Servers()
    platform = Platform()
    platform_port = await servers.start(make_platform_app(platform))
    engine_ports = [await servers.start(make_engine_app(Engine())) for _ in range(2)]
    service_ports = [await servers.start(make_service_app(Service()))]
    secret = "mlg-" + secrets.token_urlsafe(24)
    operator = "mlg-op-" + secrets.token_urlsafe(24)
    seed = make_demo_seed(engine_ports, service_ports, secret, operator)
    await seed_platform(platform, seed)
    settings = Settings.model_validate(
        {
            "node": {
                "name": "demo",
                "failure_domain": "fd-a",
                "address": HOST,
                "port": port,
            },
            "platform": {"address": HOST, "port": platform_port},
            "stop": {"balancer_delay": 0.0},
        }
    )
    node = Node(settings)
    try:
        node_port = await servers.start(make_app(node), port)
    except OSError as exc:
        print(str(exc), file=sys.stderr)
        await servers.close()
        sys.exit(1)
    await node.start()
    while not node.ready:
        await asyncio.sleep(0.01)
    access = {
        "address": f"http://{HOST}:{node_port}",
        "key": secret,
        "operator_key": operator,
    }
    print(json.dumps(access), flush=True)
    await _wait_signal()
    await node.drain()
    await node.close()
    with contextlib.suppress(asyncio.CancelledError):
        await servers.close()


async def _wait_signal() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
