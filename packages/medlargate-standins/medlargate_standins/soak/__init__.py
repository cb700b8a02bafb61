"""Randomized soak tests of real node processes under injected faults."""

from ._run import SoakReport, run_soak

__all__ = ["SoakReport", "run_soak"]
