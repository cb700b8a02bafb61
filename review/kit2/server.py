"""Stand-in of a server, as a process of its own.

Usage: python3 -m kit2.server HOST PORT ID MODE WORK_MS

MODE is ``sound``, or ``endless`` for a server whose answers to requests have bodies
without end. Lines on standard output name the requests that were run.
"""

from __future__ import annotations

import asyncio
import sys
import time

from . import http1

BODY = b"certificate valid\n" * 44
ENDLESS_RATE = 4_000_000  # bytes per second of one endless body
TICK = 0.02  # seconds between two writes of it


class Server:
    """Plain server that runs each request for a while."""

    def __init__(self, server_id: str, mode: str, work: float) -> None:
        self.server_id, self.mode, self.work = server_id, mode, work

    async def handle(
        self,
        req: http1.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request or a liveness check."""
        req.body = await http1.read_body(reader, req)
        request_id = req.headers.get("attempt-id", "")
        if not request_id:
            headers = {"Instance-Id": self.server_id}
            writer.write(http1.make_response(200, headers, b""))
            await writer.drain()
            return True
        print(f"{time.monotonic():.3f} run {request_id}", flush=True)
        if self.mode == "endless":
            await self._answer_without_end(request_id, writer)
            return False
        await asyncio.sleep(self.work)
        headers = {"Attempt-Id": request_id, "Response-Seal": f"seal.{self.server_id}"}
        writer.write(http1.make_response(200, headers, BODY))
        await writer.drain()
        return True

    async def _answer_without_end(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Send a body in chunks of one byte until the caller closes."""
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
        head += "Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        block = b"1\r\n\x00\r\n" * int(ENDLESS_RATE * TICK / 6)
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(TICK)


async def main() -> None:
    """Serve until the process is ended."""
    host, port, server_id, mode, work = sys.argv[1:6]
    server = Server(server_id, mode, float(work) / 1000)
    await http1.serve(server.handle, host, int(port))
    print("listening", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
