"""A loopback proxy of one TCP link, which delays, resets, cuts or silences it."""

from __future__ import annotations

import asyncio
import contextlib

from ..demo import HOST

MODES = ("reset", "silent", "deaf", "slow", "refuse")
SLOW_DELAY = 0.3  # seconds, each piece each way
CHUNK_SIZE = 65_536  # bytes


class Link:
    """Forwards connections to one port.

    Parameters
    ----------
    target : int
        Port on the loopback address.

    Attributes
    ----------
    mode : str
        ``"ok"``; ``"reset"`` and ``"refuse"`` end new connections, the first one
        open ones as well; ``"silent"`` holds bytes back both ways and ``"deaf"``
        those of the target, without a sign; ``"slow"`` delays them.
    port : int
        Where it listens.
    """

    def __init__(self, target: int) -> None:
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._mode_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.mode = "ok"
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_mode(self, mode: str) -> None:
        """Change what happens to the link's bytes from now on."""
        self.mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode == "reset":
            self._abort_all()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.set_mode("ok")
        self._abort_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        try:
            await asyncio.gather(
                self._forward(reader, back, "out"), self._forward(there, writer, "in")
            )
        except (ConnectionError, OSError):
            writer.transport.abort()
            back.transport.abort()
        finally:
            self._writers -= {writer, back}
            for end in (writer, back):
                with contextlib.suppress(ConnectionError, OSError):
                    end.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str
    ) -> None:
        while True:
            data = await reader.read(CHUNK_SIZE)
            await self._apply_mode(way)
            if not data:
                break
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def _apply_mode(self, way: str) -> None:
        if self.mode == "slow":
            await asyncio.sleep(SLOW_DELAY)
        while self.mode == "silent" or (self.mode == "deaf" and way == "in"):
            await self._mode_changed.wait()
