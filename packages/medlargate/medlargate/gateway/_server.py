"""Runs a node's HTTP server and shuts it down gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import socket
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn
from starlette.types import ASGIApp

from .._allocator import make_deferred_return
from .._settings import LimitsSection
from ..policy import divide_descriptors
from ..transport import CallerMemory, ConnectionLimit, count_descriptors
from ._caller_protocol import CallerLimits, CallerProtocol
from ._node import Node

log = logging.getLogger(__name__)

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# Seconds between closing the listeners and closing idle connections.
LISTENER_GRACE = 0.5


class _Server(uvicorn.Server):
    """uvicorn server that installs no signal handlers.

    Notes
    -----
    Listeners are closed ``LISTENER_GRACE`` before idle connections, so that a
    request on a connection that was just accepted is still read and answered.
    """

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        for listener in self.servers:
            listener.close()
        if not self.force_exit:
            await asyncio.sleep(LISTENER_GRACE)
        await super().shutdown(sockets)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def make_server(
    app: ASGIApp,
    host: str,
    port: int,
    *,
    drain_timeout: float = 60.0,
    max_connections: int | None = None,
    limits: LimitsSection | None = None,
    on_evicted: Callable[[str], None] = lambda limit: None,
) -> uvicorn.Server:
    """Make an HTTP server that installs no signal handlers.

    Parameters
    ----------
    app : ASGI application
        Application to serve.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 for any free port.
    drain_timeout : float, default=60.0
        Seconds that running requests have to finish during a shutdown.
    max_connections : int or None, default=None
        Number of connections that may be open at the same time; None for any number.
    limits : LimitsSection or None, default=None
        Size limits of requests; None for the defaults.
    on_evicted : callable
        Called with the name of the limit for each connection that is closed because
        callers hold too much.

    Returns
    -------
    uvicorn.Server
        Server to be started with ``await server.serve()``.
    """
    limits = limits or LimitsSection()
    shared = CallerLimits(
        connections=ConnectionLimit(max_connections),
        # A single request within the limits is served when nothing else is held.
        memory=CallerMemory(
            max_bytes=max(limits.max_caller_bytes, limits.max_body_bytes),
            on_freed=make_deferred_return(),
        ),
        max_header_bytes=limits.max_header_bytes,
        on_evicted=on_evicted,
    )

    def make_connection(**options: Any) -> CallerProtocol:
        return CallerProtocol(shared, **options)

    cfg = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http=make_connection,  # type: ignore[arg-type]
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        server_header=False,
        backlog=BACKLOG,
        timeout_keep_alive=30,
        timeout_graceful_shutdown=int(drain_timeout) or 1,
    )
    return _Server(cfg)


async def wait_started(server: uvicorn.Server) -> int:
    """Wait until a server accepts connections.

    Parameters
    ----------
    server : uvicorn.Server
        Server from ``make_server`` whose ``serve`` is running.

    Returns
    -------
    int
        TCP port that the server listens on.
    """
    while not server.started:
        await asyncio.sleep(0.01)
    return server.servers[0].sockets[0].getsockname()[1]


async def run_node(node: Node, app: ASGIApp) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully.

    Parameters
    ----------
    node : Node
        Node to start and close.
    app : ASGI application
        HTTP interface of the node.

    Notes
    -----
    After the first signal the node reports not ready, waits for the load balancer,
    closes the listeners and lets running requests finish. A second signal or the
    drain timeout ends the wait.
    """
    settings = node.settings
    server = make_server(
        app,
        str(settings.node.address),
        settings.node.port,
        drain_timeout=settings.stop.drain_timeout,
        max_connections=divide_descriptors(count_descriptors()).frontend,
        limits=settings.limits,
        on_evicted=lambda limit: node.metrics.observe_event(f"evicted_{limit}"),
    )
    stopping = asyncio.Event()
    force_stop = asyncio.Event()

    def on_signal() -> None:
        if stopping.is_set():
            force_stop.set()
            server.force_exit = True
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    loop.add_signal_handler(
        signal.SIGHUP, log.info, "settings are read at the next start only"
    )
    await node.start()
    serving = asyncio.create_task(server.serve())
    stop_wait = asyncio.create_task(stopping.wait())
    await asyncio.wait({serving, stop_wait}, return_when=asyncio.FIRST_COMPLETED)
    drain = asyncio.create_task(node.drain())
    force_stop_wait = asyncio.create_task(force_stop.wait())
    await asyncio.wait({drain, force_stop_wait}, return_when=asyncio.FIRST_COMPLETED)
    server.should_exit = True
    await serving
    if node.states.chart.allows(node.states.state, "drained"):
        node.states.observe("drained")
    await node.close()
    for task in (stop_wait, force_stop_wait, drain):
        task.cancel()
