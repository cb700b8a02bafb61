"""Pool of idle connections to backend servers."""

from __future__ import annotations

import time
from collections.abc import Callable

from ._client import BackendConnection, open_connection

# Fraction of the server's keep-alive timeout for which an idle connection is reused;
# the rest allows for delays.
MAX_IDLE_FRACTION = 0.7
FRESH_IDLE_FRACTION = 0.25  # the same for requests that must not be sent twice
# Two failure domains are a few milliseconds apart. A lost packet is retransmitted after
# a second, which is longer than another server takes to respond.
CONNECT_TIMEOUT = 0.25  # seconds
MAX_IDLE_PER_SERVER = 32


class ConnectionPool:
    """Pool of idle connections by backend server, reused most recent first.

    Parameters
    ----------
    connect_timeout : float, default=0.25
        Timeout for opening a connection, in seconds.
    get_max_idle : callable or None, default=None
        Returns the largest number of idle connections to all servers; None for no limit
        beside that of each server.

    Attributes
    ----------
    n_opened : int
        Number of attempts to open a connection.
    """

    def __init__(
        self,
        *,
        connect_timeout: float = CONNECT_TIMEOUT,
        get_max_idle: Callable[[], int] | None = None,
    ) -> None:
        self._idle: dict[str, list[BackendConnection]] = {}
        self._connect_timeout = connect_timeout
        self._get_max_idle = get_max_idle
        self.n_opened = 0

    async def acquire(
        self,
        server_id: str,
        host: str,
        port: int,
        *,
        recent_only: bool = False,
        request_id: str = "",
    ) -> BackendConnection:
        """Take an idle connection from the pool or open a new one.

        Parameters
        ----------
        server_id : str
            Identity of the backend server, which changes at a restart.
        host : str
            IP address.
        port : int
            TCP port.
        recent_only : bool, default=False
            Whether to reuse only connections that were in use recently, for requests
            that must not be sent twice.
        request_id : str
            Identity of the request, which gets no connection that has carried it
            before; empty if it has none.

        Returns
        -------
        BackendConnection
            Connection without a request in progress.

        Raises
        ------
        ConnectFaultError
            If no connection could be established.
        """
        idle = self._idle.get(server_id, [])
        now = time.monotonic()
        for index in reversed(range(len(idle))):
            conn = idle[index]
            if not _is_reusable(conn, now):
                idle.pop(index).abort()
            elif recent_only and not _is_reusable(conn, now, recent_only=True):
                # The others have been idle even longer; they remain for requests that
                # may be sent twice.
                break
            elif not (request_id and conn.has_carried(request_id)):
                return idle.pop(index)
        self.n_opened += 1
        self._trim()
        return await open_connection(host, port, timeout=self._connect_timeout)

    def list_connected(self, *, recent_only: bool = False) -> frozenset[str]:
        """Return the servers to which an idle connection can be reused.

        Parameters
        ----------
        recent_only : bool, default=False
            Whether only connections count that were in use recently.

        Returns
        -------
        frozenset of str
            Ids of the servers.
        """
        now = time.monotonic()
        return frozenset(
            server_id
            for server_id, idle in self._idle.items()
            if idle and _is_reusable(idle[-1], now, recent_only=recent_only)
        )

    def release(self, server_id: str, conn: BackendConnection) -> None:
        """Return a connection to the pool after its response was read completely.

        Parameters
        ----------
        server_id : str
            Identity of the backend server.
        conn : BackendConnection
            Connection to the server.
        """
        if not conn.finish(time.monotonic()):
            return
        idle = self._idle.setdefault(server_id, [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            idle.pop(0).abort()
        idle.append(conn)

    def _trim(self) -> None:
        """Close the connections idle for longest if there are too many."""
        if self._get_max_idle is None:
            return
        n_excess = sum(map(len, self._idle.values())) - max(0, self._get_max_idle())
        for _ in range(n_excess):
            # Those of one server are in the order of their last use.
            oldest = min(
                (idle for idle in self._idle.values() if idle),
                key=lambda idle: idle[0].idle_since,
            )
            oldest.pop(0).abort()

    def close_server_connections(self, server_id: str) -> None:
        """Close all idle connections of a backend server.

        Parameters
        ----------
        server_id : str
            Identity of a server that has shut down or left the service.
        """
        for conn in self._idle.pop(server_id, ()):
            conn.abort()

    def close(self) -> None:
        """Close all idle connections to all servers."""
        for server_id in list(self._idle):
            self.close_server_connections(server_id)


def _is_reusable(
    conn: BackendConnection, now: float, *, recent_only: bool = False
) -> bool:
    fraction = FRESH_IDLE_FRACTION if recent_only else MAX_IDLE_FRACTION
    return conn.is_usable(now, max_idle_fraction=fraction)
