"""Idle connections to backend servers, kept for the next request."""

from __future__ import annotations

import time

from ._client import BackendConnection, open_connection

MAX_IDLE_FRACTION = 0.7  # of what the server allows; the rest covers delays
FRESH_IDLE_FRACTION = 0.25  # for requests that may not be sent twice
# Two domains are a few milliseconds apart; a lost packet is sent again after a second,
# which is longer than another server takes to answer.
CONNECT_TIMEOUT = 0.25  # seconds
MAX_IDLE_PER_SERVER = 32


class ConnectionPool:
    """Connections by backend server, the most recently used first.

    Parameters
    ----------
    connect_timeout : float, default=0.25
        Seconds for a new connection.
    """

    def __init__(self, *, connect_timeout: float = CONNECT_TIMEOUT) -> None:
        self._idle: dict[str, list[BackendConnection]] = {}
        self._connect_timeout = connect_timeout
        self.n_opened = 0

    async def acquire(
        self, server_id: str, host: str, port: int, *, fresh: bool = False
    ) -> BackendConnection:
        """Take an idle connection or open one.

        Parameters
        ----------
        server_id : str
            The backend server's identity; a restarted server has another one.
        host : str
            IP number.
        port : int
            TCP port.
        fresh : bool, default=False
            Only a connection that was in use a moment ago, or a new one.

        Returns
        -------
        BackendConnection
            Without a request on it.

        Raises
        ------
        ConnectFaultError
            No connection came about.
        """
        fraction = FRESH_IDLE_FRACTION if fresh else MAX_IDLE_FRACTION
        idle = self._idle.get(server_id, [])
        now = time.monotonic()
        while idle:
            conn = idle.pop()
            if conn.is_usable(now, max_idle=fraction):
                return conn
            conn.abort()
        self.n_opened += 1
        return await open_connection(host, port, timeout=self._connect_timeout)

    def release(self, server_id: str, conn: BackendConnection) -> None:
        """Give back a connection whose answer was read whole.

        Parameters
        ----------
        server_id : str
            The backend server.
        conn : BackendConnection
            Its connection.
        """
        if not conn.finish(time.monotonic()):
            return
        idle = self._idle.setdefault(server_id, [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            idle.pop(0).abort()
        idle.append(conn)

    def forget(self, server_id: str) -> None:
        """Close all idle connections of a backend server.

        Parameters
        ----------
        server_id : str
            A server that left.
        """
        for conn in self._idle.pop(server_id, ()):
            conn.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for server_id in list(self._idle):
            self.forget(server_id)
