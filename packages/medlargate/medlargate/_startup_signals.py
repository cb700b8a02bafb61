"""Reload signals that a process gets before its node can act on them.

The default action of SIGHUP ends a process. This module imports nothing that takes
time, so that the signal is held from the start of the interpreter on.
"""

from __future__ import annotations

import signal

_held: set[int] = set()


def hold_reload_signal() -> None:
    """Remember SIGHUP, instead of ending the process, until a node handles it."""
    signal.signal(signal.SIGHUP, lambda number, _: _held.add(number))


def take_held_reload() -> bool:
    """Return whether SIGHUP was held, and forget it."""
    was_held = signal.SIGHUP in _held
    _held.clear()
    return was_held
