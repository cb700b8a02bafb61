"""Shares of a process's descriptors and memory that callers may take."""

from __future__ import annotations

from dataclasses import dataclass

# Smaller buffers slow down single connections over long distances.
MIN_SOCKET_BUFFER = 32_768  # bytes
MAX_SOCKET_BUFFER = 262_144  # bytes
# A body may come in chunks of a few bytes, but not in such that are mostly extensions.
MAX_FRAMING_FACTOR = 32
MAX_FRAMING_BYTES = 65_536  # beside the factor


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Largest numbers of open connections by address.

    Attributes
    ----------
    frontend, readiness, metrics, peers : int
        Connections of callers, of the load balancer, of readers of metrics and of other
        nodes.
    servers : int
        Connections to servers, kept ones included.
    """

    frontend: int
    readiness: int
    metrics: int
    peers: int
    servers: int


def divide_descriptors(n_descriptors: int) -> ConnectionLimits:
    """Divide a process's descriptors, so that no caller takes those of the others.

    A request in progress takes a connection of its caller and one to a server. The
    store, connections to peers and files have three of 32 descriptors.

    Parameters
    ----------
    n_descriptors : int
        Number of descriptors that the process may open.

    Returns
    -------
    ConnectionLimits
        Limits, together at most 29 of 32 descriptors.

    Examples
    --------
    >>> divide_descriptors(1024)
    ConnectionLimits(frontend=512, readiness=64, metrics=64, peers=128, servers=160)
    """
    return ConnectionLimits(
        frontend=n_descriptors // 2,
        readiness=n_descriptors // 16,
        metrics=n_descriptors // 16,
        peers=n_descriptors // 8,
        servers=n_descriptors * 5 // 32,
    )


def compute_socket_buffer(n_bytes: int, max_connections: int) -> int:
    """Return the size of a socket's buffers, which count as memory of the machine.

    Parameters
    ----------
    n_bytes : int
        Memory that the buffers of all connections may take in one direction, in bytes.
    max_connections : int
        Number of connections that may be open.

    Returns
    -------
    int
        Size for each direction, in bytes.

    Examples
    --------
    >>> compute_socket_buffer(67_108_864, 512)
    131072
    """
    size = n_bytes // max(1, max_connections)
    return min(max(size, MIN_SOCKET_BUFFER), MAX_SOCKET_BUFFER)


def compute_caller_bytes(max_bytes: int, memory: int | None) -> int:
    """Return how many bytes a node holds for all callers.

    Parameters
    ----------
    max_bytes : int
        Largest number of bytes.
    memory : int or None
        Memory that the process may take, in bytes; None if it is not known.

    Returns
    -------
    int
        Number of bytes, at most a quarter of the memory: an answer may be held twice
        for a moment, and the process itself and the sockets take the rest.

    Examples
    --------
    >>> compute_caller_bytes(67_108_864, 300_000_000)
    67108864
    >>> compute_caller_bytes(67_108_864, 128_000_000)
    32000000
    """
    return max_bytes if memory is None else min(max_bytes, memory // 4)


def is_mostly_framing(n_received: int, n_body_bytes: int) -> bool:
    """Return whether the chunks of a body cost far more than they bring.

    Parameters
    ----------
    n_received : int
        Bytes that were received for the body: itself, the heads of its chunks with
        their extensions, and the trailers.
    n_body_bytes : int
        Bytes of the body itself.

    Returns
    -------
    bool
        Whether the body is refused.

    Examples
    --------
    >>> is_mostly_framing(6_000_000, 1_000_000)  # chunks of one byte
    False
    >>> is_mostly_framing(90_000, 10)
    True
    """
    return n_received > MAX_FRAMING_FACTOR * n_body_bytes + MAX_FRAMING_BYTES
