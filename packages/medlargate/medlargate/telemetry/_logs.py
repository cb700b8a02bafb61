"""Structured logging: one JSON object per line."""

from __future__ import annotations

import logging
import sys


def configure_logging(*, level: str = "INFO", node: str = "") -> None:
    """Configure the root logger to write JSON lines to standard error.

    Parameters
    ----------
    level : str, default="INFO"
        Minimum level of the records that are written.
    node : str, default=""
        Name of the node, added to each line; empty adds none.
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
