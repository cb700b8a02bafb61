"""TCP proxy on loopback that injects delays, resets and stalls."""

from __future__ import annotations

import asyncio
import contextlib

from ..demo import HOST

# Modes of the soak's random faults. Another one would change what its seeds replay.
MODES = ("reset", "silent", "deaf", "slow", "refuse")
SLOW_DELAY = 0.3  # seconds for each chunk in each direction
CHUNK_SIZE = 65_536  # bytes


class Link:
    """TCP proxy that forwards connections to one port.

    Parameters
    ----------
    target : int
        Target port on the loopback address.

    Attributes
    ----------
    mode : str
        ``"ok"`` forwards all data. ``"refuse"`` aborts new connections, ``"reset"``
        also the open ones. ``"silent"`` holds back the data of both directions and
        ``"deaf"`` that of the target, while the connections stay open. ``"hang-new"``
        accepts new connections and forwards nothing on them; open ones live on.
        ``"slow"`` delays all data.
    port : int
        Port on which the proxy listens.
    """

    def __init__(self, target: int) -> None:
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._mode_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.mode = "ok"
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port, or on the one used before."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Abort all connections and refuse new ones until the next start."""
        if self._server is not None:
            self._server.close()
        self._abort_all()

    def set_mode(self, mode: str) -> None:
        """Set the mode, which also applies to open connections."""
        self.mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode == "reset":
            self._abort_all()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and abort the open connections."""
        self.set_mode("ok")
        self.stop()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        while self.mode == "hang-new":
            await self._mode_changed.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, "out"),
                self._forward(target_reader, writer, "in"),
            )
        except (ConnectionError, OSError):
            writer.transport.abort()
            target_writer.transport.abort()
        finally:
            self._writers -= {writer, target_writer}
            for open_writer in (writer, target_writer):
                with contextlib.suppress(ConnectionError, OSError):
                    open_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        while True:
            data = await reader.read(CHUNK_SIZE)
            await self._apply_mode(direction)
            if not data:
                break
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def _apply_mode(self, direction: str) -> None:
        if self.mode == "slow":
            await asyncio.sleep(SLOW_DELAY)
        while self.mode == "silent" or (self.mode == "deaf" and direction == "in"):
            await self._mode_changed.wait()
