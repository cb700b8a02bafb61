"""Crowds of clients that send much, send slowly or read nothing.

A crowd runs in the event loop of its test. It is bounded in connections, in bytes and
in the time that a client waits for the node to take its next bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

BLOCK_SIZE = 65_536  # bytes that a client sends at once
# A client whose bytes are not taken within this time sends nothing more.
STALL_TIME = 2.0  # seconds
# Answers fill a small buffer soon, as with a client that reads nothing.
RECEIVE_BUFFER = 4_096  # bytes


class Crowd:
    """Connections to one address whose clients read no answers.

    Parameters
    ----------
    host : str
        IP address of the node.
    port : int
        TCP port of the node.
    n_clients : int
        Number of connections.

    Attributes
    ----------
    n_sent : int
        Bytes that the node's machine has taken from all clients.
    """

    def __init__(self, host: str, port: int, *, n_clients: int) -> None:
        self._address = host, port
        self._n_clients = n_clients
        self._socks: list[socket.socket] = []
        self.n_sent = 0

    async def pipeline(self, request: bytes, *, n_bytes: int) -> None:
        """Send a request again and again on each connection.

        Parameters
        ----------
        request : bytes
            Complete request.
        n_bytes : int
            Bytes that each client sends at most.
        """
        block = request * max(1, BLOCK_SIZE // len(request))
        await self._send_all([block] * -(-n_bytes // len(block)))

    async def send(self, data: bytes) -> None:
        """Send data once on each connection; nothing if it is empty."""
        blocks = range(0, len(data), BLOCK_SIZE)
        await self._send_all([data[start : start + BLOCK_SIZE] for start in blocks])

    async def _send_all(self, blocks: list[bytes]) -> None:
        await asyncio.gather(*(self._run(blocks) for _ in range(self._n_clients)))

    async def _run(self, blocks: list[bytes]) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._socks.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        # The node may refuse the connection, close it or stop reading from it.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(STALL_TIME):
                await loop.sock_connect(sock, self._address)
            for block in blocks:
                async with asyncio.timeout(STALL_TIME):
                    await loop.sock_sendall(sock, block)
                self.n_sent += len(block)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._socks:
            sock.close()
        self._socks.clear()
