"""Socket options that detect connections whose peer is unreachable."""

from __future__ import annotations

import asyncio
import fcntl
import resource
import socket
import struct
import termios

KEEPALIVE_IDLE = 2  # seconds without traffic before the first keep-alive probe
KEEPALIVE_INTERVAL = 1  # seconds between probes
N_KEEPALIVE_PROBES = 2
# Maximum time that sent bytes stay unacknowledged. On Linux it also decides when
# unanswered probes end a connection, in place of their number.
USER_TIMEOUT_MS = 1000 * (KEEPALIVE_IDLE + KEEPALIVE_INTERVAL * N_KEEPALIVE_PROBES)
MAX_DESCRIPTORS = 65_536  # where the operating system allows more


def count_descriptors(max_descriptors: int | None = None) -> int:
    """Return the number of descriptors that the process may open.

    Parameters
    ----------
    max_descriptors : int or None, default=None
        Limit beside that of the operating system; None for no other limit.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if not 0 < allowed < MAX_DESCRIPTORS:  # resource.RLIM_INFINITY is negative
        allowed = MAX_DESCRIPTORS
    return min(allowed, max_descriptors or allowed)


def set_liveness_options(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close a connection whose peer is unreachable.

    Parameters
    ----------
    transport : asyncio.BaseTransport
        An open TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES)


def count_undelivered(transport: asyncio.Transport) -> int:
    """Return the number of written bytes that the peer's kernel has not acknowledged.

    Parameters
    ----------
    transport : asyncio.Transport
        An open TCP connection.

    Returns
    -------
    int
        Number of bytes; those in the kernel are left out where it does not tell them.
    """
    n_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None:
        return n_bytes
    try:
        row = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return n_bytes
    return n_bytes + struct.unpack("i", row)[0]
