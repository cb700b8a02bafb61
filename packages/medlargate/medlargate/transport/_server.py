"""HTTP/1.1 server for callers, which reports when a caller disconnects."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Callable

from ..routing import IngressLimits
from ._caller_connection import CallerConnection
from ._caller_memory import CallerMemory
from ._connection_limit import ConnectionLimit, Wait
from ._disconnect_watch import DisconnectWatch
from ._responder import Handler

BACKLOG = 1024  # connections that wait to be accepted
# The event loop accepts up to this many connections before it handles any of them.
ACCEPT_BATCH = 32
READ_SIZE = 16_384  # bytes that are read from a connection at once


class IngressServer:
    """HTTP/1.1 server for callers.

    Parameters
    ----------
    handler : callable
        Coroutine function, called with each request and its ``Responder``.
    limits : callable
        Returns the current ``IngressLimits``.
    max_connections : int or None, default=None
        Number of connections that may be open at the same time; None for any number.
        A further connection closes one that waits for a request or for its caller to
        read; if there is none, it is closed itself.
    memory : CallerMemory or None, default=None
        Memory of bodies and unread answers, which servers may share; None for one of
        its own.
    socket_buffer : int or None, default=None
        Size of the buffers of each socket, in bytes; None for what the kernel chooses.

    Attributes
    ----------
    draining : bool
        Whether responses carry ``Connection: close``.
    connections : set of CallerConnection
        Open connections.
    tasks : set of asyncio.Task
        Tasks of the requests that are being handled.
    read_buffer : memoryview
        Buffer into which the connections are read, one at a time.
    memory : CallerMemory
        Memory of bodies and unread answers.
    disconnects : DisconnectWatch
        Watch over the connections from which nothing is read.
    n_evicted : Counter
        Number of connections that were closed because of a limit, by its name:
        ``"connections"``, ``"memory"`` or ``"unread_answer"``.
    on_evicted : callable
        Called with the name of the limit for each of them.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        *,
        max_connections: int | None = None,
        memory: CallerMemory[CallerConnection] | None = None,
        socket_buffer: int | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.connections: set[CallerConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.read_buffer = memoryview(bytearray(READ_SIZE))
        self.disconnects = DisconnectWatch()
        self.n_evicted: Counter[str] = Counter()
        self.on_evicted: Callable[[str], None] = lambda limit: None
        self.memory = memory if memory is not None else CallerMemory()
        self._socket_buffer = socket_buffer
        self._limit: ConnectionLimit[CallerConnection] = ConnectionLimit(
            max_connections
        )
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening for connections.

        Parameters
        ----------
        host : str
            IP address to listen on.
        port : int
            TCP port to listen on; 0 for any free port.

        Returns
        -------
        int
            Port that the server listens on.
        """
        loop = asyncio.get_running_loop()
        listener = _open_listener(host, port, self._socket_buffer)
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=listener, backlog=ACCEPT_BATCH
        )
        # The event loop uses one number for its batch and for the queue of the kernel.
        listener.listen(BACKLOG)
        return listener.getsockname()[1]

    def add(self, conn: CallerConnection) -> None:
        """Register a new connection; close another one if there are too many."""
        now = asyncio.get_running_loop().time()
        self.connections.add(conn)
        excess = self._limit.add(conn, len(self.connections), now=now)
        if excess is not None:
            self.observe_evicted("connections")
            self.discard(excess)
            excess.evict()

    def discard(self, conn: CallerConnection) -> None:
        """Unregister a connection; nothing happens if it is not registered."""
        self.connections.discard(conn)
        self._limit.observe(conn, None, now=0.0)

    def observe_evicted(self, limit: str) -> None:
        """Count a connection that is closed because of a limit."""
        self.n_evicted[limit] += 1
        self.on_evicted(limit)

    def observe_wait(self, conn: CallerConnection, wait: Wait | None) -> None:
        """Record what a connection waits for; None while a request is in progress."""
        if conn in self.connections:
            self._limit.observe(conn, wait, now=asyncio.get_running_loop().time())

    async def stop_listening(self) -> None:
        """Stop accepting connections. Open connections are kept.

        Connections whose handshake is complete are accepted first: closing a listening
        socket resets those that wait in its queue, with the requests that their callers
        have already sent.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        server, self._server = self._server, None
        listeners = []
        for sock in server.sockets:
            loop.remove_reader(sock.fileno())
            listeners.append(sock.dup())
        # The event loop attaches a connection one turn after it has accepted it, and
        # fails to do so once the server is closed.
        for _ in range(2):
            await asyncio.sleep(0)
        server.close()
        for listener in listeners:
            listener.setblocking(False)
            with listener, contextlib.suppress(BlockingIOError):
                while True:
                    accepted, _ = listener.accept()
                    accepted.setblocking(False)
                    await loop.connect_accepted_socket(
                        lambda: CallerConnection(self), accepted
                    )

    def close_idle(self) -> None:
        """Close the connections from which no request is expected."""
        for conn in list(self.connections):
            if not conn.awaits_request:
                conn.close_if_idle()

    async def close(self) -> None:
        """Stop listening, abort open connections and cancel requests in progress."""
        await self.stop_listening()
        for conn in list(self.connections):
            conn.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _open_listener(
    host: str, port: int, buffer_size: int | None = None
) -> socket.socket:
    """Open a socket that is bound to an address; connections inherit its buffers."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if buffer_size is not None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_size)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_size)
    try:
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
