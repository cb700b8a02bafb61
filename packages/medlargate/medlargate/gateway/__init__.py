"""Accepts callers' HTTP requests and forwards them to backend servers."""

from ._app import make_app
from ._caller import compute_digest
from ._node import Node
from ._server import make_server, run_node, wait_started

__all__ = [
    "Node",
    "compute_digest",
    "make_app",
    "make_server",
    "run_node",
    "wait_started",
]
