"""Number of spot and on-demand engines of a service in each failure domain.

The plan covers two patterns of load and failure:

- Load spikes last a few seconds, and an ordered engine takes seconds until it serves
  requests. Capacity for a spike is therefore provisioned in advance, on spot engines,
  which cost a fraction of the on-demand price.
- All spot engines of one failure domain can be reclaimed at once. The remaining domains
  are therefore provisioned to carry the whole load, and on-demand engines are ordered
  only while the spot engines that serve do not suffice.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..routing import ScalingSpec

# Mean share of the engines' time that prefill may take. The headroom is for load
# spikes, which bring two to three times the usual load, and for the other responses on
# an engine, all of which a prefill delays.
TARGET_UTILIZATION = 0.22
# On-demand engines cost several times as much as spot engines. They are ordered only
# while prefill takes more than this share of the time of the engines that serve.
ON_DEMAND_UTILIZATION = 0.6
# Spot engines are ordered only up to this fraction of the on-demand price.
MAX_SPOT_PRICE_RATIO = 0.6


@dataclass(frozen=True, slots=True)
class ZoneEngines:
    """Number of engines of one service in one failure domain.

    Attributes
    ----------
    zone : str
        Name of the failure domain.
    n_on_demand : int
        Number of registered on-demand engines that are not draining.
    n_spot : int
        Number of registered spot engines that are not draining.
    spot_unavailable : bool
        Whether the last order found no spot engines available in the failure domain.
    """

    zone: str
    n_on_demand: int = 0
    n_spot: int = 0
    spot_unavailable: bool = False


@dataclass(frozen=True, slots=True)
class CapacityOrder:
    """Desired number of engines of one kind in one failure domain.

    Attributes
    ----------
    zone : str
        Name of the failure domain.
    spot : bool
        True for spot engines, False for on-demand engines.
    desired : int
        Number of engines that the failure domain should have.
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
    """Decide how many engines of each kind every failure domain should have.

    Parameters
    ----------
    zones : sequence of ZoneEngines
        Engines in every failure domain in which the service may run.
    spec : ScalingSpec
        Bounds on the number of engines, and prices.
    demand : float
        Prefill demand to provision for, in engine-seconds per second.
    current_demand : float or None
        Prefill demand that arrives at all nodes at present, in engine-seconds per
        second; None stands for ``demand``.

    Returns
    -------
    list of CapacityOrder
        One order of spot engines, unless their price is too high, and one order of
        on-demand engines for each failure domain. On-demand engines are ordered only
        as far as the spot engines that serve do not suffice or the lower bound
        requires.
    """
    if not zones:
        return []
    has_spot = 0 < spec.spot_price <= MAX_SPOT_PRICE_RATIO
    spot = _plan_spot(zones, spec, demand) if has_spot else {}
    on_demand = _plan_on_demand(
        zones, spec, demand if current_demand is None else current_demand, spot
    )
    orders = []
    for zone in zones:
        if has_spot:
            orders.append(CapacityOrder(zone.zone, True, spot[zone.zone]))
        orders.append(CapacityOrder(zone.zone, False, on_demand[zone.zone]))
    return orders


def compute_max_demand(zones: Sequence[ZoneEngines], spec: ScalingSpec) -> float:
    """Compute the demand at which every engine allowed by the bounds is ordered.

    Parameters
    ----------
    zones : sequence of ZoneEngines
        Engines in every failure domain in which the service may run.
    spec : ScalingSpec
        Bounds on the number of engines.

    Returns
    -------
    float
        Prefill demand, in engine-seconds per second.
    """
    n_surviving_zones = max(1, len(zones) - 1)
    return spec.max_per_zone * n_surviving_zones * TARGET_UTILIZATION


def _plan_spot(
    zones: Sequence[ZoneEngines], spec: ScalingSpec, demand: float
) -> dict[str, int]:
    """Spread spot engines so that all domains but one suffice for the demand."""
    n_needed = max(1, math.ceil(demand / TARGET_UTILIZATION))
    n_surviving_zones = max(1, len(zones) - 1)
    n_per_zone = math.ceil(n_needed / n_surviving_zones)
    n_per_zone = min(max(n_per_zone, spec.min_per_zone, 1), spec.max_per_zone)
    # The upper bound holds for both kinds together, so that more spot engines are
    # ordered as on-demand engines leave.
    return {
        zone.zone: max(1, min(n_per_zone, spec.max_per_zone - zone.n_on_demand))
        for zone in zones
    }


def _plan_on_demand(
    zones: Sequence[ZoneEngines],
    spec: ScalingSpec,
    current_demand: float,
    spot: Mapping[str, int],
) -> dict[str, int]:
    """Order on-demand engines for the demand that the spot engines do not cover."""
    n_needed = max(1, math.ceil(current_demand / ON_DEMAND_UTILIZATION))
    n_missing = n_needed - sum(min(z.n_spot, spot.get(z.zone, 0)) for z in zones)
    on_demand = {}
    for zone in zones:
        # The lower bound of a failure domain holds for both kinds together.
        min_on_demand = max(0, spec.min_per_zone - zone.n_spot)
        on_demand[zone.zone] = min(min_on_demand, spec.max_per_zone)
        n_missing -= on_demand[zone.zone]
    by_price = sorted(zones, key=lambda z: spec.zone_prices.get(z.zone, 1.0))
    while n_missing > 0:
        open_zones = [
            z
            for z in by_price
            if on_demand[z.zone]
            + max(z.n_spot, spot.get(z.zone, 0) * (not z.spot_unavailable))
            < spec.max_per_zone
        ]
        if not open_zones:
            break
        # Balance the failure domains; among equals the cheapest comes first.
        zone = min(open_zones, key=lambda z: on_demand[z.zone])
        on_demand[zone.zone] += 1
        n_missing -= 1
    return on_demand


def _count_spot(zone: ZoneEngines, spot: Mapping[str, int]) -> int:
    """Count the spot engines that are registered or expected from an order."""
    expected = 0 if zone.spot_unavailable else spot.get(zone.zone, 0)
    return max(zone.n_spot, expected)
