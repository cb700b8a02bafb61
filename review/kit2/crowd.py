"""Stand-in of clients that upload bodies in chunks of one byte.

Usage: python3 -m kit2.crowd HOST PORT N_CLIENTS
"""

from __future__ import annotations

import asyncio
import sys

from . import http1

BODY_SIZE = 1_000_000  # bytes, under the MaxBodyBytes of 4,194,304
RATE = 500_000  # bytes per second of one client, framing included
TICK = 0.05  # seconds between two writes
CHUNK = b"1\r\nx\r\n"


async def upload(host: str, port: int, client: int) -> None:
    """Send one upload after another, each on a new connection."""
    number = 0
    while True:
        number += 1
        request_id = f"u{client:02d}{number:04d}"
        try:
            reader, writer = await asyncio.open_connection(host, port)
            head = "POST /upload/one HTTP/1.1\r\nHost: records.example\r\n"
            head += f"Attempt-Id: {request_id}\r\nDeadline-Ms: 3000\r\n"
            writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            n_chunks = int(RATE * TICK / len(CHUNK))
            for _ in range(BODY_SIZE // n_chunks):
                writer.write(CHUNK * n_chunks)
                await writer.drain()
                await asyncio.sleep(TICK)
            writer.write(b"0\r\n\r\n")
            answer = await http1.read_head(reader)
            status = answer.status if answer is not None else "no answer"
            writer.close()
        except OSError as exc:
            status = repr(exc)
            await asyncio.sleep(0.5)
        print(f"upload {request_id}: {status}", flush=True)


async def main() -> None:
    """Run all clients until the process is ended."""
    host, port, n_clients = sys.argv[1:4]
    await asyncio.gather(
        *(upload(host, int(port), number) for number in range(int(n_clients)))
    )


if __name__ == "__main__":
    asyncio.run(main())
