"""Heartbeats over UDP, as compressed JSON with a keyed digest."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import logging
import zlib
from collections.abc import Callable

from pydantic import ValidationError

from ..fleet import Heartbeat

log = logging.getLogger(__name__)

DIGEST_BYTES = 12
MAX_DATAGRAM_BYTES = 60_000
MAX_TEXT_BYTES = 1_000_000
COMPRESSION_LEVEL = 3


def _inflate(body: bytes) -> bytes:
    """Decompress a datagram, but no more than the largest heartbeat."""
    return zlib.decompressobj().decompress(body, MAX_TEXT_BYTES)


class HeartbeatLink(asyncio.DatagramProtocol):
    """The node's UDP socket.

    Parameters
    ----------
    secret : str
        Shared by the nodes; datagrams with another digest are dropped.
    observe : callable
        Gets each valid heartbeat.
    """

    def __init__(self, secret: str, observe: Callable[[Heartbeat], None]) -> None:
        self._key = secret.encode()[:64]
        self._observe = observe
        self._transport: asyncio.DatagramTransport | None = None
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.n_sent = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport.

        Parameters
        ----------
        transport : asyncio.DatagramTransport
            The socket's.
        """
        self._transport = transport

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=DIGEST_BYTES).digest()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Check a datagram and pass it on.

        Parameters
        ----------
        data : bytes
            Digest and JSON.
        addr : tuple of (str, int)
            Sender.
        """
        self.n_bytes_received += len(data)
        digest, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(body)):
            return
        try:
            heartbeat = Heartbeat.model_validate_json(_inflate(body))
        except (ValidationError, zlib.error):
            log.warning("malformed heartbeat", extra={"sender": addr[0]})
            return
        self._observe(heartbeat)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's port is closed; its silence says enough.

        Parameters
        ----------
        exc : Exception
            What the socket reported.
        """

    def send(self, address: tuple[str, int], heartbeat: Heartbeat) -> None:
        """Send a heartbeat.

        Parameters
        ----------
        address : tuple of (str, int)
            IP number and port.
        heartbeat : Heartbeat
            What to send.
        """
        text = heartbeat.model_dump_json(exclude_defaults=True).encode()
        body = zlib.compress(text, COMPRESSION_LEVEL)
        if self._transport is None or len(body) > MAX_DATAGRAM_BYTES:
            return
        data = self._digest(body) + body
        self.n_bytes_sent += len(data)
        self.n_sent += 1
        self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
