"""Heartbeats over UDP as compressed JSON, authenticated by a keyed digest."""

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
MAX_JSON_BYTES = 1_000_000
COMPRESSION_LEVEL = 3


def _decompress(body: bytes) -> bytes:
    """Decompress the body of a datagram to at most ``MAX_JSON_BYTES``."""
    return zlib.decompressobj().decompress(body, MAX_JSON_BYTES)


class HeartbeatSocket(asyncio.DatagramProtocol):
    """UDP socket that sends and receives heartbeats.

    Parameters
    ----------
    secret : str
        Secret shared by all nodes; datagrams whose digest was not computed with the
        secret are dropped.
    on_heartbeat : callable
        Called with each valid heartbeat.
    """

    def __init__(self, secret: str, on_heartbeat: Callable[[Heartbeat], None]) -> None:
        self._key = secret.encode()[:64]
        self._on_heartbeat = on_heartbeat
        self._transport: asyncio.DatagramTransport | None = None
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.n_sent = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport when the socket is open.

        Parameters
        ----------
        transport : asyncio.DatagramTransport
            Transport of the socket.
        """
        self._transport = transport

    def _compute_digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=DIGEST_BYTES).digest()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verify and parse a datagram and pass on its heartbeat.

        Parameters
        ----------
        data : bytes
            Digest, followed by compressed JSON.
        addr : tuple of (str, int)
            IP address and port of the sender.
        """
        self.n_bytes_received += len(data)
        digest, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._compute_digest(body)):
            return
        try:
            heartbeat = Heartbeat.model_validate_json(_decompress(body))
        except (ValidationError, zlib.error):
            log.warning("malformed heartbeat", extra={"sender": addr[0]})
            return
        self._on_heartbeat(heartbeat)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as a closed port; missing heartbeats reveal a dead peer.

        Parameters
        ----------
        exc : Exception
            Error that the socket reported.
        """

    def send(self, address: tuple[str, int], heartbeat: Heartbeat) -> None:
        """Send a heartbeat.

        A heartbeat over ``MAX_DATAGRAM_BYTES`` is dropped, as is one that is sent
        before the socket is open.

        Parameters
        ----------
        address : tuple of (str, int)
            IP address and port of the receiver.
        heartbeat : Heartbeat
            Heartbeat to send.
        """
        text = heartbeat.model_dump_json(exclude_defaults=True).encode()
        body = zlib.compress(text, COMPRESSION_LEVEL)
        if self._transport is None or len(body) > MAX_DATAGRAM_BYTES:
            return
        data = self._compute_digest(body) + body
        self.n_bytes_sent += len(data)
        self.n_sent += 1
        self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
