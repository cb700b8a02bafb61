"""Writes log lines without ever waiting for their reader.

Answers two load patterns: a reader that stops reading, and a fault that would write
the same kind of line thousands of times. Lines are collected and handed to a
descriptor that does not block; what does not fit is dropped and counted.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from dataclasses import dataclass, field
from typing import Any

import orjson

MAX_BUFFERED_BYTES = 131_072  # waiting for the reader; two pipes' worth
FLUSH_INTERVAL = 0.1  # seconds
MAX_LINES_PER_KIND = 200  # a second; a request under load writes about five
REPORT_INTERVAL = 1.0  # seconds between reports of dropped lines
_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def _plain(value: Any) -> Any:
    return str(value)


@dataclass
class LineWriter:
    """Collects lines for one descriptor.

    Parameters
    ----------
    fd : int
        Where they go; it is made non-blocking.
    static : dict
        Fields of every line, for instance the node's name.

    Attributes
    ----------
    n_dropped : int
        Lines left out since the start.
    """

    fd: int
    static: dict[str, Any] = field(default_factory=dict)
    n_dropped: int = 0
    _buffer: bytearray = field(default_factory=bytearray)
    _counts: dict[str, int] = field(default_factory=dict)
    _counted_at: float = 0.0
    _reported: int = 0
    _reported_at: float = 0.0
    _scheduled: bool = False

    def __post_init__(self) -> None:
        os.set_blocking(self.fd, False)

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Write one line, or drop it.

        Parameters
        ----------
        kind : str
            What is bounded together.
        fields : dict
            The line; values that JSON lacks are written as text.
        """
        now = time.monotonic()
        if now - self._counted_at >= 1.0:
            self._counts.clear()
            self._counted_at = now
        count = self._counts[kind] = self._counts.get(kind, 0) + 1
        if count > MAX_LINES_PER_KIND or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.n_dropped += 1
            return
        self._report(now)
        self._append(fields)
        self._schedule()

    def _append(self, fields: dict[str, Any]) -> None:
        line = {"time": round(time.time(), 3), **self.static, **fields}
        self._buffer += orjson.dumps(line, default=_plain) + b"\n"

    def _report(self, now: float) -> None:
        if self.n_dropped > self._reported and now - self._reported_at > (
            REPORT_INTERVAL
        ):
            n_lines = self.n_dropped - self._reported
            self._reported, self._reported_at = self.n_dropped, now
            self._append({"message": "log lines left out", "n_lines": n_lines})

    def _schedule(self) -> None:
        if self._scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._scheduled = True
        loop.call_later(FLUSH_INTERVAL, self._flush_later)

    def _flush_later(self) -> None:
        self._scheduled = False
        self.flush()
        if self._buffer:
            self._schedule()

    def flush(self) -> None:
        """Hand over as much as the descriptor takes now."""
        while self._buffer:
            try:
                n_written = os.write(self.fd, self._buffer[:65_536])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nowhere left to say so.
                self._buffer.clear()
                return
            del self._buffer[:n_written]


class LineHandler(logging.Handler):
    """Sends records of ``logging`` to a ``LineWriter``.

    Parameters
    ----------
    writer : LineWriter
        Where lines go.
    """

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        fields = {
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        fields.update({k: v for k, v in vars(record).items() if k not in _STANDARD})
        if record.exc_info:
            formatter = self.formatter or logging.Formatter()
            fields["trace"] = formatter.formatException(record.exc_info)
        self.writer.write(f"{record.name}:{record.msg}", fields)


def write_logs_to(fd: int, *, level: str = "INFO", node: str = "") -> LineWriter:
    """Send the process's logs to a descriptor without blocking on it.

    Parameters
    ----------
    fd : int
        For instance 1 for standard output.
    level : str, default="INFO"
        Least level that is written.
    node : str, default=""
        The node's name, put into each line.

    Returns
    -------
    LineWriter
        For lines that are not logged through ``logging``.
    """
    writer = LineWriter(fd, {"node": node} if node else {})
    root = logging.getLogger()
    root.handlers[:] = [LineHandler(writer)]
    root.setLevel(level)
    for noisy in ("uvicorn", "uvicorn.error", "transitions", "asyncio"):
        logging.getLogger(noisy).setLevel("WARNING")
    return writer
