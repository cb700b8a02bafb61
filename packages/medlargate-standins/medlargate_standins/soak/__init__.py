"""A randomized soak: real node processes, faults from outside, promises checked."""

from ._run import SoakReport, run_soak

__all__ = ["SoakReport", "run_soak"]
