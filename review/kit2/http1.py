"""Minimal HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAX_HEAD = 131_072


@dataclass
class Message:
    """Request or response with its headers in lower case.

    Attributes
    ----------
    start : list of str
        The three words of the first line.
    headers : dict of str to str
        Values by name in lower case; the last one of a repeated header.
    body : bytes
        Complete body.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a first line and headers; return None at the end of the data."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    message = Message([*lines[0].split(" ", 2), "", ""][:3])
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body of a message by its length or chunks; raise if it is incomplete."""
    if "chunked" in message.headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    length = int(message.headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def make_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    rows = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    rows += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body


Handler = Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve requests; the handler reads the body and returns whether to go on."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                if not await handler(message, reader, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    return await asyncio.start_server(
        on_connection, host, port, limit=MAX_HEAD, backlog=512
    )


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout: float = 10.0,
) -> Message | None:
    """Send a request on a new connection; return None if no whole answer comes."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD)
            rows = [f"{method} {target} HTTP/1.1"]
            rows += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                rows.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(rows).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            answer = await read_head(reader)
            if answer is not None:
                answer.body = await read_body(reader, answer)
            return answer
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
