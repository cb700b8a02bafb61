"""Lazy imports: modules of a package that are imported on first access."""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def make_lazy_getattr(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Make a ``__getattr__`` function that imports names of a package lazily.

    Parameters
    ----------
    package : str
        Fully qualified name of the package.
    modules : mapping of str to str
        Relative module that defines each name.

    Returns
    -------
    callable
        Function for the package's ``__getattr__``; imports the module of a name on
        first access and stores the value in the package.

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
