"""How many engines of which kind a service should have in each failure domain.

Answers two load patterns. Waves last seconds and an ordered engine takes seconds to
serve, so capacity stands ready for a wave before it comes; reclaimable engines cost a
fraction, so it stands in them. And all reclaimable engines of one failure domain may
go at once, so the others together carry the load, and steady engines fill in only
while that fails.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..routing import ScalingSpec

# Reading prompts may take this share of the engines' time on average: a wave brings
# two to three times the usual, and a prompt being read delays all answers beside it.
TARGET_UTILIZATION = 0.22
# Steady engines cost several times as much; they are ordered only while those that
# serve read for more than this share of the time.
STEADY_UTILIZATION = 0.6
# Reclaimable engines that cost more than this fraction are no bargain.
MAX_SPOT_PRICE = 0.6


@dataclass(frozen=True, slots=True)
class ZoneEngines:
    """A service's engines in one failure domain.

    Attributes
    ----------
    zone : str
        Failure domain.
    n_steady, n_spot : int
        Registered engines that do not leave.
    spot_refused : bool
        No reclaimable engines were to be had there a moment ago.
    """

    zone: str
    n_on_demand: int = 0
    n_spot: int = 0
    spot_unavailable: bool = False


@dataclass(frozen=True, slots=True)
class CapacityOrder:
    """How many engines of one kind a failure domain should have.

    Attributes
    ----------
    zone : str
        Failure domain.
    spot : bool
        Reclaimable ones.
    desired : int
        How many.
    """

    zone: str
    spot: bool
    desired: int


def decide_capacity(
    zones: Sequence[ZoneEngines],
    spec: ScalingSpec,
    *,
    demand: float,
    current_demand: float | None = None,
) -> list[CapacityOrder]:
    """Decide how many engines to order everywhere.

    Parameters
    ----------
    zones : sequence of ZoneEngines
        Every failure domain in which the service may run.
    spec : ScalingSpec
        Bounds and prices.
    demand : float
        Engine-seconds of reading prompts a second that capacity should stand for.
    current : float or None
        Those that arrive at the moment, of all nodes; None: as ``demand``.

    Returns
    -------
    list of CapacityOrder
        For each failure domain both kinds, steady engines only as far as the
        reclaimable ones that serve do not suffice.
    """
    if not zones:
        return []
    has_spot = 0 < spec.spot_price <= MAX_SPOT_PRICE
    spot = _spread_spot(zones, spec, demand) if has_spot else {}
    steady = _fill_steady(
        zones, spec, demand if current_demand is None else current_demand, spot
    )
    orders = []
    for zone in zones:
        if has_spot:
            orders.append(CapacityOrder(zone.zone, True, spot[zone.zone]))
        orders.append(CapacityOrder(zone.zone, False, steady[zone.zone]))
    return orders


def compute_max_demand(zones: Sequence[ZoneEngines], spec: ScalingSpec) -> float:
    """Return the demand that calls for every engine that may be ordered.

    Parameters
    ----------
    zones : sequence of ZoneEngines
        Every failure domain in which the service may run.
    spec : ScalingSpec
        Bounds.

    Returns
    -------
    float
        Engine-seconds of reading prompts a second.
    """
    survivors = max(1, len(zones) - 1)
    return spec.max_per_zone * survivors * TARGET_UTILIZATION


def _spread_spot(
    zones: Sequence[ZoneEngines], spec: ScalingSpec, demand: float
) -> dict[str, int]:
    """Share the need so that losing one failure domain leaves all of it."""
    needed = max(1, math.ceil(demand / TARGET_UTILIZATION))
    survivors = max(1, len(zones) - 1)
    share = math.ceil(needed / survivors)
    share = min(max(share, spec.min_per_zone, 1), spec.max_per_zone)
    # The bound holds for both kinds together; more come as steady ones leave.
    return {
        zone.zone: max(1, min(share, spec.max_per_zone - zone.n_on_demand))
        for zone in zones
    }


def _fill_steady(
    zones: Sequence[ZoneEngines],
    spec: ScalingSpec,
    current: float,
    spot: Mapping[str, int],
) -> dict[str, int]:
    """Order steady engines for what reclaimable ones do not carry now."""
    needed = max(1, math.ceil(current / STEADY_UTILIZATION))
    missing = needed - sum(min(z.n_spot, spot.get(z.zone, 0)) for z in zones)
    steady = {}
    for zone in zones:
        # A domain's bound below holds for both kinds together.
        floor = max(0, spec.min_per_zone - zone.n_spot)
        steady[zone.zone] = min(floor, spec.max_per_zone)
        missing -= steady[zone.zone]
    by_price = sorted(zones, key=lambda z: spec.zone_prices.get(z.zone, 1.0))
    while missing > 0:
        room = [
            z
            for z in by_price
            if steady[z.zone]
            + max(z.n_spot, spot.get(z.zone, 0) * (not z.spot_unavailable))
            < spec.max_per_zone
        ]
        if not room:
            break
        # Even out, the cheapest first.
        zone = min(room, key=lambda z: steady[z.zone])
        steady[zone.zone] += 1
        missing -= 1
    return steady


def _count_spot(zone: ZoneEngines, spot: Mapping[str, int]) -> int:
    """Count the reclaimable engines that are there or on their way."""
    coming = 0 if zone.spot_unavailable else spot.get(zone.zone, 0)
    return max(zone.n_spot, coming)
