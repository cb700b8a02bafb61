"""Structured logs: one JSON object a line."""

from __future__ import annotations

import logging
import sys


def configure_logging(*, level: str = "INFO", node: str = "") -> None:
    """Send the process's logs to standard error as JSON lines.

    Parameters
    ----------
    level : str, default="INFO"
        Least level that is written.
    node : str, default=""
        The node's name, put into each line.
    """
    from pythonjsonlogger.json import JsonFormatter

    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"node": node} if node else {},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("uvicorn", "uvicorn.error", "uvicorn.access", "transitions"):
        logging.getLogger(noisy).setLevel("WARNING")
