"""Discrete-event simulation of router nodes, engines and callers."""

from ._engines import EngineModel, Stream, VirtualClock
from ._scenarios import (
    VARIANTS,
    Report,
    make_agency,
    make_consortium,
    make_partners,
    make_straggler,
    measure,
)
from ._simulation import Outcome, Profile, Simulation, Variant

__all__ = [
    "VARIANTS",
    "EngineModel",
    "Outcome",
    "Profile",
    "Report",
    "Simulation",
    "Stream",
    "Variant",
    "VirtualClock",
    "make_agency",
    "make_consortium",
    "make_partners",
    "make_straggler",
    "measure",
]
