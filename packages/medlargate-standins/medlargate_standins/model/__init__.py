"""A model of what medlargate serves: engines, nodes and callers on a virtual clock."""

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
