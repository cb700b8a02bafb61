"""Writes log lines without blocking if the process that reads them stalls.

Two cases are limited: a process that stops reading the lines, and code that logs the
same message thousands of times. Lines are buffered and written to a non-blocking file
descriptor; lines beyond the limits are dropped and counted.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from dataclasses import dataclass, field
from typing import Any

import orjson

MAX_BUFFERED_BYTES = 131_072  # not yet written; twice the capacity of a pipe
FLUSH_INTERVAL = 0.1  # seconds
# Lines of one kind per second. A request under load writes about five lines, mostly of
# different kinds.
MAX_LINES_PER_KIND = 200
REPORT_INTERVAL = 1.0  # seconds between reports of dropped lines
_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def _to_text(value: Any) -> Any:
    return str(value)


@dataclass
class LineWriter:
    """Buffers JSON lines and writes them to one file descriptor.

    Parameters
    ----------
    fd : int
        File descriptor of the output; it is set to non-blocking mode.
    static_fields : dict
        Fields that are added to every line, for instance the name of the node.

    Attributes
    ----------
    n_dropped : int
        Number of lines dropped because of a limit since the start. Lines lost by a
        write error are not counted.
    """

    fd: int
    static_fields: dict[str, Any] = field(default_factory=dict)
    n_dropped: int = 0
    _buffer: bytearray = field(default_factory=bytearray)
    _n_lines_by_kind: dict[str, int] = field(default_factory=dict)
    _counting_since: float = 0.0
    _n_reported: int = 0
    _reported_at: float = 0.0
    _is_flush_scheduled: bool = False

    def __post_init__(self) -> None:
        os.set_blocking(self.fd, False)

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Buffer one line, or drop it when a limit is exceeded.

        Parameters
        ----------
        kind : str
            Key of the rate limit: lines of the same kind share one limit.
        fields : dict
            Fields of the line; values without a JSON type are written as text.
        """
        now = time.monotonic()
        if now - self._counting_since >= 1.0:
            self._n_lines_by_kind.clear()
            self._counting_since = now
        count = self._n_lines_by_kind[kind] = self._n_lines_by_kind.get(kind, 0) + 1
        if count > MAX_LINES_PER_KIND or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.n_dropped += 1
            return
        self._report_dropped(now)
        self._append(fields)
        self._schedule_flush()

    def _append(self, fields: dict[str, Any]) -> None:
        line = {"time": round(time.time(), 3), **self.static_fields, **fields}
        try:
            data = orjson.dumps(line, default=_to_text)
        except TypeError:
            # For instance a whole number beyond 64 bits. A line that can't be written
            # must not end what it reports.
            data = orjson.dumps({str(k): ascii(v) for k, v in line.items()})
        self._buffer += data + b"\n"

    def _report_dropped(self, now: float) -> None:
        if self.n_dropped > self._n_reported and now - self._reported_at > (
            REPORT_INTERVAL
        ):
            n_lines = self.n_dropped - self._n_reported
            self._n_reported, self._reported_at = self.n_dropped, now
            self._append({"message": "log lines left out", "n_lines": n_lines})

    def _schedule_flush(self) -> None:
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_flush_scheduled = True
        loop.call_later(FLUSH_INTERVAL, self._run_scheduled_flush)

    def _run_scheduled_flush(self) -> None:
        self._is_flush_scheduled = False
        self.flush()
        if self._buffer:
            self._schedule_flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                n_written = os.write(self.fd, self._buffer[:65_536])
            except BlockingIOError:
                return
            except OSError:
                # The descriptor can't be written, for instance because the reader has
                # closed the pipe, so the failure can't be logged. The lines are lost.
                self._buffer.clear()
                return
            del self._buffer[:n_written]


class LineHandler(logging.Handler):
    """Passes records of ``logging`` to a ``LineWriter``.

    Parameters
    ----------
    writer : LineWriter
        Receiver of the lines.
    """

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record with its extra fields, limited by logger and message."""
        fields = {
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        fields.update(
            {k: v for k, v in vars(record).items() if k not in _STANDARD_FIELDS}
        )
        if record.exc_info:
            formatter = self.formatter or logging.Formatter()
            fields["trace"] = formatter.formatException(record.exc_info)
        self.writer.write(f"{record.name}:{record.msg}", fields)


def write_logs_to(fd: int, *, level: str = "INFO", node: str = "") -> LineWriter:
    """Configure the root logger to write to a descriptor without blocking.

    Parameters
    ----------
    fd : int
        File descriptor, for instance 1 for standard output.
    level : str, default="INFO"
        Minimum level of the records that are written.
    node : str, default=""
        Name of the node, added to each line; empty adds none.

    Returns
    -------
    LineWriter
        Writer for lines that do not go through ``logging``.
    """
    writer = LineWriter(fd, {"node": node} if node else {})
    root = logging.getLogger()
    root.handlers[:] = [LineHandler(writer)]
    root.setLevel(level)
    for noisy in ("uvicorn", "uvicorn.error", "transitions", "asyncio"):
        logging.getLogger(noisy).setLevel("WARNING")
    return writer
