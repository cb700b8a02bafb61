"""Names of a package whose modules are imported when they are asked for."""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def make_lazy_getattr(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Make the ``__getattr__`` of a package.

    Parameters
    ----------
    package : str
        Its full name.
    modules : mapping of str to str
        For each name the relative module that defines it.

    Returns
    -------
    callable
        Imports the module of a name that is asked for the first time.

    Examples
    --------
    >>> get = make_lazy_getattr("medlargate.policy", {"FairQueue": "._fairness"})
    >>> get("FairQueue").__name__
    'FairQueue'
    """

    def get(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(modules[name], package), name)
        setattr(sys.modules[package], name, value)
        return value

    return get
