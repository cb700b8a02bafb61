"""Memory of a node that holds parts of answers until these can be delivered."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ..transport import ExchangeFaultError

# Answers of servers in trouble have no end. The limit of a single answer does not bound
# the memory of many at the same time.
MAX_TOTAL_BYTES = 16_777_216
# Smaller answers are held whatever the others take, so that faulty servers do not cost
# the answers of sound ones.
MAX_SMALL_BYTES = 65_536


class AnswerBuffer:
    """Bytes of one answer that a node holds.

    Parameters
    ----------
    buffers : AnswerBuffers
        Buffers of all answers.
    """

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self._n_bytes = 0

    def resize(self, n_bytes: int) -> None:
        """Set how many bytes of the answer are held.

        Parameters
        ----------
        n_bytes : int
            Number of bytes.

        Raises
        ------
        ExchangeFaultError
            If the answer is not small, and all answers together take too much memory.
        """
        buffers = self._buffers
        buffers.n_bytes += n_bytes - self._n_bytes
        self._n_bytes = n_bytes
        if n_bytes > MAX_SMALL_BYTES and buffers.n_bytes > buffers.max_bytes:
            message = f"all answers together exceed {buffers.max_bytes} bytes"
            raise ExchangeFaultError("invalid", message)


class AnswerBuffers:
    """Buffers of all answers of a node.

    Parameters
    ----------
    max_bytes : int, default=16777216
        Bytes that all answers together may take before one that is not small fails.

    Attributes
    ----------
    n_bytes : int
        Bytes that are held.

    Examples
    --------
    >>> buffers = AnswerBuffers(max_bytes=100_000)
    >>> with buffers.open() as large, buffers.open() as small:
    ...     large.resize(90_000)
    ...     small.resize(20_000)
    ...     print(buffers.n_bytes)
    110000
    >>> buffers.n_bytes
    0
    """

    def __init__(self, *, max_bytes: int = MAX_TOTAL_BYTES) -> None:
        self.max_bytes = max_bytes
        self.n_bytes = 0

    @contextmanager
    def open(self) -> Iterator[AnswerBuffer]:
        """Provide the buffer of one answer until its end."""
        buffer = AnswerBuffer(self)
        try:
            yield buffer
        finally:
            self.n_bytes -= buffer._n_bytes
