"""The way of a request through a node on the users' platform."""

from ._node import RelayNode

__all__ = ["RelayNode"]
