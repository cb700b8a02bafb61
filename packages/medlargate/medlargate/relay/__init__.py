"""Relay of requests from callers to registered backend servers."""

from ._node import RelayNode

__all__ = ["RelayNode"]
