"""Runs a node's HTTP server until a planned stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from ._node import Node

BACKLOG = 1024
LISTENER_GRACE = 0.5  # seconds


class _Server(uvicorn.Server):
    """uvicorn's server without signal handlers of its own.

    Notes
    -----
    Listeners close before idle connections do: what was just accepted still gets
    its request read and answered.
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
    app: ASGIApp, host: str, port: int, *, drain_timeout: float = 60.0
) -> uvicorn.Server:
    """Make an HTTP server that leaves signals alone.

    Parameters
    ----------
    app : ASGI application
        What to serve.
    host : str
        IP number.
    port : int
        TCP port; 0 for any.
    drain_timeout : float, default=60.0
        Seconds that running requests get at a stop.

    Returns
    -------
    uvicorn.Server
        Start it with ``await server.serve()``.
    """
    cfg = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http="httptools",
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
    """Wait until a server listens.

    Parameters
    ----------
    server : uvicorn.Server
        From ``make_server``, being served.

    Returns
    -------
    int
        Its TCP port.
    """
    while not server.started:
        await asyncio.sleep(0.01)
    return server.servers[0].sockets[0].getsockname()[1]


async def run_node(node: Node, app: ASGIApp) -> None:
    """Serve until SIGTERM or SIGINT, then stop without cutting a request.

    Parameters
    ----------
    node : Node
        The node.
    app : ASGI application
        Its interface.

    Notes
    -----
    The first signal turns readiness off, waits for the balancer, closes the
    listeners and lets running requests finish. A second one, or the drain timeout,
    ends the wait.
    """
    settings = node.settings
    server = make_server(
        app,
        str(settings.node.address),
        settings.node.port,
        drain_timeout=settings.stop.drain_timeout,
    )
    stopping = asyncio.Event()
    hurry = asyncio.Event()

    def on_signal() -> None:
        if stopping.is_set():
            hurry.set()
            server.force_exit = True
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await node.start()
    serving = asyncio.create_task(server.serve())
    stop_wait = asyncio.create_task(stopping.wait())
    await asyncio.wait({serving, stop_wait}, return_when=asyncio.FIRST_COMPLETED)
    drain = asyncio.create_task(node.drain())
    hurry_wait = asyncio.create_task(hurry.wait())
    await asyncio.wait({drain, hurry_wait}, return_when=asyncio.FIRST_COMPLETED)
    server.should_exit = True
    await serving
    if node.states.chart.allows(node.states.state, "drained"):
        node.states.observe("drained")
    await node.close()
    for task in (stop_wait, hurry_wait, drain):
        task.cancel()
